"""JSON that anybody may have written, read into typed structures."""

from typing import TypeVar

import msgspec

from corkcrank.links.platform_ports import Unreadable

LONGEST_REASON = 160
"""Longest reason that is told, in characters: names of fields come from the document."""

_Document = TypeVar("_Document")


def decode_strictly(
    data: bytes | msgspec.Raw | Unreadable, kind: type[_Document]
) -> _Document | Unreadable:
    """Return a document, or what is wrong with it; raises nothing, whatever the bytes.

    >>> decode_strictly(b"[1]", list[int]), decode_strictly(b"x", int)
    ([1], Unreadable(reason='JSON is malformed: invalid character (byte 0)'))
    """
    if isinstance(data, Unreadable):
        return data
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return unreadable(str(error))


def unreadable(reason: str) -> Unreadable:
    """Return a reason of bounded length."""
    return Unreadable(reason[:LONGEST_REASON])
