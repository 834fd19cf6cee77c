"""Gateways before engines of several software versions, and callers that take streams up."""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from node_world import World, call_id, configuration, peer_of, route, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_owners import acquainted

from corkcrank.contracts.rendezvous import rendezvous_hash, weighted_rendezvous_score
from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

EVENTS = 9
EVENTS_READ = 3
"""Events that a caller reads before it leaves."""

ZONE = "z1"
VERSIONS = ("v1", "v1.1")
ENGINES_OF_A_VERSION = 3
CALLER_SECONDS = 4.0
STAGE = {"service": "encode", "since_revision": [], "byte_length": 1000}
ROUTES = [
    route("resumed", "stream", "model", stream_resume=True, max_attempts=3),
    route("staged", "stream", "model", stream_resume=True, max_attempts=3, stages=[STAGE]),
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}
TENANTS = [
    {"name": "tenant", "api_keys": ["key-of-tenant"], "priority": 1},
    {"name": "other", "api_keys": ["key-of-another-tenant"], "priority": 1},
]

_prompts = itertools.count(1)


@dataclass
class Part:
    """What one attempt of a caller brought: a status, and the engines of its events by event id."""

    status: int = 0
    engines: dict[int, str] = field(default_factory=dict)
    body: bytes = b""
    retry_after: str = ""


@dataclass
class Stream:
    """One caller's stream over its attempts; ``first`` is the id of the one that began it."""

    path: str
    first: str = field(default_factory=call_id)
    prompt: int = field(default_factory=lambda: next(_prompts))
    parts: list[Part] = field(default_factory=list)

    @property
    def last_event(self) -> int:
        return max((number for part in self.parts for number in part.engines), default=0)

    @property
    def whole(self) -> bool:
        """Return whether the caller has every event of the stream exactly once."""
        numbers = sorted(number for part in self.parts for number in part.engines)
        return numbers == list(range(1, EVENTS + 1))


@dataclass
class VersionedWorld:
    """The gateways, and the engines with their versions."""

    running: World
    engines: dict[str, list[StandinWorker]]

    def __post_init__(self) -> None:
        self._turns = itertools.count()

    @property
    def nodes(self) -> list[Node]:
        return self.running.nodes

    def version_of(self, worker_id: str) -> str:
        return next(
            version
            for version, engines in self.engines.items()
            if worker_id in (engine.worker_id for engine in engines)
        )

    def versions(self, stream: Stream) -> set[str]:
        """Return the versions whose events a caller holds."""
        return {self.version_of(item) for part in stream.parts for item in part.engines.values()}

    def mixed(self, streams: Sequence[Stream]) -> list[set[str]]:
        return [self.versions(item) for item in streams if len(self.versions(item)) > 1]

    def requests(self) -> int:
        """Return how many requests all engines have begun."""
        return sum(len(engine.seen) for engines in self.engines.values() for engine in engines)

    async def attempt(
        self,
        stream: Stream,
        gateway: int = 0,
        *,
        events: int = EVENTS,
        resumes: str | None = None,
        **headers: str,
    ) -> Part:
        """Send an attempt, and leave after ``events`` more events; name the attempt resumed."""
        part = Part()
        given = {
            "X-Corkcrank-Token-Count": "20,5",
            "X-Corkcrank-Prefix-Hash": f"{stream.prompt:x}:10,aa:10",
            **PIECES,
            **headers,
        }
        if stream.last_event:
            given["Last-Event-Id"] = str(stream.last_event)
            if resumes != "":
                given["Resumes"] = resumes or stream.first
        attempt = call_id() if stream.parts else stream.first
        try:
            async with asyncio.timeout(CALLER_SECONDS):
                response = await self.running.call(
                    stream.path, number=gateway, headers=given, attempt=attempt
                )
                await self._read(response, part, events)
        except (aiohttp.ClientError, TimeoutError):
            pass
        stream.parts.append(part)
        return part

    async def _read(self, response: aiohttp.ClientResponse, part: Part, events: int) -> None:
        part.status = response.status
        part.retry_after = response.headers.get("Retry-After", "")
        async for data in response.content.iter_any():
            part.body += data
            part.engines = _engines_of(part.body)
            if len(part.engines) >= events and response.status == 200 and events < EVENTS:
                response.close()
                return

    async def begin(self, count: int, path: str = "/resumed/x", gateway: int = 0) -> list[Stream]:
        """Begin streams whose callers leave after some events."""
        streams = self.new_streams(count, path)
        begun = [self.attempt(item, gateway, events=EVENTS_READ) for item in streams]
        await asyncio.gather(*begun)
        assert all(item.last_event >= EVENTS_READ for item in streams)
        return streams

    def new_streams(self, count: int, path: str = "/resumed/x") -> list[Stream]:
        """Return streams that idle gateways begin at each present version in turn."""
        versions = [version for version, engines in self.engines.items() if engines]
        chosen = {self.version_of(engine) for engine in self._engines_for_short_prompts()}
        streams = []
        for turn in itertools.islice(self._turns, count):
            version, stream = versions[turn % len(versions)], Stream(path)
            while version in chosen and self._preferred_version(stream) != version:
                stream = Stream(path)
            streams.append(stream)
        return streams

    def _preferred_version(self, stream: Stream) -> str:
        """Return the version of the engine that an idle gateway chooses for a short prompt."""
        key, engines = f"{stream.prompt:x}", self._engines_for_short_prompts()
        return self.version_of(max(engines, key=lambda it: weighted_rendezvous_score(key, it, 1.0)))

    def _engines_for_short_prompts(self) -> list[str]:
        engines = [engine.worker_id for items in self.engines.values() for engine in items]
        engines.sort(key=lambda item: rendezvous_hash(ZONE, item))
        return engines[(len(engines) + 1) // 2 :] or engines

    def drain_engine(self, version: str, number: int = 0) -> None:
        """Have an engine announce in its entry that it leaves."""
        engine = self.engines[version][number]
        entry = engine.entry("model", state="draining")
        self.running.store.put("servers", engine.worker_id, entry)

    async def wait_until_draining(self, version: str, count: int) -> None:
        """Wait until every gateway knows that engines of a version leave."""
        ids = [engine.worker_id for engine in self.engines[version][:count]]

        def known(node: Node) -> bool:
            records = [node.mirror.workers.get_by_name(name) for name in ids]
            return all(record is None or record.leaving for record in records)

        await until(lambda: all(known(node) for node in self.nodes))


def _engines_by_version(versions: Sequence[str], gap: float) -> dict[str, list[StandinWorker]]:
    """Return the engines of each version, so that streams begin at every version.

    Gateways set half of the engines apart, by their ids, and send short prompts to the other half
    while it has room. The versions alternate in that order: both halves have engines of each.
    """
    count = ENGINES_OF_A_VERSION * len(versions)
    engines = [StandinWorker(events=EVENTS, gap=gap) for _ in range(count)]
    engines.sort(key=lambda item: rendezvous_hash(ZONE, item.worker_id))
    by_version: dict[str, list[StandinWorker]] = {version: [] for version in versions}
    for engine, version in zip(engines, itertools.cycle(versions), strict=False):
        engine.told = {"version": version}
        by_version[version].append(engine)
    return by_version


def _engines_of(body: bytes) -> dict[int, str]:
    """Return the engine that each complete event names, by event id."""
    engines = {}
    for event in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(b": ", 1) for line in event.split(b"\n") if b": " in line)
        if b"id" in fields and b"data" in fields:
            number = int(fields[b"id"])
            assert number not in engines, f"event {number} came twice"
            engines[number] = fields[b"data"].decode()
    return engines


def count_by_status(streams: Sequence[Stream]) -> dict[int, int]:
    """Return how often each status was the last one, for a test's failure message."""
    counts: dict[int, int] = defaultdict(int)
    for item in streams:
        counts[item.parts[-1].status] += 1
    return dict(counts)


@asynccontextmanager
async def versioned_world(
    gateways: int = 3,
    versions: Sequence[str] = VERSIONS,
    gap: float = 0.02,
    routes: list[dict[str, Any]] = ROUTES,
    **fields: Any,
) -> AsyncIterator[VersionedWorld]:
    """Run gateways that know each other, and three engines of each version."""
    engines = _engines_by_version(versions, gap)
    served: dict[str, tuple[StandinWorker | StandinStageWorker, str]] = {
        engine.worker_id: (engine, "model") for items in engines.values() for engine in items
    }
    served["encode"] = (StandinStageWorker(), "encode")
    document = configuration(1, routes, tenants=TENANTS, **fields)
    async with (
        world(document, served, retry_allowance=1000) as running,
        _peers(running, gateways - 1),
    ):
        yield VersionedWorld(running, engines)


@asynccontextmanager
async def _peers(running: World, count: int) -> AsyncIterator[None]:
    """Run more gateways, each of which knows all others."""
    if not count:
        yield
        return
    known = list(running.nodes)
    async with peer_of(running, loopback_address(len(known) + 1)) as node:
        for other in known:
            await acquainted(other, node)
        await until(lambda: node.ready)
        async with _peers(running, count - 1):
            yield
