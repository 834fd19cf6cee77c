"""Checks that an answer names the request, attempt and tenant of its call."""

from corkcrank.contracts.messages import PlainAnswer, PlainCall, StageAnswer, StageCall


def matches_stage_call(call: StageCall, answer: StageAnswer) -> bool:
    """Return whether ``answer`` matches ``call`` and contains only its tenant's passages."""
    echoed = (
        answer.request == call.request
        and answer.stage == call.stage
        and answer.attempt == call.attempt
        and answer.tenant == call.tenant
    )
    return echoed and all(passage.tenant == call.tenant for passage in answer.passages)


def matches_plain_call(call: PlainCall, answer: PlainAnswer) -> bool:
    """Return whether ``answer`` matches ``call``."""
    return (
        answer.request == call.request
        and answer.attempt == call.attempt
        and answer.tenant == call.tenant
    )
