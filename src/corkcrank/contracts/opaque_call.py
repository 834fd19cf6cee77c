"""Types for an opaque call: a request that is forwarded without parsing its body."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_configuration import OpaqueRoute
from corkcrank.contracts.request_fingerprint import part_fingerprint, request_fingerprint
from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.contracts.urgency import Rank
from corkcrank.contracts.worker_records import WorkerRecord


@dataclass(frozen=True, slots=True)
class PrefixPart:
    """One part of a prompt that requests may share, and its number of tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """A caller's description of its prompt: input tokens, maximum output tokens, parts."""

    model: str = ""
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PrefixPart, ...] = ()

    @cached_property
    def shared_parts(self) -> tuple[PrefixPart, ...]:
        """Return the parts that other prompts may share: all but the last."""
        return self.parts[:-1]

    @cached_property
    def total_tokens(self) -> int:
        """Return the tokens of the prompt: the stated number or the sum of its parts, if larger."""
        return max(self.tokens_in, sum(part.tokens for part in self.parts))


@dataclass(frozen=True, slots=True)
class CallEnvelope:
    """The values of a request's headers that decide how it is served.

    ``budget_seconds`` is the time for which the caller waits. ``piece_counts`` is the number
    of pieces of each stage. ``resume_after`` is the id of the last event that the caller
    received, ``resumed_attempt`` the id of its attempt that brought the stream's first event.
    ``reserved_headers`` names the headers of the request that only a gateway may set; they are
    not forwarded.
    """

    call_id: str
    key: str = ""
    budget_seconds: float | None = None
    prompt: PromptShape = PromptShape()
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    resume_after: str = ""
    resumed_attempt: str = ""
    reserved_headers: tuple[str, ...] = ()


class CallStep(StrEnum):
    """The step that a call has reached: what it waits for, or which component processes it."""

    UNREAD = "unread"
    PLAIN = "plain"
    STAGES = "stages"
    ENGINE_GRANT = "engine grant"
    ENGINE = "engine"
    RELAY = "relay"


MIN_FIRST_ATTEMPT_BUDGET_SHARE = 0.97
"""Below this share of the route's timeout as its budget, a call is probably a retry."""


MIN_RETURN_SECONDS = 0.09
"""Least time between the attempts of a caller that was told to return, in seconds: a little less
than the shortest time that is told."""

REJECTED_SECONDS = 0.8
"""Time after which the rest of a stream may return to a worker that was full: others end meanwhile.
"""

MOST_URGENT_ROUTE = 0
"""The most urgent rank of a route."""

MAX_FINGERPRINTED_PARTS = 8
"""Maximum number of a prompt's shared parts that are evidence when its engine crashes."""


@dataclass
class OpaqueCall:
    """One request of one caller in progress; times are of :mod:`clock`.

    Work on the call ends at ``end_at``: when the caller's budget or the route's timeout is over,
    or at the end of a drain in which the call was read. ``caller_end_at`` is when the caller's
    budget alone is over.
    ``first_byte_at`` is the time at which the answer's first byte was sent to the caller.
    ``answer_begun`` tells whether the answer's head was sent. ``may_have_run`` tells whether
    a worker may have started the request itself; running its stages does not count.
    ``first_attempt_recorded`` tells whether the retry budget has counted the first attempt.
    ``origin`` is the software that began the call's stream, ``None`` before its first event.
    ``unresponsive_workers`` are those that did not answer when the call was last to be moved.
    ``left_workers`` were sent the call and left, or not needed, without a failure of theirs.
    ``rejected_at`` holds when workers last rejected the call because they were full.
    ``claimed`` tells whether the caller was refused before and returned at the time told.
    ``precedence`` is set for a resumed stream that is served before new calls.
    ``claim_issued`` tells whether its refusal reserves room for the caller's return.
    ``place_wait_seconds`` is how long the call has waited for places at brittle workers.
    """

    envelope: CallEnvelope
    route: OpaqueRoute
    service: str
    tenant: str
    rank: Rank
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
    first_attempt_recorded: bool = False
    origin: StreamOrigin | None = None
    claimed: bool = False
    precedence: bool = False
    claim_issued: bool = False
    unresponsive_workers: frozenset[str] = frozenset()
    left_workers: set[str] = field(default_factory=set)
    rejected_at: dict[str, float] = field(default_factory=dict)
    step: CallStep = CallStep.UNREAD
    place_wait_seconds: float = 0.0

    @cached_property
    def fingerprint(self) -> str:
        """Return a hash that is the same for every attempt at the same request."""
        return request_fingerprint(self.tenant, self.target, self.body)

    @cached_property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the prompt's shared parts, the first ones of a long list."""
        prompt = self.envelope.prompt
        return tuple(
            part_fingerprint(self.service, prompt.model, part.part_id)
            for part in prompt.shared_parts[:MAX_FINGERPRINTED_PARTS]
        )

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the fingerprints of what may crash the call's workers: its request and parts."""
        return (self.fingerprint, *self.part_fingerprints)

    @property
    def call_id(self) -> str:
        """Return the id that the caller gave to this attempt."""
        return self.envelope.call_id

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller resumes a stream of which it has received events."""
        return bool(self.envelope.resume_after)

    @property
    def precedes(self) -> bool:
        """Return whether the call is the rest of a stream, which is served before new calls."""
        return self.answer_begun or self.precedence

    @property
    def begun_stream(self) -> str:
        """Return the call's id once the caller has a part of its stream, empty before."""
        return self.call_id if self.answer_begun else ""

    @property
    def excluded_workers(self) -> tuple[str, ...]:
        """Return the workers that the call must not be sent to next."""
        returnable = self.returnable_workers
        tried = (worker_id for worker_id in self.workers_tried if worker_id not in returnable)
        return (*tried, *self.unresponsive_workers)

    @property
    def returnable_workers(self) -> frozenset[str]:
        """Return the workers that have received the call and may be sent it again."""
        left = (item for item in self.left_workers if self.workers_tried.count(item) == 1)
        return frozenset((*left, *self._workers_with_room_again()))

    def _workers_with_room_again(self) -> list[str]:
        """Return the workers that rejected a stream's rest long enough ago to have room now."""
        if not self.precedes:
            return []
        latest = clock.now() - REJECTED_SECONDS
        return [worker_id for worker_id, at in self.rejected_at.items() if at <= latest]

    @property
    def has_attempt_left(self) -> bool:
        """Return whether the call may be sent to a worker, now or once a full one may have room."""
        if self._may_try_new_worker or self.returnable_workers:
            return True
        return self.precedes and bool(self.rejected_at)

    def allows_attempt_at(self, worker: WorkerRecord) -> bool:
        """Return whether the route's maximum of attempts allows one at a worker.

        The maximum is one of workers: an attempt at one that was tried does not add to it.
        """
        return self._may_try_new_worker or worker.worker_id in self.workers_tried

    @property
    def _may_try_new_worker(self) -> bool:
        return len(set(self.workers_tried)) < self.route.maximum_attempts

    def may_continue_at(self, worker: WorkerRecord) -> bool:
        """Return whether a worker may write the next events of the call's stream.

        Any worker may begin a stream; only the software that began it may continue it.
        """
        return self.origin is None or self.origin.is_software_of(worker)

    @property
    def returning(self) -> bool:
        """Return whether this is probably a retry by a caller that was refused before.

        The budget shows it, except that of a resumed stream, whose caller has used time to read.
        """
        budget = self.envelope.budget_seconds
        if budget is None or self.resumes_stream:
            return self.claimed
        return self.claimed or budget < MIN_FIRST_ATTEMPT_BUDGET_SHARE * self.route.timeout

    @property
    def may_hold_claim(self) -> bool:
        """Return whether the caller has less time than the route allows, as one that returns has.

        More calls look like this than do return: only their claim shows that they do.
        """
        budget = self.envelope.budget_seconds
        return budget is not None and budget <= self.route.timeout - MIN_RETURN_SECONDS

    @property
    def seconds_since_first_attempt(self) -> float:
        """Return the seconds since the caller's first attempt at what it asks for now.

        They are 0 if this is the first, or if it resumes a stream: the caller has had a part since.
        """
        budget = self.envelope.budget_seconds
        if budget is None or self.resumes_stream or not self.returning:
            return 0.0
        return max(0.0, self.route.timeout - budget)

    @property
    def objective_at(self) -> float:
        """Return when the first byte of the answer is due, counted from the caller's first attempt.

        If it were counted from the current attempt, retrying callers would take stage workers
        from callers that can still be served in time.
        """
        return self.arrived_at - self.seconds_since_first_attempt + self.route.objective

    @property
    def due_at(self) -> float:
        """Return when the next part of the answer is due.

        A stream whose first byte was sent has no objective left to miss. The rest of it is of use
        to the caller until the deadline.
        """
        return self.end_at if self.precedes else self.objective_at

    @property
    def queue_rank(self) -> Rank:
        """Return the rank in the queues of stages and engines.

        The rest of a stream goes before the less urgent routes of its tenant's rank, never before a
        more urgent tenant.
        """
        return (self.rank[0], MOST_URGENT_ROUTE) if self.precedes else self.rank
