"""What gateways tell each other of a worker that ended: every request that it had, in one piece.

An end has several suspects, and what is known of one is the defence of the others. So the unit that
is told, kept and judged is the end of one worker's incarnation with all requests that were in
progress there, never one request alone.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from corkcrank.contracts.request_fingerprint import FINGERPRINT_BYTES

BEGINNING_SECONDS = 0.25
"""A run that went on for longer after its first event has hardly ended its worker: one that
crashes it does so as it begins."""

MOST_REQUESTS_AT_END = 64
"""Requests of one end that are kept; a worker that had more leaves an incomplete record."""

LONGEST_AGE_SECONDS = 7200.0
"""Ends that are older are not believed. Twice the longest quarantine."""

_PROGRESSED = 0x01
_CLEARED = 0x02


class RequestAtEnd(NamedTuple):
    """A request that a worker had at its end.

    ``progressed`` says that its run had gone on for longer than requests do that crash their
    worker, ``cleared`` that it has ended well since.
    """

    request: str
    progressed: bool = False
    cleared: bool = False


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A worker's incarnation that ended ``age`` seconds ago, and the requests that it had.

    ``fingerprints`` holds those of all requests, one after the other, and ``marks`` a byte for
    each: whether it had progressed, and whether it was cleared. ``incomplete`` says that the
    worker may have had requests that nobody could tell.
    """

    worker_id: str
    age: float
    fingerprints: bytes
    marks: bytes
    incomplete: bool = False

    @classmethod
    def of(
        cls, worker_id: str, age: float, requests: Iterable[RequestAtEnd], *, incomplete: bool
    ) -> "CrashReport":
        """Return a report in its wire form.

        >>> one = RequestAtEnd("00112233445566ff", progressed=True)
        >>> CrashReport.of("w", 0.5, [one], incomplete=False).requests() == [one]
        True
        """
        items = list(requests)
        return cls(
            worker_id,
            age,
            b"".join(bytes.fromhex(item.request) for item in items),
            bytes(_PROGRESSED * item.progressed | _CLEARED * item.cleared for item in items),
            incomplete,
        )

    def requests(self) -> list[RequestAtEnd]:
        """Return the requests of a report without a problem."""
        size = FINGERPRINT_BYTES
        return [
            RequestAtEnd(
                self.fingerprints[number * size : (number + 1) * size].hex(),
                bool(mark & _PROGRESSED),
                bool(mark & _CLEARED),
            )
            for number, mark in enumerate(self.marks)
        ]

    def problem(self) -> str:
        """Return why nothing of the report can be believed, empty if it can.

        >>> CrashReport("w", 0.0, bytes(8), b"").problem()
        'fingerprints and marks differ in number'
        """
        if not self.worker_id:
            return "no worker"
        if not 0.0 <= self.age <= LONGEST_AGE_SECONDS:
            return "impossible age"
        if len(self.fingerprints) != FINGERPRINT_BYTES * len(self.marks):
            return "fingerprints and marks differ in number"
        if len(self.marks) > MOST_REQUESTS_AT_END:
            return "too many requests"
        if any(mark & ~(_PROGRESSED | _CLEARED) for mark in self.marks):
            return "unknown mark"
        return ""


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """The newest attempt on probation, by its number, begun ``age`` seconds ago."""

    number: int
    age: float


class TrialReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway tells of a request on probation; ``reserved`` holds a place on the wire."""

    request: str
    reserved: tuple[Any, ...] = ()
    trial: Trial | None = None
