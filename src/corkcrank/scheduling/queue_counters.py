"""What the queue before a stage worker did, for dumps and tests."""

from dataclasses import dataclass


@dataclass(slots=True)
class QueueCounters:
    """What a queue did since it was made."""

    calls: int = 0
    pieces: int = 0
    late: int = 0
    refused: int = 0
    no_room: int = 0
    room_waits: int = 0
