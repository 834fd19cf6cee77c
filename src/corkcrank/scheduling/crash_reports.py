"""Defines the messages in which gateways report worker crashes and trials on probation.

A crash has several suspects: the requests in progress, and the prompt parts that requests share.
Evidence against one suspect exonerates the others. Therefore the unit of reports, storage and
verdicts is the crash of one worker incarnation, with all requests in progress there and the parts
of their prompts.
"""

from collections.abc import Iterable, Sequence
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


MAX_PARTS_PER_CRASH = 64
"""Maximum number of prompt parts in one record; with more the record is incomplete."""

_SUCCEEDED_BEFORE = 0x01
_SUCCEEDED_AFTER = 0x02


class RequestAtCrash(NamedTuple):
    """A request that was in progress when its worker crashed.

    ``progressed`` is true if the run had lasted longer than :data:`EARLY_RUN_SECONDS`. ``cleared``
    is true if the request has completed successfully since. ``parts`` are the fingerprints of its
    prompt's shared parts, ``None`` if they are unknown.
    """

    request: str
    progressed: bool = False
    cleared: bool = False
    parts: tuple[str, ...] | None = ()


class PartSuccess(NamedTuple):
    """Whether runs with a prompt part progressed before or after its worker's crash."""

    part: str
    before: bool = False
    after: bool = False


class PartsAtCrash(msgspec.Struct, frozen=True, array_like=True):
    """The shared prompt parts of the requests in progress at a crash.

    ``fingerprints`` is the concatenation of the parts' fingerprints. ``marks`` holds one byte of
    flags for each part: succeeded before and after the crash. ``holders`` lists for each part the
    indices of the report's requests whose prompts contain it. ``unknown`` lists the requests whose
    parts are unknown, because a gateway of a release without parts reported them.
    """

    fingerprints: bytes = b""
    marks: bytes = b""
    holders: tuple[bytes, ...] = ()
    unknown: bytes = b""

    @classmethod
    def from_requests(
        cls, requests: Sequence[RequestAtCrash], successes: Iterable[PartSuccess]
    ) -> "PartsAtCrash":
        """Build the wire form."""
        holders: dict[str, list[int]] = {}
        for index, request in enumerate(requests):
            for part in request.parts or ():
                holders.setdefault(part, []).append(index)
        known = {item.part: item for item in successes}
        marks = (known.get(part, PartSuccess(part)) for part in holders)
        return cls(
            b"".join(bytes.fromhex(part) for part in holders),
            bytes(
                _SUCCEEDED_BEFORE * item.before | _SUCCEEDED_AFTER * item.after for item in marks
            ),
            tuple(bytes(indices) for indices in holders.values()),
            bytes(index for index, request in enumerate(requests) if request.parts is None),
        )

    def parts(self) -> list[str]:
        """Return the fingerprints of the parts."""
        size = FINGERPRINT_BYTES
        return [
            self.fingerprints[number * size : (number + 1) * size].hex()
            for number in range(len(self.marks))
        ]

    def successes(self) -> list[PartSuccess]:
        """Return the successes of the parts."""
        return [
            PartSuccess(part, bool(mark & _SUCCEEDED_BEFORE), bool(mark & _SUCCEEDED_AFTER))
            for part, mark in zip(self.parts(), self.marks, strict=True)
        ]

    def problem(self, requests: int) -> str:
        """Return why the parts are invalid in a report of ``requests`` requests, or ""."""
        if len(self.fingerprints) != FINGERPRINT_BYTES * len(self.marks):
            return "parts and marks differ in number"
        if len(self.holders) != len(self.marks):
            return "parts and holders differ in number"
        if len(self.marks) > MAX_PARTS_PER_CRASH:
            return "too many parts"
        if any(index >= requests for item in (*self.holders, self.unknown) for index in item):
            return "holder of a part is no request of the report"
        return ""


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a worker incarnation ``age`` seconds ago, and the requests in progress there.

    ``fingerprints`` is the concatenation of all requests' fingerprints. ``marks`` holds one byte of
    flags for each request: progressed and cleared. ``incomplete`` is true if the worker may have
    had requests that no gateway reported. ``prompt_parts`` is ``None`` in reports of a release that
    did not report parts: these are unknown, not absent.
    """

    worker_id: str
    age: float
    fingerprints: bytes
    marks: bytes
    incomplete: bool = False
    prompt_parts: PartsAtCrash | None = None

    @classmethod
    def from_requests(
        cls,
        worker_id: str,
        age: float,
        requests: Iterable[RequestAtCrash],
        *,
        incomplete: bool,
        successes: Iterable[PartSuccess] = (),
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
            PartsAtCrash.from_requests(items, successes),
        )

    def requests(self) -> list[RequestAtCrash]:
        """Return the requests of a valid report."""
        size = FINGERPRINT_BYTES
        parts = self._parts_by_request()
        return [
            RequestAtCrash(
                self.fingerprints[number * size : (number + 1) * size].hex(),
                bool(mark & _PROGRESSED),
                bool(mark & _CLEARED),
                parts[number],
            )
            for number, mark in enumerate(self.marks)
        ]

    def part_successes(self) -> list[PartSuccess]:
        """Return the parts' successes in a valid report."""
        return self.prompt_parts.successes() if self.prompt_parts is not None else []

    def _parts_by_request(self) -> list[tuple[str, ...] | None]:
        if self.prompt_parts is None:
            return [None] * len(self.marks)
        parts: list[list[str]] = [[] for _ in self.marks]
        for part, holders in zip(self.prompt_parts.parts(), self.prompt_parts.holders, strict=True):
            for index in holders:
                parts[index].append(part)
        unknown = set(self.prompt_parts.unknown)
        return [None if index in unknown else tuple(item) for index, item in enumerate(parts)]

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
        if self.prompt_parts is not None:
            return self.prompt_parts.problem(len(self.marks))
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
