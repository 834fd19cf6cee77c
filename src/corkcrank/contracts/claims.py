"""Claims: a state machine that makes an unrepeatable call run at most once.

A claim is one table row per tenant and idempotency key. It is inserted by compare-and-set
with a unique attempt id before the first byte of the call is sent, and no other attempt
ever takes it over. Only the attempt that owns the row may send the call and write its
outcome. If the owner recorded that it never sent anything, the claim is *released* and
may be claimed again.

This module does no I/O: :meth:`ClaimProcess.handle_event` applies an event and returns
instructions, which the caller carries out.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from corkcrank.contracts.identifiers import AttemptId
from corkcrank.contracts.life_cycle import LifeCycle, Step
from corkcrank.contracts.result_codes import Ran, ResultCode

MAX_SENDS = 3
"""Attempts to connect to a back end before an unsent call is abandoned."""


class ClaimRowState(StrEnum):
    """State of a claim as stored in the table."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimRow(msgspec.Struct, frozen=True):
    """A claim as stored in the table; ``answer`` is the first answer, returned to every repeat."""

    attempt: AttemptId
    body_digest: str
    state: ClaimRowState
    answer: str = ""


class ClaimState(StrEnum):
    """State of the claim of one request in its gateway."""

    NEW = "new"
    CLAIMING = "claiming"
    CLAIMED = "claimed"
    SENT = "sent"
    OVERDUE = "overdue"
    DONE = "done"


class ClaimTrigger(StrEnum):
    """Transitions of the claim life cycle."""

    BEGIN = "begin"
    WIN = "win"
    SEND = "send"
    RETURN_UNSENT = "return_unsent"
    OUTLIVE_DEADLINE = "outlive_deadline"
    END = "end"


_OPEN_STATES = (
    ClaimState.CLAIMING,
    ClaimState.CLAIMED,
    ClaimState.SENT,
    ClaimState.OVERDUE,
)

CLAIM_LIFE_CYCLE = LifeCycle(
    ClaimState,
    (
        Step(ClaimTrigger.BEGIN, (ClaimState.NEW,), ClaimState.CLAIMING),
        Step(ClaimTrigger.WIN, (ClaimState.CLAIMING,), ClaimState.CLAIMED),
        Step(ClaimTrigger.SEND, (ClaimState.CLAIMED,), ClaimState.SENT),
        Step(ClaimTrigger.RETURN_UNSENT, (ClaimState.SENT,), ClaimState.CLAIMED),
        Step(ClaimTrigger.OUTLIVE_DEADLINE, (ClaimState.SENT,), ClaimState.OVERDUE),
        Step(ClaimTrigger.END, _OPEN_STATES, ClaimState.DONE),
    ),
)


@dataclass(frozen=True, slots=True)
class ClaimStarted:
    """The request arrived."""


@dataclass(frozen=True, slots=True)
class InsertCommitted:
    """The table committed the insert."""


@dataclass(frozen=True, slots=True)
class RowSeen:
    """The row was read, or was returned with a conflict; ``row`` is ``None`` if it is absent."""

    row: ClaimRow | None
    revision: int


@dataclass(frozen=True, slots=True)
class TableUnanswered:
    """The table did not answer an insert or a read; the insert may have taken effect."""


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The back end returned a complete answer."""

    answer: str


@dataclass(frozen=True, slots=True)
class CallNotSent:
    """No byte of the call left this process."""


@dataclass(frozen=True, slots=True)
class CallInterrupted:
    """The call was interrupted after bytes may have left this process."""


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The request's deadline passed."""


ClaimEvent = (
    ClaimStarted
    | InsertCommitted
    | RowSeen
    | TableUnanswered
    | CallAnswered
    | CallNotSent
    | CallInterrupted
    | DeadlineReached
)


@dataclass(frozen=True, slots=True)
class InsertClaim:
    """Insert ``row`` if the stored row is still at ``expected_revision`` (zero: absent)."""

    row: ClaimRow
    expected_revision: int


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the row; ``after_pause`` asks for a pause before the read."""

    after_pause: bool


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the call to a back end. Valid only if no byte of it was sent before."""


@dataclass(frozen=True, slots=True)
class RecordRow:
    """Write the final state of the row, in the background, until the table commits it.

    The write is conditional on the stored row having this attempt id. A lost answer of the
    table is harmless, because another write gives the same row.
    """

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Reply:
    """Send the final answer to the caller."""

    code: ResultCode
    ran: Ran
    answer: str = ""


ClaimInstruction = InsertClaim | ReadClaim | SendCall | RecordRow | Reply


class ClaimProcess:
    """State machine for the claim of one request, from arrival to the recorded outcome."""

    def __init__(self, attempt: AttemptId, body_digest: str, deadline: float) -> None:
        self.attempt = attempt
        self.body_digest = body_digest
        self.deadline = deadline
        self.state = ClaimState.NEW.value
        self.replied = False
        self.sends = 0

    def handle_event(self, event: ClaimEvent, now: float) -> list[ClaimInstruction]:
        """Apply one event at time ``now`` (seconds of :mod:`clock`) and return instructions."""
        match event:
            case ClaimStarted():
                CLAIM_LIFE_CYCLE.fire(self, ClaimTrigger.BEGIN)
                return [self._insert_claim(expected_revision=0)]
            case InsertCommitted():
                return self._on_claim_won(now)
            case RowSeen():
                return self._on_row_seen(event, now)
            case TableUnanswered():
                return self._on_table_unanswered(now)
            case CallAnswered():
                return self._on_call_answered(event)
            case CallNotSent():
                return self._on_call_not_sent(now)
            case CallInterrupted():
                return self._on_call_interrupted()
            case DeadlineReached():
                return self._on_deadline()

    def validate(self) -> None:
        """Assert the invariants that hold between events."""
        assert self.sends <= MAX_SENDS
        assert self.state != ClaimState.DONE or self.replied

    def _claim_row(self, state: ClaimRowState, answer: str = "") -> ClaimRow:
        return ClaimRow(self.attempt, self.body_digest, state, answer)

    def _insert_claim(self, expected_revision: int) -> InsertClaim:
        return InsertClaim(self._claim_row(ClaimRowState.CLAIMED), expected_revision)

    def _reply_once(self, code: ResultCode, ran: Ran, answer: str = "") -> list[ClaimInstruction]:
        if self.replied:
            return []
        self.replied = True
        return [Reply(code, ran, answer)]

    def _end_claim(self) -> None:
        CLAIM_LIFE_CYCLE.fire(self, ClaimTrigger.END)

    def _on_claim_won(self, now: float) -> list[ClaimInstruction]:
        if self.state != ClaimState.CLAIMING:
            return []
        CLAIM_LIFE_CYCLE.fire(self, ClaimTrigger.WIN)
        return self._send_or_abandon(now)

    def _send_or_abandon(self, now: float) -> list[ClaimInstruction]:
        # Sending is safe after any pause: this attempt owns the row and no other attempt
        # takes it over. The call is pointless only if the caller no longer waits.
        if self.replied or now >= self.deadline or self.sends >= MAX_SENDS:
            self._end_claim()
            release = RecordRow(self._claim_row(ClaimRowState.RELEASED))
            return [*self._reply_once(ResultCode.CLAIM_ABANDONED, Ran.NO), release]
        CLAIM_LIFE_CYCLE.fire(self, ClaimTrigger.SEND)
        self.sends += 1
        return [SendCall()]

    def _on_row_seen(self, event: RowSeen, now: float) -> list[ClaimInstruction]:
        if self.state != ClaimState.CLAIMING:
            return []
        row = event.row
        if row is None:
            return self._insert_again_or_abandon(0, now)
        if row.attempt == self.attempt:
            return self._on_claim_won(now)
        if row.body_digest != self.body_digest:
            self._end_claim()
            return self._reply_once(ResultCode.IDEMPOTENCY_KEY_REUSED, Ran.NO)
        return self._on_other_attempt(row, event.revision, now)

    def _insert_again_or_abandon(self, revision: int, now: float) -> list[ClaimInstruction]:
        if self.replied or now >= self.deadline:
            # An insert of this attempt may still be in flight, so the row must be released.
            # Another gateway may claim the key before the caller reads this answer, so the
            # reply is "unknown", not "no".
            reply = self._reply_once(ResultCode.CLAIM_STORE_UNAVAILABLE, Ran.UNKNOWN)
            self._end_claim()
            return [*reply, RecordRow(self._claim_row(ClaimRowState.RELEASED))]
        return [self._insert_claim(revision)]

    def _on_other_attempt(self, row: ClaimRow, revision: int, now: float) -> list[ClaimInstruction]:
        match row.state:
            case ClaimRowState.FINISHED:
                self._end_claim()
                return self._reply_once(ResultCode.OK, Ran.YES, row.answer)
            case ClaimRowState.UNKNOWN:
                self._end_claim()
                return self._reply_once(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            case ClaimRowState.RELEASED:
                return self._insert_again_or_abandon(revision, now)
            case ClaimRowState.CLAIMED:
                return self._wait_for_other(now)

    def _wait_for_other(self, now: float) -> list[ClaimInstruction]:
        if self.replied or now >= self.deadline:
            self._end_claim()
            return self._reply_once(ResultCode.CLAIM_IN_PROGRESS, Ran.UNKNOWN)
        return [ReadClaim(after_pause=True)]

    def _on_table_unanswered(self, now: float) -> list[ClaimInstruction]:
        if self.state != ClaimState.CLAIMING:
            return []
        if now < self.deadline:
            return [ReadClaim(after_pause=True)]
        # This attempt sent nothing, but an earlier call with the same key may have run.
        reply = self._reply_once(ResultCode.CLAIM_STORE_UNAVAILABLE, Ran.UNKNOWN)
        self._end_claim()
        return [*reply, RecordRow(self._claim_row(ClaimRowState.RELEASED))]

    def _on_call_answered(self, event: CallAnswered) -> list[ClaimInstruction]:
        if self.state not in (ClaimState.SENT, ClaimState.OVERDUE):
            return []
        self._end_claim()
        reply = self._reply_once(ResultCode.OK, Ran.YES, event.answer)
        return [*reply, RecordRow(self._claim_row(ClaimRowState.FINISHED, event.answer))]

    def _on_call_not_sent(self, now: float) -> list[ClaimInstruction]:
        if self.state == ClaimState.OVERDUE:
            # The caller already got "outcome unknown"; now it is known that the call did not run.
            self._end_claim()
            return [RecordRow(self._claim_row(ClaimRowState.RELEASED))]
        if self.state != ClaimState.SENT:
            return []
        CLAIM_LIFE_CYCLE.fire(self, ClaimTrigger.RETURN_UNSENT)
        return self._send_or_abandon(now)

    def _on_call_interrupted(self) -> list[ClaimInstruction]:
        if self.state not in (ClaimState.SENT, ClaimState.OVERDUE):
            return []
        reply = self._reply_once(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        self._end_claim()
        return [*reply, RecordRow(self._claim_row(ClaimRowState.UNKNOWN))]

    def _on_deadline(self) -> list[ClaimInstruction]:
        match self.state:
            case ClaimState.SENT:
                CLAIM_LIFE_CYCLE.fire(self, ClaimTrigger.OUTLIVE_DEADLINE)
                return self._reply_once(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            case ClaimState.CLAIMING:
                return self._reply_once(ResultCode.CLAIM_STORE_UNAVAILABLE, Ran.UNKNOWN)
            case _:
                return []
