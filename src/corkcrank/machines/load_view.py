"""A gateway's view of the back ends: directory, delayed loads, and its local calls and failures."""

from bisect import bisect_right
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from corkcrank.contracts.identifiers import Address, WorkerId
from corkcrank.contracts.messages import WorkerEntry
from corkcrank.machines.routing import Candidate
from corkcrank.zones.digest import Directory, WorkerLoad

SUSPECT_SECONDS = 1.0
"""Time for which a back end is avoided after a failed call, if others remain."""

REPORT_AGE_SECONDS = 1.5
"""Usual age of a load when a gateway receives it: report lag, heartbeat and digest."""

DEFAULT_SLOTS = 8
"""Slots assumed for a back end that has not reported yet."""


@dataclass(slots=True)
class WorkerView:
    """One back end as this gateway sees it."""

    entry: WorkerEntry
    leaving: bool = False
    reported_running: int = 0
    reported_waiting: int = 0
    slots: int = DEFAULT_SLOTS
    models: tuple[str, ...] = ()
    reported: bool = False
    local_call_starts: list[float] = field(default_factory=list)
    sampled_at: float = 0.0
    suspect_until: float = 0.0

    @property
    def own_in_flight(self) -> int:
        """Return the number of local calls in flight."""
        return len(self.local_call_starts)

    @property
    def load(self) -> float:
        """Return the reported calls plus the local calls sent since the report was sampled.

        The report already counts the local calls that were in flight then.
        """
        since = len(self.local_call_starts) - bisect_right(self.local_call_starts, self.sampled_at)
        return self.reported_running + self.reported_waiting + since


class LoadView:
    """Every back end that this gateway knows.

    A back end that was reported as leaving stays so until the list no longer has it or it
    restarted under a new boot id. An older list or report never makes it live again.
    ``known`` is false until the first directory has been received.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._workers: dict[WorkerId, WorkerView] = {}
        self._by_service: dict[str, list[WorkerView]] = {}
        self._list_version = 0
        self.known = False

    def apply_directory(self, directory: Directory) -> None:
        """Apply a directory unless it is older than the known one."""
        if directory.list_version < self._list_version:
            return
        self.known = True
        self._list_version = directory.list_version
        previous = self._workers
        self._workers = {
            entry.worker: _merge_entry(previous.get(entry.worker), entry)
            for entry in directory.workers
        }
        self._by_service = {}
        for view in self._workers.values():
            self._by_service.setdefault(view.entry.service, []).append(view)

    def apply_loads(self, loads: Iterable[WorkerLoad], now: float) -> None:
        """Apply newly reported loads."""
        for load in loads:
            view = self._workers.get(load.worker)
            if view is None:
                continue
            view.reported_running = load.running
            view.reported_waiting = load.waiting
            view.slots = load.slots
            view.models = load.models
            view.leaving = view.leaving or _reports_leaving(load, view.entry)
            view.sampled_at = now - REPORT_AGE_SECONDS
            view.reported = True

    def mark_suspect(self, worker: WorkerId, now: float) -> None:
        """Avoid a back end that failed a call for ``SUSPECT_SECONDS``."""
        view = self._workers.get(worker)
        if view is not None:
            view.suspect_until = now + SUSPECT_SECONDS

    def address(self, worker: WorkerId) -> Address | None:
        """Return the address where a back end listens, or ``None`` if it is unknown."""
        view = self._workers.get(worker)
        return Address(view.entry.address) if view is not None else None

    def record_call_start(self, worker: WorkerId, now: float) -> None:
        """Record a call that is sent to a back end at ``now``."""
        view = self._workers.get(worker)
        if view is not None:
            view.local_call_starts.append(now)

    def record_call_end(self, worker: WorkerId, started: float) -> None:
        """Record the end of the call that was sent at ``started``."""
        view = self._workers.get(worker)
        if view is not None and started in view.local_call_starts:
            view.local_call_starts.remove(started)

    def candidates(
        self,
        service: str,
        now: float,
        model: str = "",
        excluded: Collection[WorkerId] = (),
    ) -> list[Candidate]:
        """Return the back ends that may take a call.

        These are only the back ends of the local zone while one of them has a free slot.
        """
        views = [
            view
            for view in self._by_service.get(service, ())
            if not view.leaving
            and view.entry.worker not in excluded
            and (not model or not view.reported or model in view.models)
        ]
        healthy = [view for view in views if view.suspect_until <= now]
        return _prefer_same_zone([self._candidate(view) for view in healthy or views])

    def workers(self) -> tuple[WorkerView, ...]:
        """Return every back end, for state dumps."""
        return tuple(self._workers.values())

    def _candidate(self, view: WorkerView) -> Candidate:
        distance = 0 if view.entry.zone == self._zone else 1
        return Candidate(view.entry.worker, view.load, view.slots, distance)


def _merge_entry(previous: WorkerView | None, entry: WorkerEntry) -> WorkerView:
    if previous is None or previous.entry.boot != entry.boot:
        return WorkerView(entry, leaving=entry.leaving)
    previous.entry = entry
    previous.leaving = previous.leaving or entry.leaving
    return previous


def _reports_leaving(load: WorkerLoad, entry: WorkerEntry) -> bool:
    """Return whether a load reports that the listed incarnation is leaving.

    Reports of an ended incarnation still arrive for a second or two after the list shows the
    next one. If they counted, the next one would get no calls until it starts again.
    """
    return load.leaving and load.boot in ("", entry.boot)


def _prefer_same_zone(candidates: list[Candidate]) -> list[Candidate]:
    same_zone = [candidate for candidate in candidates if candidate.distance == 0]
    if any(candidate.pressure < 1.0 for candidate in same_zone):
        return same_zone
    return candidates
