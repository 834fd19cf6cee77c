"""The events of streams: what engines of several software versions write, and what callers hold.

Engines write the same events but for the version, which each event names.
"""

import re
from collections.abc import Sequence

from soak.sent_calls import SentCall

VERSIONS = ("v1", "v2")
"""Software versions of the engines, which serve side by side."""

MIN_TAKEN_UP = 12
"""Number of streams taken up from which the share that goes on is checked."""

MIN_CONTINUED_SHARE = 0.5
"""Least share of the streams taken up that go on, of the share of new streams that begin."""

_VERSION = re.compile(rb"^data: .* (\S+)$", re.MULTILINE)


def engine_version(worker_id: str) -> str:
    """Return the software version of an engine; a restart under its id keeps it.

    >>> engine_version("i-0000000a"), engine_version("i-0000000b")
    ('v1', 'v2')
    """
    return VERSIONS[int(worker_id.removeprefix("i-"), 16) % len(VERSIONS)]


def event(stream_id: str, number: int, version: str = VERSIONS[0]) -> bytes:
    """Return one server-sent event of a stream, as an engine of a version writes it."""
    return f"id: {number}\ndata: {stream_id} {number} {version}\n\n".encode()


def events(stream_id: str, numbers: Sequence[int], version: str) -> bytes:
    """Return consecutive events of a stream."""
    return b"".join(event(stream_id, number, version) for number in numbers)


def versions_in(body: bytes) -> list[str]:
    """Return the versions that wrote the complete events of a body, in order, each once.

    >>> versions_in(event("s", 1, "v1") + event("s", 2, "v2") + event("s", 3, "v2"))
    ['v1', 'v2']
    """
    complete = body[: body.rfind(b"\n\n") + 1]
    return list(dict.fromkeys(found.decode() for found in _VERSION.findall(complete)))


def last_event(body: bytes) -> int:
    """Return the id of the last complete event of a body, 0 without one.

    >>> last_event(event("s", 1) + event("s", 2)[:-2])
    1
    """
    numbers = re.findall(rb"^id: (\d+)$", body[: body.rfind(b"\n\n") + 1], re.MULTILINE)
    return int(numbers[-1]) if numbers else 0


def foreign_versions(call: SentCall, body: bytes) -> list[str]:
    """Return the versions in an answer beside the one that began the caller's stream."""
    versions = versions_in(body)
    return [version for version in versions if version != (call.version or versions[0])]


def is_whole(call: SentCall, body: bytes) -> bool:
    """Return whether an answer has every event after the last one that its caller had."""
    numbers = range(call.resume_after + 1, call.events + 1)
    versions = versions_in(body) or [call.version]
    return body == events(call.stream_id, numbers, versions[0])
