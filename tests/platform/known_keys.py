"""Finds keys and headers in the platform's messages that ``known_keys.toml`` does not list.

``python tests/platform/known_keys.py FILE`` reads examples of the platform's messages, as text
with JSON between other lines, and prints the unlisted keys and headers.
"""

import json
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

LISTS = tomllib.loads((Path(__file__).parent / "known_keys.toml").read_text(encoding="utf-8"))
HEADER = re.compile(r"^((?:X-Corkcrank|Kv|Server)-[A-Za-z-]+):", re.MULTILINE)

MARKS = {
    "settings": {"node_name", "listeners_addr"},
    "configuration": {"routes", "tenants"},
    "entry": {"state", "warmup_left_ms"},
}
"""Keys that identify a document of each kind."""


def read_keys(kind: str) -> set[str]:
    """Return the keys that are read from a kind of document."""
    return set(LISTS[kind]["read"])


def unknown_keys(kind: str, document: dict[str, Any]) -> set[str]:
    """Return the keys of a document that are not listed."""
    found = set(_paths(document, "", set(LISTS[kind]["not_needed"])))
    return found - read_keys(kind)


def _paths(value: Any, path: str, skipped: set[str]) -> Iterator[str]:
    """Yield the paths of all leaves, except those below a skipped key."""
    if path in skipped or value in ([], {}):
        return
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _paths(item, f"{path}.{key}" if path else key, skipped)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        for item in value:
            yield from _paths(item, path, skipped)
    else:
        yield path


def documents_in(text: str) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the documents of known kinds in a text, with their kinds."""
    decoder = json.JSONDecoder()
    position = 0
    while (position := text.find("{", position)) >= 0:
        try:
            document, end = decoder.raw_decode(text, position)
        except json.JSONDecodeError:
            position += 1
            continue
        position = end
        for kind, marks in MARKS.items():
            if isinstance(document, dict) and marks <= document.keys():
                yield kind, document


def unknown_in(text: str) -> set[str]:
    """Return the unlisted keys and headers of all documents and headers in a text."""
    known_headers = read_keys("headers") | set(LISTS["headers"]["not_needed"])
    unknown = set(HEADER.findall(text)) - known_headers
    for kind, document in documents_in(text):
        unknown |= {f"{kind}: {key}" for key in unknown_keys(kind, document)}
    return unknown


if __name__ == "__main__":
    print("\n".join(sorted(unknown_in(Path(sys.argv[1]).read_text(encoding="utf-8")))))
