"""Separates the elements of an array that no JSON decoder accepts.

An element may nest too deeply, or hold a broken escape. The others are then still found by their
brackets alone. Takes linear time, without recursion.
"""

import itertools
import re

from corkcrank.links.strict_json import decode_strictly
from corkcrank.links.time_slices import Steps

TOKENS_PER_STEP = 1_000
"""Number of brackets, commas and strings after which a separation may be interrupted."""

MAX_COMPARED_TEXTS = 1_000
"""Maximum number of texts among which the lowest is sought."""

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},"]', re.DOTALL)
_STRING = rb'("(?:[^"\\]|\\.)*+")'
_CLOSED_BY = {b"[": b"]", b"{": b"}"}
_CLOSING = frozenset(_CLOSED_BY.values())
_COMMA, _QUOTE = b",", b'"'
_BOUNDARY_AS_STRING = re.compile(rb"\}\s*,\s*\{\s*\"\Z")


def cut_array(name: str, text: bytes) -> tuple[bytes, bytes]:
    """Return an object without the elements of an array, and their text.

    The array is the first member with a name, and nothing behind it holds another. Both are empty
    if there is none.

    >>> cut_array("a", b'{"a" : [1, [2] ], "b": 3}'), cut_array("a", b'{"a":1}')
    ((b'{"a" : [], "b": 3}', b'1, [2]'), (b'', b''))
    """
    start = re.search(b'"' + re.escape(name.encode()) + rb'"\s*:\s*\[', text)
    end = text.rfind(b"]")
    if start is None or end < start.end():
        return b"", b""
    return text[: start.end()] + text[end:], text[start.end() : end].strip()


def split_elements(text: bytes) -> Steps[list[bytes] | None]:
    r"""Return the texts of the elements between the brackets of an array, which may be no JSON.

    They are the texts between the commas that stand outside of all brackets and strings. ``None``
    if a bracket or quote has no counterpart, since any of these commas may then be wrong. Behind a
    quote without counterpart, the ends of objects seem to be ends of strings.

    >>> from corkcrank.links.time_slices import run_at_once
    >>> run_at_once(split_elements(rb'{"a":"},{\""},[[{}]], {"b":"\x"}'))
    [b'{"a":"},{\\""}', b'[[{}]]', b'{"b":"\\x"}']
    >>> run_at_once(split_elements(b'{"a":[},{"b":1}')), run_at_once(split_elements(b' '))
    (None, [])
    """
    elements: list[bytes] = []
    open_brackets: list[bytes] = []
    start = 0
    for number, token in enumerate(_TOKEN.finditer(text)):
        if number % TOKENS_PER_STEP == 0:
            yield
        mark = token[0]
        if mark in _CLOSED_BY:
            open_brackets.append(_CLOSED_BY[mark])
        elif mark in _CLOSING:
            if not open_brackets or open_brackets.pop() != mark:
                return None
        elif mark == _COMMA:
            if not open_brackets:
                elements.append(text[start : token.start()].strip())
                start = token.end()
        elif mark == _QUOTE or _BOUNDARY_AS_STRING.search(mark) is not None:
            return None
    elements.append(text[start:].strip())
    return None if open_brackets else [element for element in elements if element]


def find_lowest_text(name: str, text: bytes, first: str) -> str | None:
    r"""Return the lowest text from ``first`` on of the first members with a name.

    They may be at any depth of what may be no JSON.

    >>> find_lowest_text("a", rb'{"a":"1","b":[{"a" : "\x"},{"a":"3"},{"a":"2"', "2")
    '2'
    """
    member = re.compile(b'"' + re.escape(name.encode()) + rb'"\s*:\s*' + _STRING, re.DOTALL)
    members = itertools.islice(member.finditer(bytes(text)), MAX_COMPARED_TEXTS)
    found = (decode_strictly(match[1], str) for match in members)
    return min((item for item in found if isinstance(item, str) and item >= first), default=None)


def find_outer_text(name: str, text: bytes) -> str | None:
    """Return the text of a member of an object that may be no JSON, ``None`` if it is unreadable.

    Only members without brackets and escapes may stand before it.

    >>> find_outer_text("a", b'{"b":7,"a":"1","c":[[['), find_outer_text("a", b'{"b":[{"a":"1"')
    ('1', None)
    """
    quoted = b'"' + re.escape(name.encode()) + b'"'
    others = b"(?:(?!" + quoted + rb')"[^"\\]*+"\s*:\s*(?:"[^"\\]*+"|[\w.+-]*+)\s*,\s*)*+'
    match = re.match(rb"\s*\{\s*" + others + quoted + rb"\s*:\s*" + _STRING, bytes(text), re.DOTALL)
    found = decode_strictly(match[1], str) if match is not None else None
    return found if isinstance(found, str) else None
