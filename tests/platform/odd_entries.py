"""Odd rows that another writer may leave among those of the workers."""

import asyncio
import json
from typing import Any

from standin_store import REVISION, RowText

from corkcrank.node.process.node import Node

DEPTH = 200_000
LONG = 60_000
"""Length of a long text: with its encoding, the row stays below what the store takes."""

ENTRY: dict[str, Any] = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
}

ADDRESSES = [
    "",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:99999",
    f"127.0.0.1:{10**23}",
    "127.0.0.1:80\r\nHost: x",
    "127.0.0.1\x00:80",
    "localhost:80",
    "user@127.0.0.1:80",
    "0.0.0.0:80",
    "[::]:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "[ff02::1]:80",
    "[::ffff:0.0.0.0]:80",
    "[fe80::1%[]:80",
    "[fe80::1% ]:80",
    "[fe80::1%\x00]:80",
    "[fe80::1%]]:80",
    "[fe80::1%eth0]:80",
    "[::1:80",
    "1" * LONG,
]

TEXTS = ["a\x00b", "a\r\nX-Other: b", "\x7f", "\x85", "\u2028", "a" * LONG, 5, None, [], {}]

NUMBERS = [10**23, 10**400, -(10**23), -1, 1 << 64, 1.5, "8", True, None, [8]]


def _text(**fields: Any) -> bytes:
    return json.dumps({**ENTRY, **fields}).encode()


def _with_raw(field: str, raw: bytes) -> bytes:
    """Return an entry with the text of one value, which may be no JSON."""
    rest = json.dumps({name: value for name, value in ENTRY.items() if name != field}).encode()
    return rest[:-1] + b', "' + field.encode() + b'": ' + raw + b"}"


def _nested(opening: bytes, closing: bytes) -> bytes:
    return opening * DEPTH + b"0" + closing * DEPTH


def odd_values() -> dict[str, bytes]:
    """Return odd values of rows, by a name that serves as key."""
    values = {f"address-{number}": _text(address=text) for number, text in enumerate(ADDRESSES)}
    for field in ("service", "zone", "version"):
        for number, text in enumerate(TEXTS):
            values[f"{field}-{number}"] = _text(**{field: text})
        values[f"{field}-surrogate"] = _with_raw(field, b'"\\ud800"')
        values[f"{field}-escape"] = _with_raw(field, b'"\\x41"')
        values[f"{field}-bytes"] = _with_raw(field, b'"\xff\xfe"')
    for field in ("slots", "sequence", "born"):
        for number, value in enumerate(NUMBERS):
            values[f"{field}-{number}"] = _text(**{field: value})
    for field in ("slots", "warmup_left_ms", "sequence", "born"):
        for raw in (b"1e400", b"NaN", b"-Infinity", b"1" * 100_000):
            values[f"{field}-{raw[:4].decode()}"] = _with_raw(field, raw)
    values |= {
        "nested-lists": _with_raw("other", _nested(b"[", b"]")),
        "nested-maps": _with_raw("other", _nested(b'{"a":', b"}")),
        "nested-open": b'{"service":' + b"[" * DEPTH,
        "nested-service": _with_raw("service", _nested(b"[", b"]")),
        "empty": b"",
        "null": b"null",
        "list": b"[]",
        "cut": _text()[:-7],
        "duplicate-address": _text()[:-1] + b', "address": "127.0.0.1:99999"}',
        "duplicate-state": _text()[:-1] + b', "state": "frob"}',
    }
    return values


ODD_KEYS = ["a b", "a\r\nX: y", "a\x00", "ä", "k" * 190 + "\u2028"]
"""Keys that no header can hold, of rows whose value is sound."""

_VALUE = b"e30="


def odd_rows() -> dict[str, RowText]:
    """Return rows whose text itself is odd, outside their value."""
    head = b'{"table":"servers","part":"",'
    ver = b'"ver":' + REVISION
    texts = {
        "row-nested": b'"other":' + _nested(b"[", b"]") + b',"key":"row-nested",' + ver,
        "row-nested-last": b'"key":"row-nested-last",' + ver + b',"x":' + _nested(b'{"a":', b"}"),
        "row-escape": b'"key":"row-escape","other":"\\x41",' + ver,
        "row-escape-key": b'"key":"row-\\escape-key",' + ver,
        "row-surrogate": b'"key":"row-\\ud800",' + ver,
        "row-bytes": b'"key":"row-bytes","other":"\xff\xfe",' + ver,
        "row-control": b'"key":"row-control","other":"\n\x01",' + ver,
        "row-quote": b'"key":"row-quote","other":"a"b",' + ver,
        "row-bracket": b'"key":"row-bracket","other":[1,2,' + ver,
        "row-ver-huge": b'"key":"row-ver-huge","ver":' + str(10**23).encode(),
        "row-ver-newer": b'"key":"row-ver-newer","ver":' + str(10**15).encode(),
        "row-ver-float": b'"key":"row-ver-float","ver":1e400',
        "row-ver-nan": b'"key":"row-ver-nan","ver":NaN',
        "row-ver-negative": b'"key":"row-ver-negative","ver":-1',
        "row-ver-text": b'"key":"row-ver-text","ver":"7"',
        "row-duplicate": b'"key":"row-a","key":"row-duplicate",' + ver,
    }
    rows = {
        key: RowText(head + text + b',"value":"' + _VALUE + b'"}') for key, text in texts.items()
    }
    rows["row-base64"] = RowText(head + b'"key":"row-base64",' + ver + b',"value":"%%%"}')
    rows["row-number"] = RowText(head + b'"key":"row-number",' + ver + b',"value":7}')
    rows["row-without-key"] = RowText(head + ver + b',"value":"e30="}')
    rows["row-null"] = RowText(b"null")
    rows["row-list"] = RowText(b"[[],{}]")
    return rows


def ended_loops(node: Node) -> list[asyncio.Task[None]]:
    """Return the background loops of a gateway that have failed or were cancelled."""
    return [
        task
        for task in node._loops.tasks
        if task.done() and (task.cancelled() or task.exception() is not None)
    ]
