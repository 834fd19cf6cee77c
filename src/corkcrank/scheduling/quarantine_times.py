"""Computes the quarantine of suspects, and each gateway's offset for the probation of a part."""

from collections.abc import Sequence
from itertools import pairwise

from corkcrank.contracts.rendezvous import HASH_RANGE, rendezvous_hash
from corkcrank.scheduling.crash_verdicts import MIN_QUARANTINE_CRASHES

MIN_QUARANTINE_SECONDS = 60.0
"""Length of the first quarantine. Each further crash doubles it. A request that crashes workers
crashes at most one in each probation."""

MAX_QUARANTINE_SECONDS = 3600.0
"""Maximum time for which a suspect is quarantined without another attempt."""

MAX_DOUBLINGS = 12
"""Maximum number of doublings; further crashes do not extend the quarantine."""

SERIES_PAUSE_SECONDS = MIN_QUARANTINE_SECONDS / 2
"""Minimum pause between two crashes under a part for the later one to begin another series."""

MAX_PROBATION_OFFSET_SECONDS = 10.0
"""Maximum delay of a gateway's probation of a part. Requests with a part arrive at all gateways at
once; the offset lets the first attempt become known before others begin."""


def quarantine_seconds(ends: int) -> float:
    """Return the quarantine in seconds after a request's last of ``ends`` crashes.

    >>> quarantine_seconds(MIN_QUARANTINE_CRASHES), quarantine_seconds(5), quarantine_seconds(99)
    (60.0, 240.0, 3600.0)
    """
    doublings = min(ends - MIN_QUARANTINE_CRASHES, MAX_DOUBLINGS)
    return min(MAX_QUARANTINE_SECONDS, MIN_QUARANTINE_SECONDS * 2.0**doublings)


def part_quarantine_seconds(crashes: Sequence[float]) -> float:
    """Return the quarantine of a part in seconds, given the times of its crashes in order.

    Many engines crash in the seconds before the verdict on a part. They count as one crash, as do
    the crashes of one attempt on probation.

    >>> part_quarantine_seconds([0.0, 0.1, 0.3, 4.0, 4.2])
    60.0
    >>> part_quarantine_seconds([0.0, 0.1, 0.3, 66.0])
    120.0
    """
    series = 1 + sum(later - at > SERIES_PAUSE_SECONDS for at, later in pairwise(crashes))
    return quarantine_seconds(MIN_QUARANTINE_CRASHES + series - 1)


def probation_offset(gateway: str) -> float:
    """Return the delay of a gateway's probation of parts, in seconds.

    >>> 0.0 <= probation_offset("gateway-1") < MAX_PROBATION_OFFSET_SECONDS
    True
    """
    share = rendezvous_hash("probation", gateway) / HASH_RANGE
    return MAX_PROBATION_OFFSET_SECONDS * share
