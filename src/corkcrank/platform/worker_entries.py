"""The workers' entries in the store, of which some may come from another writer.

An entry is taken only whole: every field that a worker writes must be there and of its type,
since one that lacks a field was written by something else, and a request that is sent to its
address is lost. Numbers must make sense where they are used.
"""

import ipaddress
from enum import StrEnum
from typing import Annotated

import msgspec

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import StoreRow, Unreadable
from corkcrank.platform import names
from corkcrank.platform.call_headers import MILLISECONDS
from corkcrank.platform.strict_json import decode_strictly, unreadable

BornMilliseconds = Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)]
"""Unix time of a worker's start in milliseconds; whole numbers of JSON are exact up to here."""

MOST_SLOTS = 1_000_000
"""Most slots of a worker; more than any machine runs, so a number that makes no sense."""

LAST_PORT = 65_535

MOST_WARMUP_SECONDS = 60.0
"""Longest warm-up that is believed; a longer one would keep a worker from its share of work."""

_Slots = Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
_Text = Annotated[str, msgspec.Meta(min_length=1)]


class _State(StrEnum):
    READY = names.READY
    DRAINING = names.DRAINING


class _Entry(msgspec.Struct):
    service: _Text
    address: str
    zone: str
    version: str
    slots: _Slots
    state: _State
    warmup_left_ms: float
    sequence: int
    born: BornMilliseconds | msgspec.UnsetType = msgspec.UNSET


def read_worker(row: StoreRow) -> WorkerRecord | Unreadable | None:
    """Return the worker of a row, ``None`` where the row is gone, or why it names none."""
    if row.value is None:
        return None
    entry = decode_strictly(row.value, _Entry)
    if isinstance(entry, Unreadable):
        return entry
    if not _is_name(row.key):
        return unreadable("key is no name of a worker")
    if not _is_address(entry.address):
        return unreadable(f"address {entry.address!r} is no ip:port")
    return WorkerRecord(
        name=row.key,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state is _State.DRAINING,
        revision=row.revision,
        born=None if entry.born is msgspec.UNSET else entry.born,
        warmup=min(MOST_WARMUP_SECONDS, max(0.0, entry.warmup_left_ms / MILLISECONDS)),
    )


def _is_name(key: str) -> bool:
    """Return whether a key can stand in a header: graphic ASCII characters, no space."""
    return bool(key) and all("!" <= character <= "~" for character in key)


def _is_address(text: str) -> bool:
    """Return whether a text is an IP address, one of version 6 in brackets, and a port.

    >>> [_is_address(text) for text in ("10.0.0.1:80", "[::1]:80", "::1:80", "host:80", "")]
    [True, True, False, False, False]
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(LAST_PORT))):
        return False
    if not 1 <= int(port) <= LAST_PORT:
        return False
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
