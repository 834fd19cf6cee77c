"""The queues of stage workers at the gateway that owns them."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from corkcrank.contracts.opaque_configuration import ServiceProfile
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.gateway.opaque.peer_protocol import StageWork
from corkcrank.gateway.opaque.stage_room import WorkerRoom
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_pools import pool_of
from corkcrank.scheduling.stage_lane import LaneForecast, StageLane
from corkcrank.scheduling.worker_choice import StandingBook

AVOID_SECONDS = 1.5
"""Time for which a worker whose call failed is avoided."""

FULL_BLOCK_SECONDS = 0.08
"""Pause after a worker said that it is full: another owner fills it too."""

LEAST_TIMER_SECONDS = 0.005
"""Least time until a queue is looked at again."""

OWNER_SECONDS = 5.0
"""Time after its last use for which a gateway counts as an owner of queues or engines: a few of
an owner's heartbeats in a fleet of 195 (1.1 s each)."""


@dataclass(slots=True)
class OwnedLane:
    """A worker's lane at its owner, with what the owner knows of the worker."""

    worker: WorkerRecord
    lane: StageLane
    room: WorkerRoom
    timer: asyncio.TimerHandle | None = None
    known_handles: dict[str, None] = field(default_factory=dict)


class OwnedLanes:
    """Every lane here, by worker; ``on_new`` is called with each that is made."""

    def __init__(
        self, mirror: StoreMirror, book: StandingBook, on_new: Callable[[OwnedLane], None]
    ) -> None:
        self._mirror = mirror
        self._book = book
        self._on_new = on_new
        self._lanes: dict[str, OwnedLane] = {}

    def __iter__(self) -> Iterator[OwnedLane]:
        """Go through the lanes; some may be dropped meanwhile."""
        return iter(list(self._lanes.values()))

    def get(self, worker_id: str) -> OwnedLane | None:
        """Return the lane of a worker, if there is one."""
        return self._lanes.get(worker_id)

    def of(self, worker: WorkerRecord, profile: ServiceProfile) -> OwnedLane:
        """Return the lane of a worker, new if needed, with the capacity now stated."""
        assert profile.stage is not None
        entry = self._lanes.get(worker.worker_id)
        if entry is None:
            lane = StageLane(profile.stage)
            entry = OwnedLane(worker, lane, WorkerRoom(worker, lane))
            self._lanes[worker.worker_id] = entry
            self._on_new(entry)
        entry.lane.capacity = profile.stage
        return entry

    def drop(self, entry: OwnedLane) -> None:
        """Forget a lane whose worker is gone."""
        if entry.timer is not None:
            entry.timer.cancel()
        del self._lanes[entry.worker.worker_id]

    def siblings(self, entry: OwnedLane) -> list[OwnedLane]:
        """Return the lanes of the other workers of the same service and zone."""
        pool = (entry.worker.service, entry.worker.zone)
        return [
            other
            for other in self._lanes.values()
            if other is not entry and (other.worker.service, other.worker.zone) == pool
        ]

    def first_free(
        self, worker: WorkerRecord, profile: ServiceProfile, work: StageWork, now: float
    ) -> tuple[OwnedLane, LaneForecast]:
        """Return the lane of the worker's pool where pieces would end first, and when.

        Whoever sends pieces knows the lanes as they were told, 1 s ago on average in a fleet
        of 195; their owner knows them as they are. Answers the load of test_fleet_play.py:
        0.956 of the callers of the most urgent route served in time without it, 0.967 so (trials
        with that load on 192 nodes, two plays).
        """
        urgency = work.urgency.on_clock(now)
        choices = []
        for other in pool_of(self._mirror.workers, worker).workers:
            standing = self._book.of(other.worker_id)
            unsound = standing.avoid_until > now or standing.set_aside(repeatable=True)
            if other is not worker and (standing.leaving or unsound):
                continue
            entry = self.of(other, profile)
            expected = entry.lane.forecast(now, urgency, len(work.pieces), work.result_bytes)
            choices.append((entry, expected))
        return min(choices, key=lambda choice: choice[1].end)
