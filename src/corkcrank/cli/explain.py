"""``corkcrank explain``: collects the log lines about one call from all machines."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from corkcrank.reports.log_records import LogRecord, read_all, time_of

COLUMN_FIELDS = frozenset(("event", "time", "process", "call", "calls"))
"""Fields that the columns of the line already show."""


def explain_call(call: str, files: Iterable[Path]) -> list[str]:
    """Return one line for each log line about a call or a request, in order of time."""
    records = [record for record in read_all(files) if _concerns(record, call)]
    if not records:
        return []
    first = time_of(records[0])
    return [_format(record, first) for record in records]


def _concerns(record: LogRecord, call: str) -> bool:
    return call in (record.get("call"), record.get("request")) or call in record.get("calls", ())


def _format(record: LogRecord, first: float) -> str:
    seconds = time_of(record) - first
    fields = " ".join(
        f"{name}={_text(value)}" for name, value in record.items() if name not in COLUMN_FIELDS
    )
    return f"{seconds:8.3f} s  {record.get('process', '?')}  {record['event']} {fields}".rstrip()


def _text(value: Any) -> str:
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
