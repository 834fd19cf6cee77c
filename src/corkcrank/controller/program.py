"""``corkcrank-controller``: the process that manages a zone and serves operators."""

import asyncio

import msgspec
from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.contracts.process_life import ProcessLife, ProcessTrigger
from corkcrank.contracts.settings import Settings
from corkcrank.controller.planning import Planner
from corkcrank.controller.routes import MAX_INTENT_BYTES, OperatorRoutes
from corkcrank.controller.zone_holder import ZoneHolder
from corkcrank.links.bounded_server import BoundedAppRunner
from corkcrank.links.listener_state import connection_limit
from corkcrank.links.logs import ComponentLog, configure_logs
from corkcrank.machines.daemon import (
    MemberDump,
    cancel_all,
    read_settings_or_exit,
    serve_application,
    stop_on_signals,
)
from corkcrank.machines.daemon_links import DaemonLinks
from corkcrank.machines.member import MemberAgent
from corkcrank.machines.member_dump import dump_member
from corkcrank.machines.peer_routes import PeerRoutes

ROLE = "controller"


class ControllerDump(msgspec.Struct, frozen=True):
    """The state of a controller, as returned by ``/dump``."""

    member: MemberDump
    publishes: bool
    fence: int
    lease_seconds_left: float
    workers_polled: tuple[str, ...]
    orders_sent: int
    control_exchanges: int
    control_bytes: int


class Controller:
    """Builds, starts and stops the parts of one controller process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._links = DaemonLinks(settings)
        self.life = ProcessLife()
        table = self._links.table
        self.agent = MemberAgent(settings, ROLE, table, self._links.peers)
        self.holder = ZoneHolder(self.agent, table, self._links.peers, self._links.back_ends)
        self.agent.before_heartbeat = self.holder.poll_workers
        self.agent.reports = self.holder.reports
        self.planner = Planner(table)
        self._log = ComponentLog(ROLE)
        self._runner: BoundedAppRunner | None = None
        self._loops: list[asyncio.Task[None]] = []

    def dump(self) -> ControllerDump:
        """Return the state for ``/dump``."""
        lease = self.holder.lease
        return ControllerDump(
            member=dump_member(self.agent, self.life),
            publishes=self.holder.publishes,
            fence=lease.fence,
            lease_seconds_left=max(0.0, lease.held_until - clock.now()),
            workers_polled=tuple(report.worker for report in self.holder.reports()),
            orders_sent=self.holder.orders_sent,
            control_exchanges=self._links.traffic.exchanges,
            control_bytes=self._links.traffic.total_bytes,
        )

    async def start(self) -> None:
        """Start serving peers and operators, and start the loops that manage the zone."""
        application = web.Application(client_max_size=MAX_INTENT_BYTES)
        PeerRoutes(
            self.agent, self.dump, self.holder.apply_heartbeat, self._links.traffic
        ).register_routes(application)
        OperatorRoutes(self.planner, self.holder, self.agent).add_to(application)
        self._runner = await serve_application(
            application,
            self._settings.process.peer_address,
            connection_limit(NodeLimitSettings()),
        )
        self.life.fire(ProcessTrigger.SERVE)
        self._log.info("Serving.", address=self._settings.process.peer_address)
        self._loops = [
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self.holder.run()),
        ]

    async def stop(self) -> None:
        """Stop managing the zone, release its lease and close all connections."""
        self.life.fire(ProcessTrigger.DRAIN)
        await cancel_all(self._loops)
        await self.holder.release()
        if self._runner is not None:
            await self._runner.cleanup()
        await self._links.close()
        self.life.fire(ProcessTrigger.STOP)
        self._log.info("Stopped.")


async def _run(settings: Settings) -> None:
    stop = stop_on_signals()
    controller = Controller(settings)
    await controller.start()
    await stop.wait()
    await controller.stop()


def main() -> None:
    """Manage the zone of the settings file named on the command line until SIGTERM."""
    settings = read_settings_or_exit("corkcrank-controller", needs_caller_address=False)
    configure_logs(settings.process.name)
    asyncio.run(_run(settings))
