"""Decodes and validates workers' entries in the store.

An entry is accepted only if every field that a worker writes is present and of the right type. An
entry without one of them was written by something other than a worker, and a request sent to its
address would be lost. Numbers must be in a plausible range.
"""

from enum import StrEnum
from typing import Annotated

import msgspec

from corkcrank.contracts.bounded_values import PlainName, PlainText, Revision, is_header_token
from corkcrank.contracts.socket_addresses import parse_socket_address
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import StoreRow, Unreadable
from corkcrank.links.strict_json import decode_strictly, unreadable_because
from corkcrank.platform import names
from corkcrank.platform.call_headers import MILLISECONDS_PER_SECOND

BornMilliseconds = Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)]
"""Unix time of a worker's start in milliseconds; JSON integers are exact below this limit."""

MAX_SLOTS = 1_000_000
"""Maximum plausible number of slots of a worker; no machine runs as many."""

MAX_WARMUP_SECONDS = 60.0
"""Upper limit for a stated warm-up; a longer one would keep a worker from its share of work."""

_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class _State(StrEnum):
    READY = names.READY
    DRAINING = names.DRAINING


class _Entry(msgspec.Struct):
    service: PlainName
    address: PlainText
    zone: PlainText
    version: PlainText
    slots: _Slots
    state: _State
    warmup_left_ms: float
    sequence: Revision
    born: BornMilliseconds | msgspec.UnsetType = msgspec.UNSET


def read_worker(row: StoreRow) -> WorkerRecord | Unreadable | None:
    """Return the worker of a row, ``None`` if the row was removed, or why it is invalid."""
    if row.value is None:
        return None
    entry = decode_strictly(row.value, _Entry)
    if isinstance(entry, Unreadable):
        return entry
    if not is_header_token(row.key):
        return unreadable_because("key is not a valid worker name")
    address = parse_socket_address(entry.address)
    if address is None:
        return unreadable_because(f"address {entry.address!r} is not of the form ip:port")
    return WorkerRecord(
        name=row.key,
        service=entry.service,
        address=address,
        zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state is _State.DRAINING,
        revision=row.revision,
        born=None if entry.born is msgspec.UNSET else entry.born,
        warmup=min(MAX_WARMUP_SECONDS, max(0.0, entry.warmup_left_ms / MILLISECONDS_PER_SECOND)),
        version=entry.version,
    )
