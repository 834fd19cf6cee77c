"""Hollow daemons: many real gateways and controllers share one process and serve no caller.

They run the same code as real ones, over loopback; only callers are missing.
"""

import asyncio
import os
import tomllib
from pathlib import Path

import msgspec
from aiohttp import web

from corkcrank.contracts.identifiers import Address, MemberId, ZoneName
from corkcrank.contracts.settings import (
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
    Settings,
)
from corkcrank.controller.program import Controller, ControllerDump
from corkcrank.gateway.program import Gateway, GatewayDump
from corkcrank.links.logs import configure_logs
from corkcrank.load.process_usage import cpu_seconds_of, resident_bytes_of
from corkcrank.machines.daemon import serve_application, stop_on_signals

START_PAUSE_SECONDS = 0.02
"""Pause between starts, so that the daemons' rounds do not coincide."""


class HollowDaemon(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One hollow daemon."""

    role: str
    name: MemberId
    zone: ZoneName
    peer_address: Address


class HollowSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The hollow daemons of one process."""

    status_address: Address
    table: Address
    machine_list: Address
    seeds: tuple[Address, ...]
    daemons: tuple[HollowDaemon, ...]


class HollowStatus(msgspec.Struct, frozen=True):
    """What the daemons of one process hold and have sent.

    ``least_version`` and ``least_workers`` are over the daemons; bytes count both ways.
    """

    daemons: int
    least_version: int
    gateways_knowing_leaving: int
    gateways: int
    least_workers: int
    holders: tuple[str, ...]
    exchanges: int
    control_bytes: int
    cpu_seconds: float
    resident_bytes: int


class HollowProcess:
    """The daemons of one process."""

    def __init__(self, settings: HollowSettings) -> None:
        self._settings = settings
        self._gateways: list[Gateway] = []
        self._controllers: list[Controller] = []

    async def start(self) -> None:
        """Start every daemon, one after another."""
        for daemon in self._settings.daemons:
            settings = self._daemon_settings(daemon)
            if daemon.role == "gateway":
                gateway = Gateway(settings)
                self._gateways.append(gateway)
                await gateway.start()
            else:
                controller = Controller(settings)
                self._controllers.append(controller)
                await controller.start()
            await asyncio.sleep(START_PAUSE_SECONDS)

    def status(self) -> HollowStatus:
        """Return what the scale run reads."""
        dumps: list[GatewayDump | ControllerDump] = []
        dumps += [gateway.dump() for gateway in self._gateways]
        controller_dumps = [controller.dump() for controller in self._controllers]
        dumps += controller_dumps
        views = [gateway.view.workers() for gateway in self._gateways]
        return HollowStatus(
            daemons=len(dumps),
            least_version=min(dump.member.configuration_version for dump in dumps),
            gateways_knowing_leaving=sum(any(row.leaving for row in view) for view in views),
            gateways=len(views),
            least_workers=min((len(view) for view in views), default=0),
            holders=tuple(dump.member.name for dump in controller_dumps if dump.publishes),
            exchanges=sum(dump.control_exchanges for dump in dumps),
            control_bytes=sum(dump.control_bytes for dump in dumps),
            cpu_seconds=cpu_seconds_of(os.getpid()),
            resident_bytes=resident_bytes_of(os.getpid()),
        )

    def _daemon_settings(self, daemon: HollowDaemon) -> Settings:
        return Settings(
            process=ProcessSettings(daemon.name, daemon.zone, daemon.peer_address),
            platform=PlatformSettings(self._settings.table, self._settings.machine_list),
            peers=PeerSettings(self._settings.seeds),
        )


def read_hollow_settings(path: Path) -> HollowSettings:
    """Read the settings of one process."""
    return msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), HollowSettings)


async def serve_hollow(settings: HollowSettings) -> None:
    """Run hollow daemons until SIGTERM."""
    configure_logs("hollow")
    stop = stop_on_signals()
    process = HollowProcess(settings)

    async def give_status(request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(process.status()))

    application = web.Application()
    application.add_routes([web.get("/status", give_status)])
    await serve_application(application, settings.status_address)
    await process.start()
    await stop.wait()
