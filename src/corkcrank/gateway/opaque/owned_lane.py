"""The queue of one stage worker at the gateway that owns it."""

import asyncio
from dataclasses import dataclass, field

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.gateway.opaque.stage_room import WorkerRoom
from corkcrank.scheduling.stage_lane import StageLane

AVOID_SECONDS = 1.5
"""Time for which a worker whose call failed is avoided."""

FULL_BLOCK_SECONDS = 0.08
"""Pause after a worker said that it is full: another owner fills it too."""

LEAST_TIMER_SECONDS = 0.005
"""Least time until a queue is looked at again."""


@dataclass(slots=True)
class OwnedLane:
    """A worker's lane at its owner, with what the owner knows of the worker."""

    worker: WorkerRecord
    lane: StageLane
    room: WorkerRoom
    timer: asyncio.TimerHandle | None = None
    known_handles: dict[str, None] = field(default_factory=dict)
