"""Checks on answers: a result counts only for the request, attempt and tenant it names."""

from corkcrank.contracts.messages import PlainAnswer, PlainCall, StageAnswer, StageCall


def answers_stage(call: StageCall, answer: StageAnswer) -> bool:
    """Return whether ``answer`` belongs to ``call`` and holds only its tenant's passages."""
    echoed = (
        answer.request == call.request
        and answer.stage == call.stage
        and answer.attempt == call.attempt
        and answer.tenant == call.tenant
    )
    return echoed and all(passage.tenant == call.tenant for passage in answer.passages)


def answers_plain(call: PlainCall, answer: PlainAnswer) -> bool:
    """Return whether ``answer`` belongs to ``call``."""
    return (
        answer.request == call.request
        and answer.attempt == call.attempt
        and answer.tenant == call.tenant
    )
