"""Tests a start while the settings file is being rewritten in place.

A gateway that started just after another program had emptied its settings file exited with
status 3, and nothing started it again; the file was whole a moment later.
"""

import asyncio
import threading
from pathlib import Path

import pytest
from process_world import NAME, process_world, ready
from test_settings_watcher import TEXT

from corkcrank.contracts.result_codes import ResultCode
from corkcrank.load.process_group import ProcessGroup
from corkcrank.node.process import settings_start
from corkcrank.node.process.settings_start import load_settings_at_start

CUTS = [0, 1, len(TEXT) // 3, TEXT.index("[store]")]
"""Lengths at which the file is cut; what is left lacks a required section."""

SECONDS_UNTIL_WHOLE = 1.5
"""Time for which the file stays empty: the imports of a start take part of it."""


@pytest.mark.parametrize("cut", CUTS)
def test_a_start_that_reads_a_part_of_the_settings_reads_them_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cut: int
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(TEXT[:cut])
    reads: list[float] = []

    def complete_file(seconds: float) -> None:
        reads.append(seconds)
        if len(reads) == 3:
            path.write_text(TEXT)

    monkeypatch.setattr(settings_start.time, "sleep", complete_file)
    assert load_settings_at_start(path).ok.process.name == "n"
    assert len(reads) == 3


def test_a_start_with_settings_that_stay_invalid_ends_with_their_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.toml"
    path.write_text("")
    seconds = iter(range(100))
    monkeypatch.setattr(settings_start.clock, "now", lambda: float(next(seconds)))
    monkeypatch.setattr(settings_start.time, "sleep", lambda _: None)
    assert load_settings_at_start(path).error.code is ResultCode.SETTINGS_INVALID


def test_a_start_with_valid_settings_reads_them_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(TEXT)
    monkeypatch.setattr(settings_start.time, "sleep", lambda _: pytest.fail("it waited"))
    assert load_settings_at_start(path).is_ok()


async def test_a_process_whose_settings_are_empty_at_its_start_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    start = ProcessGroup.start

    def start_while_file_is_rewritten(group: ProcessGroup, *arguments: object) -> None:
        start(group, *arguments)  # type: ignore[arg-type]
        path = group.root / f"{NAME}.toml"
        whole = path.read_text()
        path.write_text("")
        threading.Timer(SECONDS_UNTIL_WHOLE, path.write_text, (whole,)).start()

    monkeypatch.setattr(ProcessGroup, "start", start_while_file_is_rewritten)
    async with process_world(900) as running:
        await ready(running)
        assert await asyncio.wait_for(running.call(), timeout=5.0) == 200
