"""Defines the messages in which gateways report worker crashes and trials on probation.

A crash has several suspects, and evidence against one of them exonerates the others. So the unit
that is reported, stored and evaluated is the crash of one worker incarnation with all requests that
were in progress there, never a single request.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from corkcrank.contracts.request_fingerprint import FINGERPRINT_BYTES

EARLY_RUN_SECONDS = 0.25
"""A run that lasted longer than this after its first event is unlikely to have crashed its worker:
requests that crash workers do so early in their run."""

MAX_REQUESTS_PER_CRASH = 64
"""Maximum number of requests in one record; a worker that had more gets an incomplete record."""

MAX_REPORT_AGE_SECONDS = 7200.0
"""Reports of older crashes are rejected. Twice the longest quarantine."""

_PROGRESSED = 0x01
_CLEARED = 0x02


class RequestAtCrash(NamedTuple):
    """A request that was in progress when its worker crashed.

    ``progressed`` is true if the run had lasted longer than those that crash their worker usually
    do, ``cleared`` if the request has completed successfully since.
    """

    request: str
    progressed: bool = False
    cleared: bool = False


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a worker incarnation ``age`` seconds ago, and the requests in progress there.

    ``fingerprints`` is the concatenation of all requests' fingerprints. ``marks`` holds one byte of
    flags for each request: progressed and cleared. ``incomplete`` is true if the worker may have
    had requests that no gateway reported.
    """

    worker_id: str
    age: float
    fingerprints: bytes
    marks: bytes
    incomplete: bool = False

    @classmethod
    def from_requests(
        cls, worker_id: str, age: float, requests: Iterable[RequestAtCrash], *, incomplete: bool
    ) -> "CrashReport":
        """Build a report in its wire form.

        >>> one = RequestAtCrash("00112233445566ff", progressed=True)
        >>> CrashReport.from_requests("w", 0.5, [one], incomplete=False).requests() == [one]
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

    def requests(self) -> list[RequestAtCrash]:
        """Return the requests of a valid report."""
        size = FINGERPRINT_BYTES
        return [
            RequestAtCrash(
                self.fingerprints[number * size : (number + 1) * size].hex(),
                bool(mark & _PROGRESSED),
                bool(mark & _CLEARED),
            )
            for number, mark in enumerate(self.marks)
        ]

    def problem(self) -> str:
        """Return why the report is invalid, or an empty text if it is valid.

        >>> CrashReport("w", 0.0, bytes(8), b"").problem()
        'fingerprints and marks differ in number'
        """
        if not self.worker_id:
            return "no worker"
        if not 0.0 <= self.age <= MAX_REPORT_AGE_SECONDS:
            return "impossible age"
        if len(self.fingerprints) != FINGERPRINT_BYTES * len(self.marks):
            return "fingerprints and marks differ in number"
        if len(self.marks) > MAX_REQUESTS_PER_CRASH:
            return "too many requests"
        if any(mark & ~(_PROGRESSED | _CLEARED) for mark in self.marks):
            return "unknown mark"
        return ""


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """The latest attempt on probation: its sequence number, and its age in seconds."""

    number: int
    age: float


class TrialReport(msgspec.Struct, frozen=True, array_like=True):
    """The state of a request on probation; ``reserved`` is an unused position on the wire."""

    request: str
    reserved: tuple[Any, ...] = ()
    trial: Trial | None = None
