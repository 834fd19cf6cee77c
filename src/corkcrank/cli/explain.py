"""``corkcrank explain``: what the logs of all machines say of one call, in one story."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

UNSHOWN = frozenset(("event", "time", "process", "call", "calls"))
"""Fields that the line's own columns show already."""


def explain_call(call: str, files: Iterable[Path]) -> list[str]:
    """Return one line for each log line about a call, in order of time.

    Lines that are no JSON, e.g. of another program in the same stream, are passed over;
    text before the first brace, such as a time that a collector adds, is as well.
    """
    records = [record for file in files for record in _records(file) if _concerns(record, call)]
    records.sort(key=lambda record: float(record.get("time", 0.0)))
    if not records:
        return []
    first = float(records[0].get("time", 0.0))
    return [_format(record, first) for record in records]


def _records(file: Path) -> Iterator[dict[str, Any]]:
    with file.open("rb") as lines:
        for line in lines:
            start = line.find(b"{")
            if start < 0:
                continue
            try:
                record = msgspec.json.decode(line[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(record, dict) and "event" in record:
                yield record


def _concerns(record: dict[str, Any], call: str) -> bool:
    return record.get("call") == call or call in record.get("calls", ())


def _format(record: dict[str, Any], first: float) -> str:
    seconds = float(record.get("time", 0.0)) - first
    fields = " ".join(
        f"{name}={_text(value)}" for name, value in record.items() if name not in UNSHOWN
    )
    return f"{seconds:8.3f} s  {record.get('process', '?')}  {record['event']} {fields}".rstrip()


def _text(value: Any) -> str:
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
