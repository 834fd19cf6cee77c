"""Gateways before engines that crash under one part of a prompt, and callers of both kinds."""

import asyncio
import itertools
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
from mortal_workers import CRASHING, FIRST_START, CrashControl, CrashingWorker, join_store
from node_world import World, call_id, configuration, peer_of, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_crashing_requests import ROUTES
from test_owners import acquainted

from corkcrank.contracts import clock
from corkcrank.contracts.request_fingerprint import part_fingerprint
from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

ENGINES = 9
EVENTS = 30
EVENT_SECONDS = 0.02
"""A stream lasts 0.6 s: longer than a run that may count as an early one."""

DOWN_SECONDS = 0.8
FIRST_PART = "f1"
BAD_PART = "bad"
OTHER_PARTS = ("a0", "a1", "a2", "a3")
CRASHES_BEFORE_CONTACT = 5
CONTACT_SECONDS = 3.0

_numbers = itertools.count(1)


@dataclass(frozen=True)
class Asked:
    """One request of a caller without retries."""

    attempt: str
    bad: bool
    sent_at: float
    served: bool
    status: int


@dataclass
class CrashingPartsWorld:
    """The gateways, the engines, and what was asked."""

    running: World
    engines: list[CrashingWorker]
    asked: list[Asked] = field(default_factory=list)

    @property
    def nodes(self) -> list[Node]:
        return self.running.nodes

    def crashes(self) -> list[tuple[float, str]]:
        """Return when engines crashed, and under which attempt, in order of time."""
        return sorted(item for engine in self.engines for item in engine.crashed_under)

    def late_sends(self) -> int:
        """Return how many bad requests began later than contact after the fifth crash."""
        crashes = self.crashes()
        if len(crashes) < CRASHES_BEFORE_CONTACT:
            return 0
        since = crashes[CRASHES_BEFORE_CONTACT - 1][0] + CONTACT_SECONDS
        return sum(at > since for at, _ in crashes)

    def served_share(self, begin: float, end: float) -> float:
        """Return the share of the sound requests sent in a time that were served."""
        sound = [item for item in self.asked if not item.bad and begin <= item.sent_at < end]
        return sum(item.served for item in sound) / max(1, len(sound))

    def statuses(self, begin: float, *, bad: bool) -> Counter[int]:
        """Return the statuses of requests sent since a time, for messages of failures."""
        return Counter(
            item.status for item in self.asked if item.bad is bad and item.sent_at >= begin
        )

    def held_parts(self) -> set[str]:
        """Return the fingerprints of all parts that any gateway holds to crash engines."""
        found = {
            key
            for node in self.nodes
            for key in node.crash_watch.quarantine.blamed_requests(clock.now())
        }
        return {name for name in PART_NAMES if fingerprint(name) in found}

    async def ask(
        self, path: str, gateway: int, parts: tuple[str, ...], body: bytes | None = None
    ) -> Asked:
        """Send one request, unlike any other; ``parts`` are its shared ones."""
        number = next(_numbers)
        bad = BAD_PART in parts
        headers = {
            "X-Corkcrank-Token-Count": "40,30",
            "X-Corkcrank-Prefix-Hash": ",".join(f"{part}:10" for part in (*parts, f"{number:x}")),
            "X-Corkcrank-Model": "m",
            "X-Corkcrank-Segments": "1",
            "X-Corkcrank-Segment-Key": f"k{number}",
        }
        attempt, sent_at, status, served = call_id(), clock.now(), 0, False
        try:
            response = await self.running.call(
                path,
                number=gateway,
                headers=headers,
                attempt=attempt,
                data=body if body is not None else b"%d" % number,
            )
            status = response.status
            text = await response.read()
            served = status == 200 and text.count(b"id: ") == EVENTS
        except aiohttp.ClientError:
            pass
        asked = Asked(attempt, bad, sent_at, served, status)
        self.asked.append(asked)
        return asked

    async def load(
        self, path: str, seconds: float, *, sound: float, bad: float, bad_parts: int = 1
    ) -> None:
        """Send sound and bad requests at a rate each, to the gateways in turn."""
        end_at = clock.now() + seconds
        tasks: list[asyncio.Task[Asked]] = []

        async def repeat(rate: float, make: "itertools.count[int]", *, is_bad: bool) -> None:
            while rate and clock.now() < end_at:
                number = next(make)
                other = OTHER_PARTS[number % len(OTHER_PARTS)]
                last = (*BAD_PARTS[number % bad_parts],) if is_bad else (other,)
                gateway = number % len(self.nodes)
                asking = self.ask(path, gateway, (FIRST_PART, *last))
                tasks.append(asyncio.create_task(asking))
                await asyncio.sleep(1.0 / rate)

        await asyncio.gather(
            repeat(sound, itertools.count(), is_bad=False),
            repeat(bad, itertools.count(), is_bad=True),
        )
        await asyncio.gather(*tasks)

    async def send_crashing_request(self, path: str, times: int) -> None:
        """Send one request that crashes engines by itself, with usual parts, again and again."""
        for number in range(times):
            gateway = number % len(self.nodes)
            await self.ask(path, gateway, (FIRST_PART, OTHER_PARTS[0]), CRASHING)

    async def wait_until_restarted(self) -> None:
        await until(lambda: all(engine.server.listening for engine in self.engines))


BAD_PARTS = ((BAD_PART,), ("bad2", BAD_PART))
PART_NAMES = (FIRST_PART, BAD_PART, "bad2", *OTHER_PARTS)


def fingerprint(part: str) -> str:
    return part_fingerprint("model", "m", part)


@asynccontextmanager
async def crashing_parts_world(
    gateways: int = 3, engines: int = ENGINES, events_before: int = 0
) -> AsyncIterator[CrashingPartsWorld]:
    """Run gateways that know each other, and engines that crash under the bad part."""
    workers = [
        CrashingWorker(
            events=EVENTS,
            gap=EVENT_SECONDS,
            events_before=events_before,
            crashing_parts={BAD_PART},
            crash_control=CrashControl(down_seconds=DOWN_SECONDS),
        )
        for _ in range(engines)
    ]
    served: dict[str, tuple[StandinWorker | StandinStageWorker, str]] = {
        worker.worker_id: (worker, "model") for worker in workers
    }
    served["encode"] = (StandinStageWorker(told={"born": FIRST_START}), "encode")
    async with AsyncExitStack() as stack:
        running = await stack.enter_async_context(
            world(configuration(1, ROUTES), served, retry_allowance=1000)
        )
        join_store(running.store, workers, "model")
        for number in range(1, gateways):
            known = list(running.nodes)
            node = await stack.enter_async_context(peer_of(running, loopback_address(number + 1)))
            for other in known:
                await acquainted(other, node)
            await until(lambda node=node: node.ready)  # type: ignore[misc]
        yield CrashingPartsWorld(running, workers)
