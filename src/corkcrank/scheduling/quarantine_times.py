"""How long suspects are quarantined, and when each gateway begins the probation of a part."""

from collections.abc import Sequence
from itertools import pairwise

from corkcrank.contracts.rendezvous import HASH_RANGE, rendezvous_hash
from corkcrank.scheduling.crash_verdicts import MIN_QUARANTINE_CRASHES

MIN_QUARANTINE_SECONDS = 60.0
"""Length of the first quarantine. Each further crash doubles it: a request that crashes workers
crashes at most one for each probation."""

MAX_QUARANTINE_SECONDS = 3600.0
"""Maximum time for which a suspect is quarantined without another attempt."""

MAX_DOUBLINGS = 12
"""Crashes beyond this number of doublings do not extend the quarantine."""

SERIES_PAUSE_SECONDS = MIN_QUARANTINE_SECONDS / 2
"""Pause between two crashes under a part from which the later one begins another series."""

MAX_PROBATION_OFFSET_SECONDS = 10.0
"""Longest time by which a gateway's own probation of a part begins late. Requests with a part come
at all gateways at once; the first one's attempt is known to the others when theirs begins."""


def quarantine_seconds(ends: int) -> float:
    """Return how long a request is quarantined after its last crash.

    >>> quarantine_seconds(MIN_QUARANTINE_CRASHES), quarantine_seconds(5), quarantine_seconds(99)
    (60.0, 240.0, 3600.0)
    """
    doublings = min(ends - MIN_QUARANTINE_CRASHES, MAX_DOUBLINGS)
    return min(MAX_QUARANTINE_SECONDS, MIN_QUARANTINE_SECONDS * 2.0**doublings)


def part_quarantine_seconds(crashes: Sequence[float]) -> float:
    """Return how long a part is quarantined after the last of its crashes, given in order of time.

    Many engines crash in the seconds before the verdict on a part. They count as one crash, and so
    do those under one attempt on probation.

    >>> part_quarantine_seconds([0.0, 0.1, 0.3, 4.0, 4.2])
    60.0
    >>> part_quarantine_seconds([0.0, 0.1, 0.3, 66.0])
    120.0
    """
    series = 1 + sum(later - at > SERIES_PAUSE_SECONDS for at, later in pairwise(crashes))
    return quarantine_seconds(MIN_QUARANTINE_CRASHES + series - 1)


def probation_offset(gateway: str) -> float:
    """Return by how many seconds a gateway's probation of parts begins late.

    >>> 0.0 <= probation_offset("gateway-1") < MAX_PROBATION_OFFSET_SECONDS
    True
    """
    share = rendezvous_hash("probation", gateway) / HASH_RANGE
    return MAX_PROBATION_OFFSET_SECONDS * share
