"""Tests that only a gateway that was sent a worker's notice is judged by it."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from soak.bounds import SoakBounds
from soak.ledger import Ledger
from soak.links import FaultLink, LinkTrouble, Silence
from soak.sent_calls import SentCall
from soak.workers import SoakWorker

HOST = "127.0.0.1"
SERVICE = "plain"
LONG_AGO = -100.0
LATE_SECONDS = 5.0
CALL_SECONDS = 0.3


class AnnouncingWorker:
    """A worker that announces its leave, behind a link, and the calls of one gateway."""

    def __init__(self) -> None:
        self.ledger = Ledger(SoakBounds())
        self.ledger.route_services["call"].append((LONG_AGO, SERVICE))
        self.worker = SoakWorker(SERVICE, "z0", self.ledger, random.Random(1))
        self.worker.notices.leaving = True
        self.link = FaultLink(HOST)
        self.worker.link = self.link
        self.session = aiohttp.ClientSession()
        self._calls = 0

    async def call(self, sent_later: float = 0.0) -> int:
        """Send a call through the link; return the status, 0 without an answer in time."""
        self._calls += 1
        call_id = f"{self._calls:016x}"
        headers = {"X-Corkcrank-Attempt-Id": call_id, "X-Corkcrank-Deadline-Ms": "1900"}
        call = SentCall(call_id, "call", "node-0", "POST", "/call", headers, b"b", "", True, 2.0)
        self.ledger.record_sent(call)
        call.sent_at += sent_later
        with contextlib.suppress(TimeoutError, aiohttp.ClientError):
            async with (
                asyncio.timeout(CALL_SECONDS),
                self.session.post(
                    f"http://{self.link.address}/call", data=b"b", headers=headers
                ) as response,
            ):
                return response.status
        return 0

    async def find_late_call(self) -> bool:
        """Send one more call, long after the earlier ones; return whether it counts as late."""
        await self.call(sent_later=LATE_SECONDS)
        return "announced leave" in [item.promise for item in self.ledger.violations]


@pytest.fixture
async def announcing() -> AsyncIterator[AnnouncingWorker]:
    async with _announcing_worker() as made:
        yield made


@asynccontextmanager
async def _announcing_worker() -> AsyncIterator[AnnouncingWorker]:
    made = AnnouncingWorker()
    await made.worker.server.start(HOST)
    made.link.target = made.worker.server.address
    await made.link.start()
    try:
        yield made
    finally:
        await made.session.close()
        await made.link.stop()
        await made.worker.server.stop()


@pytest.mark.parametrize("kind", ["", "error", "full", "no-seal", "surplus"])
async def test_a_late_call_after_an_answer_is_found(
    announcing: AnnouncingWorker, kind: str
) -> None:
    announcing.worker.grey, announcing.worker.grey_share = kind, float(bool(kind))
    assert await announcing.call() != 0
    assert await announcing.find_late_call()


@pytest.mark.parametrize("kind", ["hang", "reset"])
async def test_a_gateway_without_an_answer_was_not_informed(
    announcing: AnnouncingWorker, kind: str
) -> None:
    announcing.worker.grey, announcing.worker.grey_share = kind, 1.0
    assert await announcing.call() == 0
    announcing.worker.grey_share = 0.0
    assert not await announcing.find_late_call()


async def test_a_gateway_whose_answer_a_cut_link_holds_was_not_informed(
    announcing: AnnouncingWorker,
) -> None:
    announcing.link.trouble(LinkTrouble.CUT_FROM_TARGET, 0.0)
    assert await announcing.call() == 0
    announcing.link.mend()
    announcing.link._mended_at = time.monotonic() - LATE_SECONDS
    assert not await announcing.find_late_call()


async def test_a_gateway_whose_answer_a_silent_connection_loses_was_not_informed(
    announcing: AnnouncingWorker,
) -> None:
    assert await announcing.call() == 200
    announcing.worker.notices._told_leaving.clear()
    announcing.link.silence_open_connections(Silence.FROM_TARGET)
    assert await announcing.call() == 0
    assert not await announcing.find_late_call()


async def test_a_rejection_that_a_cut_link_holds_requests_no_backoff(
    announcing: AnnouncingWorker,
) -> None:
    notices = announcing.worker.notices
    notices.reject_for(LATE_SECONDS, LATE_SECONDS)
    announcing.link.trouble(LinkTrouble.CUT_FROM_TARGET, 0.0)
    assert await announcing.call() == 0
    assert not notices._backoffs
    announcing.link.mend()
    assert await announcing.call() == 503
    assert len(notices._backoffs["node-0"]) == 1
