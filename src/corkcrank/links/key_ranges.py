"""Reads a range of keys page by page, also behind rows whose keys cannot be read.

Which key to continue from is then unknown. The range is halved until a page reaches the end of its
half, so that no readable row is left out.
"""

from corkcrank.links.json_arrays import find_lowest_text

MAX_KEY_CHARACTERS = 200

MAX_HALVINGS = 64
"""Maximum number of halvings, each after a page without a readable row."""

MAX_WRONG_GUESSES = 2
"""Maximum number of successive guesses that find no row."""

_ASCII_END = 0x80
_CHARACTERS_END = 0x110000
_SURROGATES = range(0xD800, 0xE000)
_LAST_BEFORE_SURROGATES = chr(_SURROGATES.start - 1)


class KeyCursor:
    """The keys that remain to be read: those from ``first`` on and before ``end``, if given.

    >>> cursor = KeyCursor("a")
    >>> cursor.advance(None, b"?"), cursor.first, cursor.end
    (True, 'a', 'p')
    >>> cursor.skip_range(), cursor.first, cursor.end
    (True, 'p', None)
    >>> cursor.skip_range()
    False
    """

    def __init__(self, first: str = "", end: str | None = None) -> None:
        self.first = first
        self.end = end
        self._halvings = 0
        self._wrong_guesses = 0
        self._later_ends: list[str | None] = []

    def advance(self, last: str | None, last_row: bytes) -> bool:
        """Continue after the last readable key of a page; return whether it was possible.

        Without one, halve the range; the text of the page's last row may tell where.
        """
        if last is None:
            return self._halve(find_lowest_text("key", last_row, self.first))
        if last < self.first or (self.end is not None and last >= self.end):
            return False
        self.first = last + "\0"
        return True

    def skip_range(self, *, was_empty: bool = False) -> bool:
        """Continue behind the range; return whether any keys remain."""
        if not was_empty:
            self._wrong_guesses = 0
        if self.end is None or not self._later_ends:
            return False
        self.first, self.end = self.end, self._later_ends.pop()
        return True

    def _halve(self, guess: str | None) -> bool:
        """Leave the second half for later; return whether it was possible.

        The first half ends after the key ``guess`` if that is in the range, unless guesses were
        wrong: a row without a readable key may name any others.
        """
        end = self._end_after(guess) or _middle(self.first, self.end)
        if end is None or self._halvings >= MAX_HALVINGS:
            return False
        self._later_ends.append(self.end)
        self.end = end
        self._halvings += 1
        return True

    def _end_after(self, guess: str | None) -> str | None:
        if guess is None or len(guess) >= MAX_KEY_CHARACTERS:
            return None
        if self._wrong_guesses >= MAX_WRONG_GUESSES:
            return None
        self._wrong_guesses += 1
        end = guess + "\0"
        return end if self.end is None or end < self.end else None


def _middle(first: str, end: str | None) -> str | None:
    r"""Return a key after ``first`` and before ``end``, ``None`` if it would be too long.

    Keys that begin as ``first`` does are tried first, and ASCII characters: most keys are alike.

    >>> _middle("", None), _middle("i-1", "i-3"), _middle("i-1", "i-2"), _middle("\x7f", None)
    ('@', 'i-2', 'i-1@', '\U0008803f')
    >>> _middle("worker-17", None)
    'workf'
    """
    place = _common_length(first, end)
    shared = (place + 1 + len(first)) // 2
    if shared > place + 1 and "\0" < first[shared - 1] < _LAST_BEFORE_SURROGATES:
        return first[: shared - 1] + chr(ord(first[shared - 1]) + 1)
    low = ord(first[place]) if place < len(first) else 0
    high = ord(end[place]) if end is not None else _end_of_characters(low)
    if (character := _character_between(low, high)) is not None:
        return first[:place] + character
    prefix = (first + "\0")[: place + 1]
    if len(prefix) >= MAX_KEY_CHARACTERS:
        return None
    rest = _middle(first[place + 1 :], None)
    return None if rest is None or len(prefix + rest) > MAX_KEY_CHARACTERS else prefix + rest


def _common_length(first: str, end: str | None) -> int:
    place = 0
    while end is not None and place < len(first) and first[place] == end[place]:
        place += 1
    return place


def _end_of_characters(low: int) -> int:
    return _ASCII_END if low < _ASCII_END - 1 else _CHARACTERS_END


def _character_between(low: int, high: int) -> str | None:
    """Return a character between two, ``None`` if there is none; surrogates are none."""
    middle = (low + high) // 2
    if middle in _SURROGATES:
        middle = _SURROGATES.stop if high > _SURROGATES.stop else _SURROGATES.start - 1
    return chr(middle) if low < middle < high else None
