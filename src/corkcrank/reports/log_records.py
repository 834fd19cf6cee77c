"""Reads the structured log lines of nodes from files written by any log collector."""

from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

LogRecord = Mapping[str, Any]
"""Fields of one log line as the node wrote them; ``event`` names the kind of line."""


def read_records(file: Path) -> Iterator[LogRecord]:
    """Return the structured lines of a file.

    Lines that are not JSON, e.g. of another program in the same stream, are skipped. Text
    before the first brace, such as a timestamp that a collector adds, is ignored.
    """
    with file.open("rb") as lines:
        for line in lines:
            record = _decode(line)
            if record is not None:
                yield record


def read_all(files: Iterable[Path]) -> list[LogRecord]:
    """Return the records of all files, sorted by time."""
    records = [record for file in files for record in read_records(file)]
    records.sort(key=time_of)
    return records


def time_of(record: LogRecord) -> float:
    """Return when a line was written, in seconds on the machine's wall clock."""
    return float(record.get("time", 0.0))


def _decode(line: bytes) -> LogRecord | None:
    start = line.find(b"{")
    if start < 0:
        return None
    try:
        record = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    return record if isinstance(record, dict) and "event" in record else None
