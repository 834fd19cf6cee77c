"""Separates the elements of an array that no JSON decoder accepts.

An element may nest too deeply, or hold a broken escape. The others are then still found by their
brackets alone. Takes linear time, without recursion.
"""

import re

from corkcrank.links.strict_json import decode_strictly

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},"]', re.DOTALL)
_STRING = rb'("(?:[^"\\]|\\.)*+")'
_CLOSED_BY = {b"[": b"]", b"{": b"}"}
_CLOSING = frozenset(_CLOSED_BY.values())
_COMMA, _QUOTE = b",", b'"'
_OBJECT_BOUNDARY = re.compile(rb"(?<=\})\s*,|,\s*(?=\{\s*\")")
_BOUNDARY_AS_STRING = re.compile(rb"\}\s*,\s*\{\s*\"\Z")


def split_elements(text: bytes) -> list[bytes]:
    r"""Return the texts of the elements between the brackets of an array, which may be no JSON.

    Where a bracket or quote has no counterpart, elements begin and end wherever an object may.

    >>> split_elements(rb'{"a":"},{\""},[[{}]],{"b":"\x"}')
    [b'{"a":"},{\\""}', b'[[{}]]', b'{"b":"\\x"}']
    >>> split_elements(b'{"a":[},{"b":1}'), split_elements(b' ')
    ([b'{"a":[}', b'{"b":1}'], [])
    """
    elements = _split_by_brackets(text)
    if elements is None:
        elements = _OBJECT_BOUNDARY.split(text)
    return [element.strip() for element in elements if element.strip()]


def _split_by_brackets(text: bytes) -> list[bytes] | None:
    """Return the texts between the commas that stand outside of all brackets and strings.

    ``None`` if a bracket or quote has no counterpart, since any of these commas may then be wrong.
    Behind a quote without counterpart, the ends of objects seem to be ends of strings.
    """
    elements: list[bytes] = []
    open_brackets: list[bytes] = []
    start = 0
    for token in _TOKEN.finditer(text):
        mark = token[0]
        if mark in _CLOSED_BY:
            open_brackets.append(_CLOSED_BY[mark])
        elif mark in _CLOSING:
            if not open_brackets or open_brackets.pop() != mark:
                return None
        elif mark == _COMMA:
            if not open_brackets:
                elements.append(text[start : token.start()])
                start = token.end()
        elif mark == _QUOTE or _BOUNDARY_AS_STRING.search(mark) is not None:
            return None
    return None if open_brackets else [*elements, text[start:]]


def find_texts(name: str, text: bytes) -> list[str]:
    r"""Return the readable texts of all members with a name, at any depth of what may be no JSON.

    >>> find_texts("a", rb'{"a":"1","b":[{"a" : "\x"},{"a":"2"')
    ['1', '2']
    """
    member = re.compile(b'"' + re.escape(name.encode()) + rb'"\s*:\s*' + _STRING, re.DOTALL)
    found = (decode_strictly(match[1], str) for match in member.finditer(bytes(text)))
    return [item for item in found if isinstance(item, str)]


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
