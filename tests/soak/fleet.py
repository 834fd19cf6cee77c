"""The processes, links and stand-ins of one soak."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import aiohttp
from node_world import KEY, stage_service

from corkcrank.load.loopback import loopback_address
from corkcrank.load.process_group import ProcessGroup
from corkcrank.load.toml_writer import write_toml
from soak.accepting import AcceptWatch
from soak.bounds import MODEL_SERVICE, SoakBounds
from soak.first_routes import first_routes
from soak.ledger import Ledger
from soak.links import FaultLink
from soak.schedule import FIRST_LARGE_SEED, FIRST_SILENT_SEED
from soak.sent_calls import SentCall
from soak.signal_masks import handles_signals
from soak.stage_workers import SoakStageWorker
from soak.stated_pace import StatedPace
from soak.store import SoakStore
from soak.workers import SoakWorker

AnyWorker = SoakWorker | SoakStageWorker

CALLER_PORT, READINESS_PORT, FIRST_PEER_PORT, LAST_PEER_PORT = 21_000, 21_001, 21_002, 21_003
LINK_HOST, STORE_HOST = 250, 249
ZONES = ("z0", "z1")
START_SECONDS = 20.0
READINESS_SECONDS = 0.25
READINESS_MISSES = 2
INTERPRETER_SECONDS = 2.0
"""Longest wait for signal handlers; an earlier signal takes its default action and ends it."""

LAG_PROBE_SECONDS = 0.05
DESCRIPTORS = 600
"""File descriptor limit of a node's process; a third is for callers' connections."""

MEMORY_MB = 300
USUAL_BODY_BYTES, LARGE_BODY_BYTES = 100_000, 4 << 20
"""Maximum length of a request's body; the larger one where callers send large bodies."""

STATING_SHARE = 0.5
"""Share of the seeds whose workers have slow spells and state how long work takes there."""

COMPETING_SHARE = 0.5
"""Share of the seeds whose settings say that callers compete for too little room."""

TESTS = Path(__file__).parent.parent
RUN_LINE = (
    "import resource, sys; "
    f"resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS}, {DESCRIPTORS})); "
    f"sys.path.insert(0, {str(TESTS)!r}); from soak.node_program import main; main()"
)
WORKERS_OF_SERVICE = 3
STAGE_SERVICES = ("encode", "rerank")
PLAIN_SERVICES = ("plain", "second")
SERVICES = (*PLAIN_SERVICES, "model", *STAGE_SERVICES)


class SoakNode:
    """A gateway process and the fault-injecting links to and from it."""

    def __init__(self, number: int, store: str) -> None:
        self.name = f"node-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = loopback_address(number + 1)
        links = loopback_address(LINK_HOST)
        self.caller_address = f"{self.ip}:{CALLER_PORT}"
        self.callers = FaultLink(links, self.caller_address)
        self.store = FaultLink(links, store, source_host=self.ip)
        self.peers = FaultLink(self.ip, f"{self.ip}:{LAST_PEER_PORT}")
        self.misses = READINESS_MISSES
        self.down = False
        self.started_at = float("-inf")

    def settings(self, seeds: list[str], bounds: SoakBounds, *, competing: bool) -> dict[str, Any]:
        """Return the contents of the process's settings file."""
        return {
            "process": {
                "name": self.name,
                "zone": self.zone,
                "ip": self.ip,
                "caller_address": self.caller_address,
                "readiness_address": f"{self.ip}:{READINESS_PORT}",
                "peer_ports": [FIRST_PEER_PORT, LAST_PEER_PORT],
            },
            "store": {"address": self.store.address},
            "peers": {"seeds": seeds},
            "bounds": {
                "grace": bounds.grace,
                "leaving": bounds.told_leaving,
                "configuration": bounds.told_configuration,
            },
            "limits": {"file_descriptors": DESCRIPTORS, "memory_mb": MEMORY_MB},
            # Unset without competing callers, so that stated paces still queue prompts.
            "scheduling": {"competing_callers": True, "return_claims": True} if competing else {},
        }


class SoakFleet:
    """The store, workers and nodes of a soak; only processes that it started are signalled."""

    def __init__(self, seed: int, nodes: int, bounds: SoakBounds) -> None:
        self.bounds = bounds
        self.ledger = Ledger(bounds)
        self.ledger.nodes = nodes
        self.silences = seed >= FIRST_SILENT_SEED
        self.max_body_bytes = LARGE_BODY_BYTES if seed >= FIRST_LARGE_SEED else USUAL_BODY_BYTES
        self.source = random.Random(f"fleet {seed}")
        self.store = SoakStore(random.Random(f"store {seed}"))
        self.workers: list[AnyWorker] = []
        self.claimed: set[str] = set()
        self.partitioned: set[str] = set()
        """Nodes whose links to workers are cut."""
        self.nodes: list[SoakNode] = []
        self.watches: list[AcceptWatch] = []
        self.processes = ProcessGroup()
        self.version = 0
        self.routes: dict[str, dict[str, Any]] = {}
        self.on_crashing: Callable[[AnyWorker, SentCall], None] = _ignore_crashing_request
        self._count = nodes
        self._pace_source = random.Random(f"paces {seed}")
        self._stating = self._pace_source.random() < STATING_SHARE
        self.competing = self._pace_source.random() < COMPETING_SHARE
        self._loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the store, the workers and then the nodes."""
        await self.store.server.start(loopback_address(STORE_HOST))
        for service in SERVICES:
            for number in range(WORKERS_OF_SERVICE):
                await self.add_worker(service, ZONES[number % len(ZONES)])
        self.configure(first_routes(silences=self.silences))
        self.nodes = [SoakNode(number, self.store.server.address) for number in range(self._count)]
        for node in self.nodes:
            node.callers.unreached_clients = self.ledger.unreached_clients[node.name]
            await node.callers.start()
            await node.store.start()
            await node.peers.start(FIRST_PEER_PORT)
            self.start_node(node)
        self.watches = [self._accept_watch(node) for node in self.nodes]
        self._loops = [
            asyncio.create_task(self._watch_readiness()),
            asyncio.create_task(self._watch_lag()),
            *(asyncio.create_task(watch.watch()) for watch in self.watches),
        ]
        await self.wait_ready(START_SECONDS)

    async def stop(self) -> None:
        """Stop every process and simulated back end."""
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        for node in self.nodes:
            await node.callers.stop()
            await node.store.stop()
            await node.peers.stop()
        for worker in list(self.workers):
            await self.end_worker(worker)
        await self.store.server.stop()
        self.processes.close()

    def _accept_watch(self, node: SoakNode) -> AcceptWatch:
        return AcceptWatch(node.name, node.caller_address, self.ledger, lambda: node.misses == 0)

    def start_node(self, node: SoakNode) -> None:
        """Start a node's process, or restart it after it has exited."""
        settings = node.settings(self._seeds(node), self.bounds, competing=self.competing)
        self.processes.start(node.name, RUN_LINE, settings)
        self.ledger.terminated.pop(node.name, None)
        node.started_at = time.monotonic()

    def rewrite_settings(self, node: SoakNode, **bounds: float) -> None:
        """Rewrite a node's settings file with changed bounds."""
        settings = node.settings(self._seeds(node), self.bounds, competing=self.competing)
        settings["bounds"].update(bounds)
        path = self.processes.root / f"{node.name}.toml"
        path.write_text(write_toml(settings), encoding="utf-8")

    def _seeds(self, node: SoakNode) -> list[str]:
        return [f"{other.ip}:{FIRST_PEER_PORT}" for other in self.nodes if other is not node][:3]

    async def wait_signalable(self, node: SoakNode) -> None:
        """Wait until a process has installed its signal handlers.

        With 36 busy processes on 8 cores this took 0.05 to 0.14 s in 20 starts. A fixed wait of
        0.15 s sent signals before the handlers were installed (seed 41010), or between the
        lines that install them (seed 37009).
        """
        process = self.processes.processes[node.name]
        deadline = node.started_at + INTERPRETER_SECONDS
        while not handles_signals(process.pid) and time.monotonic() < deadline:
            await asyncio.sleep(0.005)

    def signal_node(self, node: SoakNode, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        self.processes.signal(node.name, number)

    async def wait_ended(self, node: SoakNode, seconds: float) -> int | None:
        """Return the exit status of a node's process, or ``None`` if it is still running."""
        process = self.processes.processes[node.name]
        deadline = time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        return process.poll()

    async def wait_ready(self, seconds: float) -> bool:
        """Wait until every node reports ready; return whether all did in time."""
        deadline = time.monotonic() + seconds
        while any(node.misses for node in self.nodes):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.05)
        return True

    def choose_node(self) -> tuple[str, str] | None:
        """Return the name and address of a node chosen as a load balancer does."""
        inside = [node for node in self.nodes if node.misses < READINESS_MISSES]
        chosen = inside if 2 * len(inside) >= len(self.nodes) else self.nodes
        node = self.source.choice(chosen)
        return node.name, node.callers.address

    # Configuration

    def configure(self, routes: dict[str, dict[str, Any]]) -> None:
        """Publish a new configuration version with these routes to the store."""
        self.version += self.source.randrange(1, 4)
        services: list[dict[str, Any]] = [
            {"name": name, "health_path": "/healthz", "max_connections": 60}
            for name in PLAIN_SERVICES
        ]
        services.append(MODEL_SERVICE)
        services += [
            stage_service(name, call_ms=30.0, item_ms=4.0, headroom_mb=10.0)
            for name in STAGE_SERVICES
        ]
        document = {
            "version": self.version,
            "routes": list(routes.values()),
            "services": services,
            "limits": {
                "max_header_bytes": 8_192,
                "max_body_bytes": self.max_body_bytes,
                "header_timeout_ms": 1_000,
                "idle_timeout_ms": 3_000,
            },
            "tenants": [{"name": "tenant", "api_keys": [KEY], "priority": 1}],
        }
        self.store.put("op", "config", document)
        for name in {*routes, *self.routes}:
            before, after = self.routes.get(name), routes.get(name)
            if before != after:
                self.ledger.set_route(name, after["service"] if after else None)
        self.routes = routes

    # Workers

    async def add_worker(
        self, service: str, zone: str, link: FaultLink | None = None, worker_id: str = ""
    ) -> AnyWorker:
        """Start a worker; with ``link`` it reuses the address of a removed worker.

        With ``worker_id`` it is the next incarnation of a worker that has exited.
        """
        worker: AnyWorker
        if service in STAGE_SERVICES:
            worker = SoakStageWorker(service, zone, self.ledger, worker_id)
        else:
            worker = SoakWorker(service, zone, self.ledger, self.source, worker_id)
            worker.pace = StatedPace(self._pace_source, stating=self._stating)
        worker.on_crashing = lambda call: self.on_crashing(worker, call)
        await worker.server.start(loopback_address(STORE_HOST))
        if link is None:
            link = FaultLink(loopback_address(LINK_HOST))
            await link.start()
        link.target = worker.server.address
        worker.link = link
        self.workers.append(worker)
        self.store.put("servers", worker.worker_id, worker.entry())
        return worker

    async def restart_worker(self, worker: AnyWorker, *, keep_link: bool) -> None:
        """Restart an exited worker under its id, without its earlier state."""
        if isinstance(worker, SoakStageWorker):
            worker.lose_results()
        link = worker.link if keep_link else None
        if worker.link is not None and not keep_link:
            await worker.link.stop()
        await self.add_worker(worker.service, worker.zone, link, worker.worker_id)

    async def end_worker(self, worker: AnyWorker, *, keep_link: bool = False) -> None:
        """Stop a worker; with ``keep_link`` its link stays open for another worker."""
        if worker in self.workers:
            self.workers.remove(worker)
        await worker.server.stop()
        if worker.link is not None and not keep_link:
            await worker.link.stop()

    def workers_of(self, services: Iterable[str]) -> list[AnyWorker]:
        """Return the workers of some services that are not leaving."""
        names = set(services)
        return [
            worker
            for worker in self.workers
            if worker.service in names
            and worker.worker_id not in self.ledger.leaving_since
            and worker.worker_id not in self.claimed
        ]

    # Loops

    async def _watch_readiness(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(*(self._poll_readiness(session, node) for node in self.nodes))
                await asyncio.sleep(READINESS_SECONDS)

    async def _poll_readiness(self, session: aiohttp.ClientSession, node: SoakNode) -> None:
        try:
            async with session.get(f"http://{node.ip}:{READINESS_PORT}/readyz") as response:
                ready = response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            ready = False
        node.misses = 0 if ready else node.misses + 1

    async def _watch_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_PROBE_SECONDS)
            self.ledger.record_lag(time.monotonic() - before - LAG_PROBE_SECONDS)


def _ignore_crashing_request(worker: AnyWorker, call: SentCall) -> None:
    """Ignore a crashing request: the default until ``CrashingRequests`` replaces it."""
