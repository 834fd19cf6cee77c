"""State machine for the attempts of one stage of a request: sends, retries, failure.

The state machine does no I/O. Its caller reports the end of each attempt. The state machine returns
the back end for the next attempt, or that the stage is finished or abandoned. Answers of earlier
attempts are ignored.
"""

from collections.abc import Callable
from dataclasses import dataclass

from corkcrank.contracts.identifiers import AttemptId, WorkerId
from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.gateway.retry import RetryBudget

MAX_ATTEMPTS = 4
"""Maximum number of attempts of one stage, regardless of the retry budget."""

RETRY_AFTER_SECONDS = 1.0
"""Value of ``Retry-After`` for a failure of unknown duration."""


@dataclass(frozen=True, slots=True)
class StageStarted:
    """The stage starts."""


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt delivered a complete answer that passed its checks."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AttemptNotSent:
    """No byte of the attempt left this process."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt was interrupted, timed out or failed its checks after bytes may have been sent."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AttemptTooLate:
    """An attempt can no longer meet the deadline, at this back end or another."""

    attempt: AttemptId


StageEvent = StageStarted | AttemptAnswered | AttemptNotSent | AttemptFailed | AttemptTooLate


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the call to ``worker`` under a new attempt id."""

    attempt: AttemptId
    worker: WorkerId


@dataclass(frozen=True, slots=True)
class FinishStage:
    """The current attempt's answer is the stage's result."""


@dataclass(frozen=True, slots=True)
class AbandonStage:
    """The request fails immediately with this failure."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class IgnoreEvent:
    """The event belongs to an earlier attempt and is ignored."""


StageInstruction = SendAttempt | FinishStage | AbandonStage | IgnoreEvent

ChooseWorker = Callable[[frozenset[WorkerId]], WorkerId | None]
"""Chooses a back end outside the given set, or one of the set if there is no other."""


class StageProcess:
    """The attempts of one stage.

    Parameters
    ----------
    choose
        The routing policy, applied to the current load view.
    new_attempt
        Source of unique attempt ids.
    budget
        Retry budget of the stage's service.
    deadline
        The request's deadline, in seconds of :mod:`clock`.
    work_started
        Whether an earlier stage of the request has run.

    """

    def __init__(
        self,
        choose: ChooseWorker,
        new_attempt: Callable[[], AttemptId],
        budget: RetryBudget,
        deadline: float,
        work_started: bool,
    ) -> None:
        self._choose = choose
        self._new_attempt = new_attempt
        self._budget = budget
        self._deadline = deadline
        self.work_started = work_started
        self.attempts = 0
        self.current: AttemptId | None = None
        self._tried: frozenset[WorkerId] = frozenset()
        self._retry_reserved = False
        self.ended = False

    def handle(self, event: StageEvent, now: float) -> StageInstruction:
        """Handle one event at time ``now`` and return the next instruction."""
        if isinstance(event, StageStarted):
            self._budget.record_first_attempt()
            return self._send(now)
        if self.ended or event.attempt != self.current:
            return IgnoreEvent()
        match event:
            case AttemptAnswered():
                self.work_started = True
                self.ended = True
                return FinishStage()
            case AttemptFailed():
                self.work_started = True
                return self._retry(now)
            case AttemptNotSent():
                return self._retry(now)
            case AttemptTooLate():
                self.work_started = True
                return self._abandon_late()

    def reserve_retry(self, now: float) -> bool:
        """Reserve a retry at another back end, to be sent after the current attempt has failed.

        Returns whether a retry is reserved. Without one, a silent attempt must not be abandoned.
        """
        if now >= self._deadline or self.attempts >= MAX_ATTEMPTS:
            return False
        worker = self._choose(self._tried)
        if worker is None or worker in self._tried:
            return False
        self._retry_reserved = self._retry_reserved or self._budget.try_spend()
        return self._retry_reserved

    def validate(self) -> None:
        """Check the invariants between events."""
        assert self.attempts <= MAX_ATTEMPTS
        assert self.current is None or self.attempts > 0

    def _retry(self, now: float) -> StageInstruction:
        self.current = None
        if now >= self._deadline:
            return self._abandon_late()
        if self.attempts >= MAX_ATTEMPTS or not self._spend_retry():
            return self._abandon(ResultCode.NO_BACKEND, ResultCode.STAGE_FAILED)
        return self._send(now)

    def _spend_retry(self) -> bool:
        reserved, self._retry_reserved = self._retry_reserved, False
        return reserved or self._budget.try_spend()

    def _send(self, now: float) -> StageInstruction:
        if now >= self._deadline:
            return self._abandon_late()
        worker = self._choose(self._tried)
        if worker is None:
            return self._abandon(ResultCode.NO_BACKEND, ResultCode.STAGE_FAILED)
        self._tried |= {worker}
        self.attempts += 1
        self.current = self._new_attempt()
        return SendAttempt(self.current, worker)

    def _abandon_late(self) -> AbandonStage:
        return self._abandon(ResultCode.DEADLINE_UNREACHABLE, ResultCode.DEADLINE_EXCEEDED)

    def _abandon(self, not_run: ResultCode, started: ResultCode) -> AbandonStage:
        self.ended = True
        self.current = None
        code = started if self.work_started else not_run
        return AbandonStage(Failure(code, retry_after=RETRY_AFTER_SECONDS))
