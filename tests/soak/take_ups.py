"""Checks that the streams that callers take up go on about as often as new ones begin."""

from dataclasses import dataclass

from soak.fleet import SoakFleet
from soak.sent_calls import Answer, SentCall
from soak.streams import MIN_CONTINUED_SHARE, MIN_TAKEN_UP, engine_version, last_event

MIN_ENGINES = 2
"""A stream taken up counts if this many engines of its version serve."""


@dataclass(slots=True)
class _Share:
    count: int = 0
    served: int = 0

    def record(self, *, served: bool) -> None:
        self.count += 1
        self.served += served

    @property
    def value(self) -> float:
        return self.served / self.count if self.count else 0.0


class TakeUps:
    """The streams that callers began, and those that they took up, at undisturbed nodes."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self.begun = _Share()
        self.taken_up = _Share()
        self.all_taken_up = _Share()
        """Also those at disturbed nodes, for the report."""

    def record(self, call: SentCall, answer: Answer) -> None:
        """Record the answer to a stream's attempt."""
        progressed = last_event(answer.body) > call.resume_after or answer.complete
        served = answer.status == 200 and progressed
        if call.resume_after:
            self.all_taken_up.record(served=served)
        if not self._fleet.ledger.undisturbed(call.node, call.sent_at):
            return
        if not call.resume_after:
            self.begun.record(served=served)
        elif self._engines(call.version) >= MIN_ENGINES:
            self.taken_up.record(served=served)

    def check(self) -> None:
        """Check the shares once the soak has ended."""
        if self.taken_up.count < MIN_TAKEN_UP:
            return
        if self.taken_up.value < MIN_CONTINUED_SHARE * self.begun.value:
            self._fleet.ledger.violate(
                "taken up",
                f"{self.taken_up.served} of {self.taken_up.count} streams went on, "
                f"{self.begun.served} of {self.begun.count} new ones began",
            )

    def _engines(self, version: str) -> int:
        engines = self._fleet.workers_of(["model"])
        return sum(engine_version(engine.worker_id) == version for engine in engines)
