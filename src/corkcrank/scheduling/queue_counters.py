"""Event counters of a stage worker's queue, for state dumps and tests."""

from dataclasses import dataclass


@dataclass(slots=True)
class QueueCounters:
    """Totals of one queue since its creation."""

    calls: int = 0
    pieces: int = 0
    late: int = 0
    refused: int = 0
    no_room: int = 0
    room_waits: int = 0
