"""Estimates the duration of work at each worker, relative to the mean of its service.

A factor of 1.7 means 1.7 times the duration of work at the service's mean worker. The factor has a
steady part, which is measured, and a passing part, which the worker states in its answers. A
statement is divided by the mean of the statements in force during the measurements. A constant
statement therefore has no effect once the worker's calls are measured. Gateways exchange their
newest statements. A restarted worker has another id and a new state.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from math import exp

import msgspec

from corkcrank.scheduling.usual_duration import UsualDuration

STATEMENT_SECONDS = 0.5
"""Time constant of a statement's weight: 0.82 at an age of 0.1 s, 0.37 at 0.5 s, 0.02 at 2 s.
Transient causes, such as the load of neighbouring workers, last for about this time."""

MIN_STATEMENT_RATIO = 0.6
MAX_STATEMENT_RATIO = 3.0
"""Bounds of the change of a worker's steady factor by a statement. They include the paces at which
a call still meets an objective of a few times its usual duration. A false statement gains a worker
at most 1.7 times its calls."""

PRIOR_SAMPLES = 8.0
"""Weight of the service's mean in the steady part, in measured calls."""

MAX_SAMPLES = 20.0
"""Maximum weight of measured calls, so that the newest call has at least a twentieth."""

TOLD_WEIGHT = 1.0
"""Weight of a peer's report of its measurements, relative to a call that this gateway measured."""

SAMPLE_MEMORY_SECONDS = 20.0
"""Time constant of the decay of measurements. A worker that is avoided as slow is retried after
about this time."""

TOLD_SPACING_SECONDS = 0.1
"""Minimum interval of peers' reports that count as separate samples of the steady part."""

MAX_MEASURED_RATIO = 8.0
"""Bound of one measured ratio, up or down: a stuck call is a poor forecast of the next ones."""

MIN_REPORTED_DIFFERENCE = 0.1
"""Minimum difference from the service's mean for a report to peers. A smaller difference shifts
less work than the delay of the reported numbers of calls."""

MAX_REPORT_AGE_SECONDS = 6.0
"""Maximum age of a reported statement, for any heartbeat interval."""

REPORTED_INTERVALS = 1.2
"""Number of heartbeat intervals for which a statement is reported: intervals vary by a tenth."""

MAX_REPORTED_PACES = 16
"""Maximum number of workers whose pace one heartbeat reports."""

MAX_PACES_OF_FLEET = 400
"""Maximum number of paces in the heartbeats of all members together. In large fleets the heartbeat
interval, and so the age of reports, grows with the size of heartbeats."""

PERCENT = 100
MILLISECONDS_PER_SECOND = 1000


class ReportedPace(msgspec.Struct, frozen=True, array_like=True):
    """A worker's newest statement to a gateway in hundredths, and its age in ms.

    ``measured_percent`` and ``statement_percent`` are means over the calls that the gateway
    measured there: of their duration, and of the statements in force; 0 without such calls.
    """

    worker_id: str
    factor_percent: int
    age_milliseconds: int
    measured_percent: int = 0
    statement_percent: int = 0


@dataclass(frozen=True, slots=True)
class PaceBelief:
    """A gateway's estimate of a worker's pace, for logs.

    ``steady`` is the measured part. ``statement`` is the worker's newest statement, ``None``
    without one; ``age`` is its age, and ``told`` is set if a peer reported it.
    """

    factor: float
    steady: float
    statement: float | None
    age: float
    told: bool


@dataclass(slots=True)
class _Samples:
    """Mean of measured ratios, and of the statements in force at the same calls."""

    weight: float = 0.0
    ratio: float = 1.0
    statement: float = 1.0
    at: float = 0.0

    def weight_at(self, now: float) -> float:
        if not self.weight:
            return 0.0
        return self.weight * exp(-max(0.0, now - self.at) / SAMPLE_MEMORY_SECONDS)

    def add(self, ratio: float, statement: float, now: float) -> None:
        self.weight = min(MAX_SAMPLES - 1.0, self.weight_at(now)) + 1.0
        self.ratio += (ratio - self.ratio) / self.weight
        self.statement += (statement - self.statement) / self.weight
        self.at = now


@dataclass(slots=True)
class _Statement:
    """A statement and the time at which the worker made it."""

    factor: float
    at: float
    told: bool
    waiting: int = 0


class _WorkerState:
    """The pace data of one incarnation of a worker."""

    __slots__ = ("measured", "reported_statement", "service", "stated", "told")

    def __init__(self, service: str) -> None:
        self.service = service
        self.measured = _Samples()
        self.told = _Samples()
        self.stated: _Statement | None = None
        self.reported_statement: _Statement | None = None

    def steady(self, now: float) -> float:
        """Return the mean factor; with few samples it is close to the service's mean."""
        return self._means(now)[0]

    def _means(self, now: float) -> tuple[float, float]:
        """Return the means of measured durations and of the statements meanwhile."""
        own, told = self.measured.weight_at(now), TOLD_WEIGHT * self.told.weight_at(now)
        weight = PRIOR_SAMPLES + own + told
        measured = PRIOR_SAMPLES + own * self.measured.ratio + told * self.told.ratio
        stated = PRIOR_SAMPLES + own * self.measured.statement + told * self.told.statement
        return measured / weight, stated / weight

    @property
    def newest_statement(self) -> _Statement | None:
        """Return the newest statement, received directly or reported by a peer."""
        if self.stated is None or self.reported_statement is None:
            return self.stated or self.reported_statement
        return max(self.stated, self.reported_statement, key=lambda statement: statement.at)

    def factor(self, now: float) -> float:
        """Return the current duration of work, relative to the mean of the service."""
        steady, stated = self._means(now)
        return steady * self._passing(stated, now)

    def passing(self, now: float) -> float:
        """Return the current factor as a multiple of the steady one."""
        return self._passing(self._means(now)[1], now)

    def _passing(self, mean_statement: float, now: float) -> float:
        # A statement counts relative to the mean of the statements in force at measured calls.
        statement = self.newest_statement
        if statement is None:
            return 1.0
        ratio = min(
            MAX_STATEMENT_RATIO, max(MIN_STATEMENT_RATIO, statement.factor / mean_statement)
        )
        return 1.0 + statement_weight(now - statement.at) * (ratio - 1.0)


def statement_weight(age: float) -> float:
    """Return the weight of a statement of an age in seconds.

    >>> [round(statement_weight(age), 2) for age in (0.1, 0.5, 2.0)]
    [0.82, 0.37, 0.02]
    """
    return exp(-max(0.0, age) / STATEMENT_SECONDS)


class WorkerPaces:
    """Pace of every incarnation, from measured calls and from the workers' own statements."""

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerState] = {}
        self._services: set[str] = set()
        self._usual: dict[str, UsualDuration] = {}

    def factor(self, worker_id: str, service: str, now: float) -> float:
        """Return the duration of work at a worker, as a multiple of the service's mean.

        Returns 1.0 for an unknown worker.
        """
        state = self._workers.get(worker_id)
        if state is None or service not in self._services:
            return 1.0
        return state.factor(now)

    def passing_factor(self, worker_id: str, now: float) -> float:
        """Return the current duration of work at a worker, as a multiple of its own mean."""
        state = self._workers.get(worker_id)
        return state.passing(now) if state is not None else 1.0

    def factors(self, worker_ids: Iterable[str], service: str, now: float) -> dict[str, float]:
        """Return the factors of workers, empty if the service's workers state no pace."""
        if service not in self._services:
            return {}
        return {worker_id: self.factor(worker_id, service, now) for worker_id in worker_ids}

    def has_stated(self, service: str) -> bool:
        """Return whether any worker of a service states its pace."""
        return service in self._services

    def belief(self, worker_id: str, now: float) -> PaceBelief | None:
        """Return the estimate of a worker's pace, ``None`` for an unknown worker."""
        state = self._workers.get(worker_id)
        if state is None:
            return None
        statement = state.newest_statement
        return PaceBelief(
            state.factor(now),
            state.steady(now),
            statement.factor if statement is not None else None,
            now - statement.at if statement is not None else 0.0,
            statement is not None and statement.told,
        )

    def stated(self, worker_id: str) -> float | None:
        """Return a worker's newest statement to this gateway, unscaled; ``None`` without one."""
        state = self._workers.get(worker_id)
        return state.stated.factor if state is not None and state.stated is not None else None

    def record_statement(
        self, worker_id: str, service: str, pace: float, now: float, waiting: int = 0
    ) -> None:
        """Record a worker's statement of its pace, 1.0 for the usual pace.

        ``waiting`` is the number of waiting requests that it states.
        """
        state = self._state(worker_id, service)
        state.stated = _Statement(pace, now, told=False, waiting=waiting)

    def observe_work(
        self, worker_id: str, service: str, seconds: float, units: float, now: float
    ) -> None:
        """Record a measured duration of work, such as one call or a number of prompt tokens.

        Ignores services whose workers do not state their pace; records the statement in force with
        the duration. Ignores the work if requests wait at the worker, because it may include a
        wait.
        """
        state = self._workers.get(worker_id)
        if state is None or state.stated is None or state.stated.waiting:
            return
        if units <= 0 or seconds <= 0:
            return
        usual = self._usual.setdefault(service, UsualDuration())
        ratio = seconds / usual.expected(units) if usual.calls else 1.0
        usual.add(units, seconds)
        bounded = min(MAX_MEASURED_RATIO, max(1.0 / MAX_MEASURED_RATIO, ratio))
        state.measured.add(bounded, state.stated.factor, now)

    def reports_for_peers(
        self, now: float, interval: float, members: int
    ) -> tuple[ReportedPace, ...]:
        """Return the newest statements for peers, largest difference from the mean first.

        Each statement is reported about once: in the first heartbeat after it. ``interval`` is the
        heartbeat interval in seconds, ``members`` the number of members that send such reports.
        """
        limit = max(1, min(MAX_REPORTED_PACES, MAX_PACES_OF_FLEET // members))
        max_age = min(MAX_REPORT_AGE_SECONDS, REPORTED_INTERVALS * interval)
        reports = []
        for worker_id, state in self._workers.items():
            statement = state.stated
            if statement is None or now - statement.at > max_age:
                continue
            difference = max(abs(statement.factor - 1.0), abs(state.steady(now) - 1.0))
            if difference >= MIN_REPORTED_DIFFERENCE:
                reports.append((difference, _report(worker_id, state.measured, statement, now)))
        reports.sort(key=lambda item: (-item[0], item[1].age_milliseconds))
        return tuple(report for _, report in reports[:limit])

    def apply_peer_reports(
        self,
        reports: Iterable[ReportedPace],
        service_of: Callable[[str], str | None],
        now: float,
    ) -> None:
        """Apply a peer's reports; ``service_of`` returns a listed worker's service."""
        for report in reports:
            service = service_of(report.worker_id)
            if service is None or report.factor_percent <= 0 or report.age_milliseconds < 0:
                continue
            stated_at = now - report.age_milliseconds / MILLISECONDS_PER_SECOND
            state = self._state(report.worker_id, service)
            if state.reported_statement is None or stated_at > state.reported_statement.at:
                state.reported_statement = _Statement(
                    _bounded(report.factor_percent), stated_at, told=True
                )
            is_new = not state.told.weight or stated_at >= state.told.at + TOLD_SPACING_SECONDS
            if is_new and report.measured_percent > 0 and report.statement_percent > 0:
                measured, statement = (
                    _bounded(report.measured_percent),
                    _bounded(report.statement_percent),
                )
                state.told.add(measured, statement, stated_at)

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove workers that are no longer listed."""
        for worker_id in [key for key in self._workers if key not in worker_ids]:
            del self._workers[worker_id]
        self._services = {state.service for state in self._workers.values()}

    def _state(self, worker_id: str, service: str) -> _WorkerState:
        state = self._workers.get(worker_id)
        if state is None:
            state = self._workers[worker_id] = _WorkerState(service)
            self._services.add(service)
        return state


def _report(worker_id: str, measured: _Samples, statement: _Statement, now: float) -> ReportedPace:
    age = round((now - statement.at) * MILLISECONDS_PER_SECOND)
    stated = round(statement.factor * PERCENT)
    if not measured.weight:
        return ReportedPace(worker_id, stated, age)
    means = round(measured.ratio * PERCENT), round(measured.statement * PERCENT)
    return ReportedPace(worker_id, stated, age, *means)


def _bounded(percent: int) -> float:
    return min(MAX_MEASURED_RATIO, max(1.0 / MAX_MEASURED_RATIO, percent / PERCENT))
