"""What is known of one request under which workers ended.

The evidence is a set of the workers that ended under it; a good end clears those that are known
where it is seen. Sets are united, and what one gateway has cleared is cleared, so reports may come
twice and in any order. Ages are told, not times: clocks of machines are not compared, and of two
times of the same thing the earlier stands, so that none moves on by being passed on. Pure: the time
is handed in.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

QUARANTINE_ENDS = 3
"""Workers whose ends nothing else explains, by which a request is quarantined. In a play of 17
ends, 2 of 102 calls that only stood beside the request at fault broke with two workers."""

CERTAIN_ENDS = 5
"""Ends that quarantine a request whatever else may explain them: two more than those by which it
has to be known, of the three that it may crash after that."""

BEGINNING_SECONDS = 0.25
"""A run that went on for longer after its first event has hardly ended its worker: one that
crashes it does so as it begins."""

QUARANTINE_SECONDS = 60.0
"""First quarantine. Each further end doubles it: a request that crashes workers costs one of them
at most for each probation."""

LONGEST_QUARANTINE_SECONDS = 3600.0
"""Longest time for which a request is shut out without another try."""

MOST_ENDS = 12
"""Ends that are remembered of a request, the newest: more make no quarantine longer."""

MOST_ENDS_TOLD = 6
"""Ends of a request that are told, the newest: more than quarantine it."""

NEVER = float("-inf")


class RequestState(StrEnum):
    """What is held of a request."""

    SOUND = "sound"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


class WorkerEnd(msgspec.Struct, frozen=True, array_like=True):
    """A worker's incarnation that ended with a request in progress, ``age`` seconds ago.

    ``cleared`` says that the request has ended well since, ``progressed`` that its run had gone on
    for longer than requests do that crash their worker.
    """

    worker_id: str
    age: float
    cleared: bool = False
    progressed: bool = False


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """The newest attempt on probation, by its number, begun ``age`` seconds ago."""

    number: int
    age: float


class RequestReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway tells of a request."""

    request: str
    ends: tuple[WorkerEnd, ...] = ()
    trial: Trial | None = None


@dataclass(slots=True)
class _End:
    at: float
    cleared: bool = False
    progressed: bool = False


@dataclass(slots=True)
class RequestEvidence:
    """What is known of one request; times are of the own clock.

    ``trials`` counts the attempts on probation, the newest begun at ``trial_at``.
    """

    ends: dict[str, _End] = field(default_factory=dict)
    trials: int = 0
    trial_at: float = NEVER
    changed_at: float = NEVER

    def uncleared(self) -> set[str]:
        """Return the workers whose ends no good end of the request has cleared."""
        return {name for name, end in self.ends.items() if not end.cleared}

    def at_beginning(self) -> set[str]:
        """Return those of them that ended as the request began to run."""
        return {name for name in self.uncleared() if not self.ends[name].progressed}

    @property
    def newest_at(self) -> float:
        """Return when a worker last ended under it."""
        return max((end.at for end in self.ends.values()), default=NEVER)

    def released_at(self) -> float:
        """Return when a quarantine for what is known would be over."""
        ends = self.uncleared()
        if len(ends) < QUARANTINE_ENDS:
            return NEVER
        return max(self.ends[name].at for name in ends) + quarantine_seconds(len(ends))

    def clear(self) -> bool:
        """Take a good end; return whether any end counted against the request."""
        held_against = bool(self.uncleared())
        for end in self.ends.values():
            end.cleared = True
        return held_against

    def add_end(
        self, worker_id: str, at: float, *, cleared: bool = False, progressed: bool = False
    ) -> bool:
        """Take that a worker ended; return whether that changes what is known.

        Of several runs of the request at the worker the one counts that went least far.
        """
        known = self.ends.get(worker_id)
        if known is None:
            self.ends[worker_id] = _End(at, cleared, progressed)
            return self._drop_oldest() != worker_id
        before = known.cleared, known.progressed
        known.at = min(known.at, at)
        known.cleared = known.cleared or cleared
        known.progressed = known.progressed and progressed
        return (known.cleared, known.progressed) != before

    def _drop_oldest(self) -> str:
        """Keep the newest ends only; return the one that is dropped."""
        if len(self.ends) <= MOST_ENDS:
            return ""
        oldest = min(self.ends, key=lambda name: self.ends[name].at)
        del self.ends[oldest]
        return oldest

    def take_trial(self, trial: Trial | None, now: float) -> bool:
        """Take a trial that another gateway told of; return whether it is a later one."""
        if trial is None or trial.number < self.trials:
            return False
        at = now - trial.age
        later = trial.number > self.trials
        self.trial_at = at if later else min(self.trial_at, at)
        self.trials = trial.number
        return later

    def report(self, request: str, now: float) -> RequestReport:
        """Return what is told of it now."""
        newest = sorted(self.ends.items(), key=lambda item: item[1].at, reverse=True)
        ends = tuple(
            WorkerEnd(name, _age(end.at, now), end.cleared, end.progressed)
            for name, end in newest[:MOST_ENDS_TOLD]
        )
        trial = Trial(self.trials, _age(self.trial_at, now)) if self.trials else None
        return RequestReport(request, ends, trial)


def quarantine_seconds(ends: int) -> float:
    """Return how long a request is shut out after its last end.

    >>> quarantine_seconds(QUARANTINE_ENDS), quarantine_seconds(5), quarantine_seconds(99)
    (60.0, 240.0, 3600.0)
    """
    doublings = min(ends - QUARANTINE_ENDS, MOST_ENDS)
    return min(LONGEST_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2.0**doublings)


def _age(at: float, now: float) -> float:
    """Return the time since a moment, rounded down: rounding must make nothing earlier."""
    return max(0.0, math.floor((now - at) * 1000.0) / 1000.0)
