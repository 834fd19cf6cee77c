"""Types of values from other processes that every later step can use, whoever wrote them."""

from typing import Annotated

import msgspec

MAX_REVISION = (1 << 63) - 1
"""Highest revision of the store; messages to peers hold integers of 64 bits."""

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]

WholeNumber = Annotated[int, msgspec.Meta(ge=-MAX_REVISION, le=MAX_REVISION)]
"""An integer of 64 bits."""

MAX_TEXT_CHARACTERS = 200
"""Maximum length of a name; that of a key of the store is the same."""

_PLAIN = r"^[^\x00-\x1f\x7f-\x9f\u2028\u2029]*\Z"

PlainText = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS, pattern=_PLAIN)]
"""A short text without control characters and line separators."""

PlainName = Annotated[PlainText, msgspec.Meta(min_length=1)]


MAX_UNSIGNED = (1 << 64) - 1


def parse_unsigned(text: str, highest: int = MAX_UNSIGNED) -> int | None:
    """Return a decimal number up to a highest one, ``None`` if the text is none.

    >>> [parse_unsigned(text) for text in ("17", "", "-1", "\u00b2", "9" * 20, "0" * 5000)]
    [17, None, None, None, None, None]
    """
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(highest))):
        return None
    number = int(text)
    return number if number <= highest else None


def is_header_token(text: str) -> bool:
    """Return whether a text is a valid value of a header: graphic ASCII characters, no spaces.

    >>> [is_header_token(text) for text in ("i-1", "a b", "", "i" * 201)]
    [True, False, False, False]
    """
    graphic = text.isascii() and text.isprintable() and " " not in text
    return graphic and 1 <= len(text) <= MAX_TEXT_CHARACTERS
