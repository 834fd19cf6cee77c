"""Tests that the soak detects nodes that request a worker's report too often.

The failure: neither the simulated workers nor the soak counted these requests, so that a node could
send them without end.
"""

import random

import aiohttp
import pytest

from soak.bounds import SoakBounds
from soak.ledger import Ledger
from soak.links import FaultLink, LinkTrouble
from soak.report_requests import ReportRequests
from soak.stage_workers import SoakStageWorker
from soak.workers import REPORT_PATH, SoakWorker

HOST = "127.0.0.1"
NODES = 4
REPORTS_OF_NODE = 11
"""Requests that a node may send in a second: one, and another after each 0.1 s."""


@pytest.fixture
def ledger() -> Ledger:
    made = Ledger(SoakBounds())
    made.nodes = NODES
    return made


def promises(ledger: Ledger) -> list[str]:
    return [violation.promise for violation in ledger.violations]


def test_too_many_requests_are_found_once(ledger: Ledger) -> None:
    requests = ReportRequests(ledger, "i-1")
    for _ in range(NODES * REPORTS_OF_NODE):
        requests.record(None)
    assert promises(ledger) == []
    for _ in range(3):
        requests.record(None)
    assert promises(ledger) == ["reports"]


def test_requests_that_a_stall_collected_are_no_violation(ledger: Ledger) -> None:
    requests = ReportRequests(ledger, "i-1")
    ledger.record_lag(1.0)
    for _ in range(NODES * (REPORTS_OF_NODE + 10)):
        requests.record(None)
    assert promises(ledger) == []
    requests.record(None)
    assert promises(ledger) == ["reports"]


async def test_requests_through_a_faulty_link_are_no_violation(ledger: Ledger) -> None:
    requests = ReportRequests(ledger, "i-1")
    faulty = FaultLink(HOST)
    faulty.trouble(LinkTrouble.CUT_TO_TARGET, 0.0)
    for _ in range(NODES * REPORTS_OF_NODE + 1):
        requests.record(faulty)
    assert promises(ledger) == []


@pytest.mark.parametrize("stages", [False, True], ids=["engine", "stage worker"])
async def test_workers_count_the_requests_for_their_reports(ledger: Ledger, stages: bool) -> None:
    ledger.nodes = 1
    worker = (
        SoakStageWorker("encode", "z0", ledger)
        if stages
        else SoakWorker("model", "z0", ledger, random.Random(1))
    )
    await worker.server.start(HOST)
    async with aiohttp.ClientSession() as session:
        for _ in range(REPORTS_OF_NODE + 1):
            async with session.get(f"http://{worker.server.address}{REPORT_PATH}") as response:
                assert response.status == 200
    await worker.server.stop()
    assert promises(ledger) == ["reports"]
