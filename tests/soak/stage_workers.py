"""Simulated stage workers that check the requests they receive, and worker id sources."""

import asyncio
import itertools
import json
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

from aiohttp import web
from platform_standins import EXPECT, INSTANCE, NOT_RUN, Server

from soak.ledger import CRASHING_KEY_PREFIX, Ledger, SentCall
from soak.links import FaultLink
from soak.named_limit import NamedLimit
from soak.report_requests import ReportRequests
from soak.surplus_answers import SurplusAnswers

PIECE_SECONDS = 0.004
CALL_SECONDS = 0.03
STAGE_QUEUE = 2
ROOM = 100
RESULT_MB = 0.1
HELD_SECONDS = 4.0

numbers = itertools.count(1)
births = itertools.count(int(time.time() * 1000))
"""Unique start times of workers in Unix milliseconds."""


class SoakStageWorker:
    """A simulated stage worker with one slot, a short queue and little result memory."""

    made: dict[str, tuple[str, int, int]] = {}  # noqa: RUF012
    """Call, stage and piece of each result that any stage worker has produced, by handle."""

    lost: set[str] = set()  # noqa: RUF012
    """Handles of results that were lost in a worker's restart."""

    def __init__(self, service: str, zone: str, ledger: Ledger, worker_id: str = "") -> None:
        self.service = service
        self.zone = zone
        self.worker_id = worker_id or f"i-{next(numbers):08x}"
        self.born = next(births)
        self._own_results: set[str] = set()
        self.server = Server(self._handle)
        self._held: dict[str, float] = {}
        self.grey = ""
        self.grey_share = 0.0
        self.link: FaultLink | None = None
        self.on_crashing: Callable[[SentCall], None] = lambda call: None
        self.limit = NamedLimit()
        self.reports = ReportRequests(ledger, self.worker_id)
        self.surplus = SurplusAnswers(random.Random(self.worker_id))
        self._ledger = ledger
        self._calls = 0
        self._slot = asyncio.Lock()

    @property
    def busy(self) -> bool:
        """Return whether a call is waiting or running."""
        return self._calls > 0

    @property
    def held(self) -> int:
        """Return the number of stored results; each expires after 4 s."""
        now = time.monotonic()
        self._held = {handle: at for handle, at in self._held.items() if at > now}
        return len(self._held)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the worker's row in the store."""
        assert self.link is not None
        return {
            "service": self.service,
            "address": self.link.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 1,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get(EXPECT) not in (None, self.worker_id):
            return web.Response(status=421, headers={INSTANCE: self.worker_id})
        if request.path == "/report":
            self.surplus.send_pending(request)
            self.reports.record(self.link)
            free = (ROOM - self.held) * RESULT_MB
            answer = {"free_mb": free, "born": self.born}
            return web.json_response(answer, headers=self.limit.headers)
        body = json.loads(await request.read())
        self.surplus.send_pending(request, len(body.get("items", ())))
        if request.path == "/stage-free":
            for handle in body["handles"]:
                self._held.pop(handle, None)
            return web.Response(headers=self.limit.headers)
        return self.surplus.follow(request, await self._run(body["items"]))

    async def _run(self, items: list[dict[str, Any]]) -> web.Response:
        if self.grey or self._calls > STAGE_QUEUE:
            return web.Response(status=503, headers={NOT_RUN: "1", **self.limit.headers})
        self._calls += 1
        try:
            async with self._slot:
                self._check_items(items)
                self._crash_if_requested(items)
                await asyncio.sleep(CALL_SECONDS + PIECE_SECONDS * len(items))
                made = [self._outcome(item) for item in items]
        finally:
            self._calls -= 1
        return web.json_response({"items": made}, headers=self.limit.headers)

    def _check_items(self, items: list[dict[str, Any]]) -> None:
        for item in items:
            call = self._ledger.calls.get(item["id"])
            stage, piece = item["stage"], item["segment"]
            if call is None or stage >= len(call.pieces) or piece >= call.pieces[stage]:
                self._ledger.violate("unasked", f"piece {stage}/{piece} of {item['id']}")
                continue
            call.stage_runs += 1
            self._ledger.check_leaving(call, self.worker_id, self.link)
            self._ledger.check_evacuated(call, self.worker_id, self.zone, self.link)
            if stage == 0:
                if item.get("key") != call.headers["X-Corkcrank-Segment-Key"]:
                    self._ledger.violate("unasked", f"{call.call_id} has another piece key")
                continue
            problem = wrong_inputs(item.get("inputs") or [], call, (stage - 1,))
            if problem:
                self._ledger.violate("inputs", f"{call.call_id} stage {stage}: {problem}")

    def _crash_if_requested(self, items: list[dict[str, Any]]) -> None:
        """Crash the worker at the first piece of a crashing request."""
        for item in items:
            if str(item.get("key", "")).startswith(CRASHING_KEY_PREFIX):
                self.on_crashing(self._ledger.calls[item["id"]])
                raise ConnectionResetError

    def lose_results(self) -> None:
        """Record that this incarnation's results are lost."""
        SoakStageWorker.lost |= self._own_results
        self._held.clear()

    def _outcome(self, item: dict[str, Any]) -> dict[str, str]:
        if SoakStageWorker.lost.intersection(item.get("inputs") or []):
            return {"reason": "gone"}
        return self._store_result(item)

    def _store_result(self, item: dict[str, Any]) -> dict[str, str]:
        if self.held >= ROOM:
            return {"reason": "room"}
        assert self.link is not None
        handle = f"{self.link.address}/{next(numbers):012x}"
        self._held[handle] = time.monotonic() + HELD_SECONDS
        self._own_results.add(handle)
        SoakStageWorker.made[handle] = (item["id"], item["stage"], item["segment"])
        return {"handle": handle}


def wrong_inputs(handles: Iterable[str], call: SentCall, stages: tuple[int, ...]) -> str:
    """Return a description of wrong inputs, or ``""`` if they are correct.

    The inputs must hold every piece of some stages exactly once.
    """
    found = sorted(SoakStageWorker.made.get(handle, ("", 0, 0)) for handle in handles)
    wanted = sorted(
        (call.call_id, stage, piece) for stage in stages for piece in range(call.pieces[stage])
    )
    return "" if found == wanted else f"{found}, not {wanted}"
