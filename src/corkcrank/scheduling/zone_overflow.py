"""Describes calls that run outside the zone of their first engine.

Admission evaluates the zones in the order of a call's engines and takes the first zone in which the
call is expected in time. A call overflows if that is not the zone of its first engine.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from corkcrank.scheduling.call_admission import AdmissionVerdict

MAX_COUNTED_ZONE_PAIRS = 64
"""Maximum number of zone pairs that are counted separately: all pairs of eight zones."""

OTHER_ZONES = "other"
"""Replaces both zones of pairs above :data:`MAX_COUNTED_ZONE_PAIRS`."""


@dataclass(frozen=True, slots=True)
class ZoneOverflow:
    """A call that left its first zone, and the verdicts on both zones."""

    left_zone: str
    left: AdmissionVerdict
    taken_zone: str
    taken: AdmissionVerdict


def find_overflow(verdicts: Mapping[str, AdmissionVerdict]) -> ZoneOverflow | None:
    """Return the overflow of a call, given the verdicts by zone in the order of evaluation.

    ``None`` if the first zone admits the call or if no zone does.

    >>> late = AdmissionVerdict(False, 1.0, 1.2, -0.2, 0.0)
    >>> in_time = AdmissionVerdict(True, 0.4, 0.6, 0.4, 0.0)
    >>> find_overflow({"a": late, "b": in_time}).taken_zone
    'b'
    >>> find_overflow({"a": in_time}), find_overflow({"a": late, "b": late})
    (None, None)
    """
    left_zone, left = next(iter(verdicts.items()))
    for zone, verdict in verdicts.items():
        if verdict.admitted and zone != left_zone:
            return ZoneOverflow(left_zone, left, zone, verdict)
    return None


@dataclass(slots=True)
class CountedZonePairs:
    """Limits the number of zone pairs that are counted separately."""

    _pairs: set[tuple[str, str]] = field(default_factory=set)

    def counted_pair(self, left_zone: str, taken_zone: str) -> tuple[str, str]:
        """Return the pair under which an overflow is counted."""
        pair = (left_zone, taken_zone)
        if pair not in self._pairs and len(self._pairs) >= MAX_COUNTED_ZONE_PAIRS:
            return OTHER_ZONES, OTHER_ZONES
        self._pairs.add(pair)
        return pair
