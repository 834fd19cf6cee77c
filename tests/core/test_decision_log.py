"""The decision log is structured, bounded and never blocks; ``explain`` reads it."""

import json
import os
from pathlib import Path

import pytest

from corkcrank.cli.explain import explain_call
from corkcrank.contracts import clock
from corkcrank.links.decision_log import MAX_BURST_LINES, BoundedOutput, DecisionLog, LogEvent


def lines_of(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while chunk := os.read(descriptor, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_each_line_has_event_process_time_and_fields() -> None:
    reader, writer = os.pipe()
    DecisionLog(BoundedOutput(writer), "node-1").write(LogEvent.READY, version=3)
    (line,) = lines_of(reader)
    assert line["event"] == "Process: ready."
    assert (line["process"], line["version"]) == ("node-1", 3)
    assert isinstance(line["time"], float)


def test_unread_output_does_not_block_and_is_bounded() -> None:
    reader, writer = os.pipe()
    output = BoundedOutput(writer, limit=10_000)
    log = DecisionLog(output, "node-1")
    kinds = list(LogEvent)
    for number in range(5_000):
        log.write(kinds[number % len(kinds)], text="x" * 100)
    assert output.left_out > 0
    assert len(lines_of(reader)) * 100 < 5_000 * 100


def test_lines_of_one_kind_above_the_rate_limit_are_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # On a real clock a pause of 0.025 s between the lines allows five more.
    monkeypatch.setattr(clock, "now", lambda: 100.0)
    reader, writer = os.pipe()
    output = BoundedOutput(writer, limit=10_000_000)
    log = DecisionLog(output, "node-1")
    for _ in range(int(MAX_BURST_LINES) + 50):
        log.write(LogEvent.CALL_SENT)
    log.write(LogEvent.READY)
    events = [line["event"] for line in lines_of(reader)]
    assert events.count(LogEvent.CALL_SENT.value) == MAX_BURST_LINES
    assert LogEvent.READY.value in events


def test_lines_of_a_call_from_several_machines_are_shown_in_order(tmp_path: Path) -> None:
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        '{"event": "Call: ended.", "time": 12.5, "process": "a", "call": "c1", "outcome": "200"}\n'
        "not a record\n"
        '{"event": "Call: ended.", "time": 12.0, "process": "a", "call": "c2"}\n'
    )
    second.write_text(
        '  1.5 b {"event": "Batch: ended.", "time": 12.1, "process": "b", "calls": ["c0", "c1"], '
        '"outcome": "2 done"}\n'
    )
    assert explain_call("c1", [first, second]) == [
        "   0.000 s  b  Batch: ended. outcome=2 done",
        "   0.400 s  a  Call: ended. outcome=200",
    ]
    assert explain_call("c9", [first, second]) == []
