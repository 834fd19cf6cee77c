"""Three gateways whose links to all workers can be cut, and callers of each way in."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import pytest
from gateway_links import GatewayLinks, gateway_links
from node_world import World, call_id, configuration, peer_of, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_limited_workers import HEADERS, ROUTES
from test_owners import acquainted

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

EVENTS = 3
WAYS_IN = ("safe", "once", "talk", "resumed", "staged")
STREAMS = ("talk", "resumed", "staged")
PLAIN_WORKERS = 4
ENGINES = 3
STAGE_WORKERS = 2
CALL_INTERVAL_SECONDS = 0.2
CALLER_SECONDS = 2.0


@dataclass(frozen=True)
class Answer:
    """The answer to one caller's only attempt; ``seconds`` is the time until it was whole."""

    gateway: int
    name: str
    attempt: str
    started_at: float
    seconds: float
    served: bool
    detail: str


@dataclass
class PartitionedWorld:
    """Gateways with cuttable links, the workers, and the answers of all callers."""

    running: World
    links: GatewayLinks
    plain: list[StandinWorker]
    engines: list[StandinWorker]
    stages: list[StandinStageWorker]
    answers: list[Answer] = field(default_factory=list)

    @property
    def nodes(self) -> list[Node]:
        return self.running.nodes

    def stage_owner(self) -> int:
        """Return the number of the gateway that owns the stage workers."""
        services = self.nodes[0].services
        record = services.mirror.workers.usable_workers("encode")[0]
        owner = services.dispatch.owner_of(record, clock.now())
        return [node.fleet.local_name for node in self.nodes].index(owner)

    async def call_once(self, gateway: int, name: str, number: int) -> Answer:
        """Send one call as a caller without retries does, and record its answer."""
        attempt, started_at = call_id(), clock.now()
        prompt = {
            "X-Corkcrank-Token-Count": "20,5",
            "X-Corkcrank-Prefix-Hash": f"{number:x}:10,aa:10",
        }
        headers = {**prompt, **HEADERS.get(name, {})}
        try:
            async with asyncio.timeout(CALLER_SECONDS):
                response = await self.running.call(
                    f"/{name}/x", number=gateway, headers=headers, attempt=attempt
                )
                body = await response.read()
            whole = name not in STREAMS or body.count(b"id: ") == EVENTS
            served, detail = response.status == 200 and whole, f"{response.status} {body[:90]!r}"
        except (aiohttp.ClientError, TimeoutError) as error:
            served, detail = False, repr(error)
        seconds = clock.now() - started_at
        answer = Answer(gateway, name, attempt, started_at, seconds, served, detail)
        self.answers.append(answer)
        return answer

    async def load(self, seconds: float, names: Collection[str] = WAYS_IN) -> None:
        """Send calls of each way in to each gateway for some time, and wait for all answers."""
        end_at = clock.now() + seconds
        tasks, number = [], 0
        while clock.now() < end_at:
            for gateway in range(len(self.nodes)):
                for name in names:
                    number += 1
                    tasks.append(asyncio.create_task(self.call_once(gateway, name, number)))
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
        await asyncio.gather(*tasks)

    def shares(
        self, gateways: Collection[int], begin: float, end: float = float("inf")
    ) -> dict[str, float]:
        """Return the share of the calls started in a time that were served, by way in."""
        served: dict[str, list[bool]] = defaultdict(list)
        for answer in self.answers:
            if answer.gateway in gateways and begin <= answer.started_at < end:
                served[answer.name].append(answer.served)
        return {name: sum(items) / len(items) for name, items in served.items()}

    def failures(self, begin: float) -> Counter[tuple[int, str, str]]:
        """Return the answers that served nobody, for a test's failure message."""
        return Counter(
            (answer.gateway, answer.name, answer.detail)
            for answer in self.answers
            if not answer.served and answer.started_at >= begin
        )

    def runs(self) -> Counter[str]:
        """Return how often each attempt reached a worker that ran it."""
        workers = [*self.plain, *self.engines]
        return Counter(
            seen.headers["X-Corkcrank-Attempt-Id"] for worker in workers for seen in worker.seen
        )


@asynccontextmanager
async def partitioned_world(
    patch: pytest.MonkeyPatch, gateways: int = 3, **bounds: Any
) -> AsyncIterator[PartitionedWorld]:
    plain = [StandinWorker() for _ in range(PLAIN_WORKERS)]
    engines = [StandinWorker(events=EVENTS) for _ in range(ENGINES)]
    stages = [StandinStageWorker() for _ in range(STAGE_WORKERS)]
    served: dict[str, tuple[StandinWorker | StandinStageWorker, str]] = {}
    served |= {f"plain {n}": (worker, "plain") for n, worker in enumerate(plain)}
    served |= {f"engine {n}": (worker, "model") for n, worker in enumerate(engines)}
    served |= {f"stage {n}": (worker, "encode") for n, worker in enumerate(stages)}
    bounds = {"retry_allowance": 1000, **bounds}
    async with gateway_links(patch) as links:
        with links.of_gateway(0):
            entered = world(configuration(1, ROUTES), served, **bounds)
            running = await entered.__aenter__()
        try:
            links.workers.update(worker.server.address for worker, _ in served.values())
            async with _peers(running, links, gateways - 1):
                yield PartitionedWorld(running, links, plain, engines, stages)
        finally:
            await entered.__aexit__(None, None, None)


@asynccontextmanager
async def _peers(running: World, links: GatewayLinks, count: int) -> AsyncIterator[None]:
    """Run more gateways, each of which knows all others."""
    if not count:
        yield
        return
    number = len(running.nodes)
    with links.of_gateway(number):
        entered = peer_of(running, loopback_address(number + 1))
        node = await entered.__aenter__()
    try:
        for other in running.nodes[:number]:
            await acquainted(other, node)
        await until(lambda: node.ready)
        async with _peers(running, links, count - 1):
            yield
    finally:
        await entered.__aexit__(None, None, None)
