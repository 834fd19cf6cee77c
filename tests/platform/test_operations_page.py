"""Runs the commands of the operators' page on a real node's log, from a call id to a cause."""

import asyncio
import os
import re
import subprocess
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from node_world import World, call_id, configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.cli.explain import explain_call
from corkcrank.contracts import clock
from corkcrank.links.decision_log import BoundedOutput

PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
PAGE_ID = "338d466cf59c22fa"
PAGE_SERVICE = "puje84c"

ROUTES = [
    route("once", "unsafe", "plain"),
    route("talk", "stream", "model", target_latency_ms=1),
    route(
        "hopeless",
        "stream",
        "model",
        target_latency_ms=10,
        timeout_ms=10,
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    ),
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    ),
]
HOLD = asyncio.Event()
"""Holds the model's answers back until it is set."""

PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}


def commands() -> list[str]:
    """Return the shell commands that the page gives for a node's logs."""
    text = PAGE.read_text()
    section = text[text.index("## Nodes: from a complaint to its cause") :]
    inline = re.findall(r"`(grep [^`]+)`", section)
    blocks = re.findall(r"^    (grep .+)$", section, re.MULTILINE)
    return inline + blocks


def run(command: str, folder: Path) -> str:
    done = subprocess.run(["sh", "-c", command], cwd=folder, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    return done.stdout


@contextmanager
def logged(running: World, folder: Path) -> Iterator[Path]:
    """Write the node's log to a file of a folder, as a collector would."""
    (folder / "logs").mkdir()
    path = folder / "logs" / "node.log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    log = running.nodes[0]._log
    log._output = BoundedOutput(descriptor)
    try:
        yield path
    finally:
        log.flush()
        log._output = None
        os.close(descriptor)


async def late_call(running: World, attempt: str) -> None:
    """Make a call whose first event comes ten times its objective after it was sent."""
    sent_at = clock.now()
    call = asyncio.create_task(running.call("/talk/x", attempt=attempt))
    await until(lambda: clock.now() > sent_at + 0.01)
    HOLD.set()
    response = await call
    assert response.status == 200
    await response.read()


async def failed_calls(running: World) -> dict[str, str]:
    """Make one call of each kind that the page explains; return their ids."""
    ids = {kind: call_id() for kind in ("refused", "late", "lost", "staged")}
    refused = await running.call("/hopeless/x", attempt=ids["refused"], headers=PIECES)
    assert refused.status == 503
    await late_call(running, ids["late"])
    lost = await running.call("/once/x", attempt=ids["lost"])
    assert lost.status == 502
    staged = await running.call("/staged/x", attempt=ids["staged"], headers=PIECES)
    await staged.read()
    return ids


async def test_the_pages_commands_lead_from_an_id_to_its_cause(tmp_path: Path) -> None:
    served = {
        "plain": (StandinWorker(faults=deque(["reset"])), "plain"),
        "model": (StandinWorker(events=3, hold=HOLD), "model"),
        "encode": (StandinStageWorker(), "encode"),
    }
    async with world(configuration(1, ROUTES), served) as running:
        with logged(running, tmp_path) as path:
            ids = await failed_calls(running)
        by_id, by_service, by_worker = commands()
        told = {kind: run(by_id.replace(PAGE_ID, found), tmp_path) for kind, found in ids.items()}
        stories = {kind: "\n".join(explain_call(found, [path])) for kind, found in ids.items()}
    for text in (told["refused"], stories["refused"]):
        assert "Call: refused." in text
        assert "needed" in text
        assert "slack" in text
    assert re.search(r"Call: first event\. .*late=\d+\.\d+", stories["late"])
    for text in (told["lost"], stories["lost"]):
        assert "Call: attempt failed." in text
        assert "WORKER_LOST" in text
    assert "Call: engine granted." in told["staged"]
    assert "Batch: ended." in run(by_service.replace(PAGE_SERVICE, "encode"), tmp_path)
    plain = served["plain"][0].worker_id
    assert re.search(rf'1 "worker": "{plain}"', run(by_worker, tmp_path))


@pytest.mark.parametrize("line", ["Call: engine granted.", "Workers: entry changed."])
def test_the_page_names_the_lines_that_need_words(line: str) -> None:
    assert line in PAGE.read_text()
