"""``corkcrank-gateway``: the process that serves callers."""

import asyncio
import random

import msgspec
from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.contracts.process_life import ProcessLife, ProcessState, ProcessTrigger
from corkcrank.contracts.settings import Settings
from corkcrank.gateway.caller_routes import CallerRoutes
from corkcrank.gateway.claim_store import ClaimStore
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.links.bounded_server import BoundedAppRunner
from corkcrank.links.listener_state import connection_limit, peer_connection_limit
from corkcrank.links.logs import ComponentLog, configure_logs
from corkcrank.machines.daemon import (
    MemberDump,
    WorkerDump,
    cancel_all,
    read_settings_or_exit,
    serve_application,
    stop_on_signals,
)
from corkcrank.machines.daemon_links import DaemonLinks
from corkcrank.machines.load_view import LoadView
from corkcrank.machines.member import MemberAgent
from corkcrank.machines.member_dump import dump_member
from corkcrank.machines.peer_routes import PeerRoutes
from corkcrank.machines.routing import make_policy
from corkcrank.zones.digest import ZoneDigest

ROLE = "gateway"

MAX_PEER_MESSAGE_BYTES = 1 << 24
"""Maximum size of a message from a peer, in bytes."""

CHECK_INTERVAL_SECONDS = 0.05
"""Interval between checks for readiness and for the end of a drain."""


class GatewayDump(msgspec.Struct, frozen=True):
    """The state of a gateway, as returned by ``/dump``."""

    member: MemberDump
    in_flight: int
    unsettled_claims: int
    claim_transactions: int
    claim_writes: int
    workers: tuple[WorkerDump, ...]
    control_exchanges: int
    control_bytes: int


class Gateway:
    """Builds, starts and stops the parts of one gateway process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._links = DaemonLinks(settings)
        self.life = ProcessLife()
        table = self._links.table
        self.agent = MemberAgent(settings, ROLE, table, self._links.peers)
        self.agent.on_digest = self._apply_digest
        self.view = LoadView(settings.process.zone)
        policy = make_policy(settings.policies.routing, random.Random(settings.process.name))
        self.dispatcher = Dispatcher(
            self.view,
            self._links.back_ends,
            policy,
            clock.now,
            self._drained_workers,
            settings.policies.retry_share,
        )
        self.claims = ClaimStore(table)
        self.routes = CallerRoutes(
            self.agent.view, self.dispatcher, self.claims, self.life, settings
        )
        self._log = ComponentLog(ROLE)
        self._peer_runner: BoundedAppRunner | None = None
        self._caller_runner: BoundedAppRunner | None = None
        self._loops: list[asyncio.Task[None]] = []

    def _apply_digest(self, digest: ZoneDigest) -> None:
        if digest.directory is not None:
            self.view.apply_directory(digest.directory)
        self.view.apply_loads(digest.loads, clock.now())

    def _drained_workers(self) -> frozenset[WorkerId]:
        index = self.agent.view.adoption.index
        return index.drained_workers if index is not None else frozenset()

    def dump(self) -> GatewayDump:
        """Return the state for ``/dump``."""
        return GatewayDump(
            member=dump_member(self.agent, self.life),
            in_flight=self.routes.in_flight,
            unsettled_claims=self.routes.unsettled_claims,
            claim_transactions=self.claims.writer.transactions,
            claim_writes=self.claims.writer.writes,
            workers=tuple(
                WorkerDump(
                    worker=worker.entry.worker,
                    service=worker.entry.service,
                    leaving=worker.leaving,
                    load=worker.load,
                    own_in_flight=worker.own_in_flight,
                    models=worker.models,
                )
                for worker in self.view.workers()
            ),
            control_exchanges=self._links.traffic.exchanges,
            control_bytes=self._links.traffic.total_bytes,
        )

    async def start(self) -> None:
        """Start serving peers and, if a caller address is set, callers."""
        peer_application = web.Application(client_max_size=MAX_PEER_MESSAGE_BYTES)
        PeerRoutes(
            self.agent, self.dump, self.agent.answer_heartbeat, self._links.traffic
        ).register_routes(peer_application)
        process = self._settings.process
        limits = NodeLimitSettings()
        self._peer_runner = await serve_application(
            peer_application, process.peer_address, peer_connection_limit(limits)
        )
        if process.caller_address:
            application = web.Application(client_max_size=self._settings.limits.maximum_body_bytes)
            self.routes.add_to(application)
            self._caller_runner = await serve_application(
                application,
                process.caller_address,
                connection_limit(limits),
                handler_cancellation=True,
            )
        self._loops = [
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self._become_ready()),
        ]

    async def stop(self) -> None:
        """Drain, then close all connections."""
        await self._drain()
        await cancel_all(self._loops)
        for runner in (self._caller_runner, self._peer_runner):
            if runner is not None:
                await runner.cleanup()
        await self._links.close()
        self._log.info("Stopped.")

    async def _become_ready(self) -> None:
        while not self.agent.view.adoption.may_admit(clock.now()):
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        if self.life.fire(ProcessTrigger.SERVE):
            self._log.info("Serving.", address=self._settings.process.caller_address)

    async def _drain(self) -> None:
        """Accept calls until the load balancer stops sending, then finish those in flight."""
        self.life.fire(ProcessTrigger.DRAIN)
        self._log.info("Draining.", in_flight=self.routes.in_flight)
        limits = self._settings.limits
        await asyncio.sleep(limits.drain_linger_seconds)
        if self._caller_runner is not None:
            self._caller_runner.stop_listening()
        drain_until = clock.now() + limits.drain_limit_seconds
        while self.routes.in_flight or self.routes.unsettled_claims:
            if clock.now() >= drain_until:
                self._log.warning(
                    "Drain limit reached.",
                    in_flight=self.routes.in_flight,
                    unsettled_claims=self.routes.unsettled_claims,
                )
                break
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        self.life.fire(ProcessTrigger.STOP)
        assert self.life.state == ProcessState.STOPPED


async def _run(settings: Settings) -> None:
    stop = stop_on_signals()
    gateway = Gateway(settings)
    await gateway.start()
    await stop.wait()
    await gateway.stop()


def main() -> None:
    """Serve callers until SIGTERM, with the settings file given on the command line."""
    settings = read_settings_or_exit("corkcrank-gateway", needs_caller_address=True)
    configure_logs(settings.process.name)
    asyncio.run(_run(settings))
