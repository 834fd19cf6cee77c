"""An opaque call: what corkcrank knows of a request whose body it does not read."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from corkcrank.contracts.opaque_configuration import OpaqueRoute
from corkcrank.contracts.request_fingerprint import request_fingerprint


@dataclass(frozen=True, slots=True)
class PrefixPart:
    """One part of a prompt that requests may share, and its tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """What a caller tells of its prompt: tokens in, most tokens out, shared parts."""

    model: str = ""
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PrefixPart, ...] = ()

    @cached_property
    def shared_parts(self) -> tuple[PrefixPart, ...]:
        """Return the parts that other prompts may share: all but the last."""
        return self.parts[:-1]

    @cached_property
    def whole_tokens(self) -> int:
        """Return the tokens of the whole prompt, as told or as the sum of its parts."""
        return max(self.tokens_in, sum(part.tokens for part in self.parts))


@dataclass(frozen=True, slots=True)
class CallEnvelope:
    """The parts of a request's header that decide how it is served.

    ``budget_seconds`` is the time the caller will wait. ``piece_counts`` gives the pieces
    of each stage. ``resume_after`` is the id of the last event the caller has.
    ``reserved_headers`` names the headers sent that only a gateway may set; they go no
    further.
    """

    call_id: str
    key: str = ""
    budget_seconds: float | None = None
    prompt: PromptShape = PromptShape()
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    resume_after: str = ""
    reserved_headers: tuple[str, ...] = ()


class CallStep(StrEnum):
    """Where a call is on its way: what it waits for, or who is at work for it."""

    UNREAD = "unread"
    PLAIN = "plain"
    STAGES = "stages"
    ENGINE_GRANT = "engine grant"
    ENGINE = "engine"
    RELAY = "relay"


RETURNING_SHARE = 0.97
"""A caller that gives less of the route's timeout than this has probably come back."""


@dataclass
class OpaqueCall:
    """One request of one caller on its way; times are of :mod:`clock`.

    ``first_byte_at`` is when the answer began to go back, once it did. ``answer_begun`` says
    that its head has gone out, ``may_have_run`` that a worker may have begun it: a stage
    worker that made some of its inputs has not.
    """

    envelope: CallEnvelope
    route: OpaqueRoute
    service: str
    tenant: str
    rank: tuple[int, int]
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    arrived_at: float
    end_at: float
    caller_end_at: float
    configuration_version: int
    workers_tried: list[str] = field(default_factory=list)
    first_byte_at: float | None = None
    answer_begun: bool = False
    may_have_run: bool = False
    step: CallStep = CallStep.UNREAD

    @cached_property
    def fingerprint(self) -> str:
        """Return what this call has in common with every other attempt at the same request."""
        return request_fingerprint(self.tenant, self.target, self.body)

    @property
    def call_id(self) -> str:
        """Return the caller's id of this attempt."""
        return self.envelope.call_id

    @property
    def returning(self) -> bool:
        """Return whether the caller has probably been refused before."""
        budget = self.envelope.budget_seconds
        return budget is not None and budget < RETURNING_SHARE * self.route.timeout

    @property
    def waited_before(self) -> float:
        """Return the seconds since the first attempt of a caller that has come back."""
        budget = self.envelope.budget_seconds
        if budget is None or not self.returning:
            return 0.0
        return max(0.0, self.route.timeout - budget)

    @property
    def objective_at(self) -> float:
        """Return when the first byte of the answer is due, from the caller's first attempt.

        Counted from the attempt, callers that come back would take stage workers from others
        that can still be served in time.
        """
        return self.arrived_at - self.waited_before + self.route.objective
