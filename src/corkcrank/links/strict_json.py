"""Decodes untrusted JSON and MessagePack into typed structures without raising errors."""

from typing import TypeVar

import msgspec

from corkcrank.links.platform_ports import Unreadable

MAX_REASON_CHARACTERS = 160
"""Maximum length of a reason in characters; it may quote field names from the document."""

_Document = TypeVar("_Document")


def decode_strictly(
    data: bytes | msgspec.Raw | Unreadable, kind: type[_Document]
) -> _Document | Unreadable:
    """Return a document, or the reason why it is unreadable; never raises an error.

    >>> decode_strictly(b"[1]", list[int]), decode_strictly(b"x", int)
    ([1], Unreadable(reason='JSON is malformed: invalid character (byte 0)'))
    """
    if isinstance(data, Unreadable):
        return data
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return unreadable_because(str(error))


def decode_packed_strictly(data: bytes, kind: type[_Document]) -> _Document | Unreadable:
    r"""Return a document in MessagePack, or the reason why it is unreadable; never raises an error.

    >>> decode_packed_strictly(b"\x91\x01", list[int]), decode_packed_strictly(b"", int)
    ([1], Unreadable(reason='Input data was truncated'))
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return unreadable_because(str(error))


def unreadable_because(reason: str) -> Unreadable:
    """Return an ``Unreadable`` with its reason truncated."""
    return Unreadable(reason[:MAX_REASON_CHARACTERS])
