"""Tracks the rate limits that workers state in their answers.

A limit holds as long as the worker's answers state it. A gateway that receives a limit reports it
to its peers. The limit ends with an answer that does not state it, or after some time without any
answer. The rate then rises gradually. This keeps the gateways from returning to the worker all at
once; if the limit ended by mistake, it is received again after few requests. Reports hold ages
instead of times, because the clocks of machines are not compared. The module does no I/O; callers
pass the time.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from enum import StrEnum

import msgspec

MAX_SILENCE_SECONDS = 10.0
"""Time without an answer after which a worker's limit counts as ended. Only an answer to a new
request shows whether the limit still applies."""

RAMP_SECONDS = 6.0
"""Time from the end of a limit until the rate is unlimited."""

RAMP_DOUBLING_SECONDS = 1.0
"""Time in which the rate doubles after the end of a limit."""

MIN_RAMP_RATE = 0.5
"""Minimum rate from which the ramp starts, in requests a second, also after a limit of zero."""

MIN_REPORT_LEAD_SECONDS = 0.25
"""Time by which a peer's report must be newer than the known state to replace it. It exceeds the
delay of a report, so that relayed reports do not appear newer."""

MAX_REPORTED_LIMITS = 64
"""Maximum number of limits in one heartbeat; the newest are chosen."""

MAX_REPORTED_AMOUNT = 1e6
"""Maximum valid rate, and maximum valid age in seconds, of a report."""

_NOT_ENDED = float("inf")


class LimitChange(StrEnum):
    """Change of a limit by an answer or by a peer's report."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


class ReportedLimit(msgspec.Struct, frozen=True, array_like=True):
    """A limit that a worker stated ``age`` seconds ago, or that ended ``age`` seconds ago."""

    worker_id: str
    rate: float
    age: float
    ended: bool = False

    @property
    def readable(self) -> bool:
        """Return whether rate and age are in the valid range.

        >>> ReportedLimit("w", 1.0, 0.5).readable, ReportedLimit("w", float("nan"), 0.5).readable
        (True, False)
        """
        return _is_valid_amount(self.rate) and _is_valid_amount(self.age)


@dataclass(slots=True)
class StatedLimit:
    """A worker's limit in requests a second, the time of its last statement and of its end."""

    rate: float
    stated_at: float
    ended_at: float = _NOT_ENDED

    @property
    def updated_at(self) -> float:
        """Return when the newest answer that determined this state was received."""
        return self.stated_at if self.ended_at == _NOT_ENDED else self.ended_at

    def ends_at(self) -> float:
        """Return when the limit ended, or when it will end without further answers."""
        return min(self.ended_at, self.stated_at + MAX_SILENCE_SECONDS)

    def rate_at(self, now: float) -> float | None:
        """Return the rate limit at a time, ``None`` if it no longer applies.

        >>> limit = StatedLimit(2.0, stated_at=10.0)
        >>> limit.rate_at(19.9), limit.rate_at(22.0), limit.rate_at(26.0)
        (2.0, 8.0, None)
        """
        since_end = now - self.ends_at()
        if since_end < 0:
            return self.rate
        if since_end >= RAMP_SECONDS:
            return None
        return float(max(self.rate, MIN_RAMP_RATE) * 2.0 ** (since_end / RAMP_DOUBLING_SECONDS))


class StatedLimits:
    """Limits of all workers that state one, or did so recently."""

    def __init__(self) -> None:
        self._limits: dict[str, StatedLimit] = {}

    def __iter__(self) -> Iterator[tuple[str, StatedLimit]]:
        """Iterate over the workers whose limit holds or ended recently."""
        return iter(list(self._limits.items()))

    @property
    def empty(self) -> bool:
        """Return whether no worker has a limit, which is the usual case."""
        return not self._limits

    def rate(self, worker_id: str, now: float) -> float | None:
        """Return a worker's present limit in requests a second, ``None`` without a limit."""
        limit = self._limits.get(worker_id)
        return limit.rate_at(now) if limit is not None else None

    def age(self, worker_id: str, now: float) -> float:
        """Return the age of the newest answer on a worker's limit, in seconds."""
        limit = self._limits.get(worker_id)
        return now - limit.updated_at if limit is not None else 0.0

    def record_answer(self, worker_id: str, rate: float | None, now: float) -> LimitChange | None:
        """Record the rate that an answer states, ``None`` for no limit; return the change.

        >>> limits = StatedLimits()
        >>> [limits.record_answer("w", rate, 1.0) for rate in (None, 2.0, 2.0, 1.0, None, None)]
        [None, <LimitChange.NAMED: 'named'>, None, <LimitChange.CHANGED: 'changed'>, \
<LimitChange.ENDED: 'ended'>, None]
        """
        known = self._limits.get(worker_id)
        if rate is not None:
            return self._set_limit(worker_id, rate, now, now)
        if known is None or known.ends_at() <= now:
            return None
        known.ended_at = now
        return LimitChange.ENDED

    def apply_peer_report(self, report: ReportedLimit, now: float) -> LimitChange | None:
        """Apply a peer's report if it is newer; return the change."""
        if report.age >= (RAMP_SECONDS if report.ended else MAX_SILENCE_SECONDS):
            # An old report must not restore a limit that has ended.
            return None
        known = self._limits.get(report.worker_id)
        updated_at = now - report.age
        if known is not None and updated_at <= known.updated_at + MIN_REPORT_LEAD_SECONDS:
            return None
        if not report.ended:
            return self._set_limit(report.worker_id, report.rate, updated_at, now)
        if known is None or known.ended_at != _NOT_ENDED:
            return None
        known.ended_at = updated_at
        return LimitChange.ENDED

    def _set_limit(self, worker_id: str, rate: float, at: float, now: float) -> LimitChange | None:
        known = self._limits.get(worker_id)
        self._limits[worker_id] = StatedLimit(rate, at)
        if known is None or known.ends_at() <= now:
            return LimitChange.NAMED
        return LimitChange.CHANGED if known.rate != rate else None

    def reports_for_peers(
        self, now: float, worker_ids: Collection[str] = ()
    ) -> tuple[ReportedLimit, ...]:
        """Return reports for peers, newest first; if ``worker_ids`` is given, only of these."""
        self._remove_ended(now)
        chosen = [item for item in self._limits.items() if not worker_ids or item[0] in worker_ids]
        chosen.sort(key=lambda item: -item[1].updated_at)
        return tuple(_report(*item, now) for item in chosen[:MAX_REPORTED_LIMITS])

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the limits of workers that are no longer listed."""
        for worker_id in self._limits.keys() - set(worker_ids):
            del self._limits[worker_id]

    def _remove_ended(self, now: float) -> None:
        for worker_id in [key for key, item in self._limits.items() if item.rate_at(now) is None]:
            del self._limits[worker_id]


def _report(worker_id: str, limit: StatedLimit, now: float) -> ReportedLimit:
    ended = limit.ended_at != _NOT_ENDED
    return ReportedLimit(worker_id, limit.rate, round(now - limit.updated_at, 2), ended)


def _is_valid_amount(value: float) -> bool:
    return 0 <= value <= MAX_REPORTED_AMOUNT
