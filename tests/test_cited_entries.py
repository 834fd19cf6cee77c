"""Tests that the documentation cites only journal entries of finished runs."""

import json
import re
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
JOURNAL = ROOT / "journal"
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
ENTRY_ID = re.compile(r"(?<![0-9a-f])[0-9a-f]{8}(?![0-9a-f])")
CUT_OFF_MARK = "(cut off)"
"""Marker after an entry id on a page for a run that did not finish and supports no figure."""


def finished(entry: dict[str, Any]) -> bool:
    """Return whether an entry's run finished, with any result.

    >>> finished({"at": ["2026-12-03T06:34:58Z", ""], "error": "the run did not finish"})
    False
    >>> finished({"at": ["2026-12-03T06:34:58Z", "2026-12-03T06:50:00Z"], "error": None})
    True
    """
    return bool(entry["at"][1]) and entry.get("error") != "the run did not finish"


def cited(text: str) -> set[str]:
    """Return the ids of the entries that a text cites, except those marked as cut off.

    >>> sorted(cited("entry `1234abcd`, 254a021069c6 and 89abcdef (cut off); 89ABCDEF"))
    ['1234abcd']
    """
    return {
        found.group()
        for found in ENTRY_ID.finditer(text)
        if not text[found.end() :].lstrip("`").lstrip().startswith(CUT_OFF_MARK)
    }


def entries_of(entry_id: str) -> list[dict[str, Any]]:
    return [json.loads(path.read_text()) for path in JOURNAL.glob(f"*-{entry_id}.json")]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_a_page_cites_no_entry_whose_run_did_not_finish(page: Path) -> None:
    unfinished = [
        entry_id
        for entry_id in sorted(cited(page.read_text(encoding="utf-8")))
        if any(not finished(entry) for entry in entries_of(entry_id))
    ]
    assert unfinished == []


def test_an_entry_committed_before_its_run_finished_is_found() -> None:
    """Entries of a gate and of fault hunts were committed as stubs while pages cited figures."""
    assert entries_of("e8755d31")
    assert not any(finished(entry) for entry in entries_of("e8755d31"))
