"""``corkcrank-standin``: serves the stand-ins named in a TOML file until it is stopped."""

import asyncio
import signal
import tomllib
from pathlib import Path

import msgspec
import typer
from aiohttp import web

from corkcrank.contracts.configuration import ServiceKind
from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.messages import WorkerEntry
from corkcrank.standins.engine import EngineStandin
from corkcrank.standins.machine_list import MachineListStandin
from corkcrank.standins.plain import PlainStandin
from corkcrank.standins.pool import PoolStandin
from corkcrank.standins.stores import ObjectStoreStandin, WeightStoreStandin
from corkcrank.standins.table import TableStandin


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One back end; ``service_seconds`` is the time of one call when it is not an engine."""

    worker: WorkerId
    service: str
    kind: ServiceKind
    zone: str
    address: str
    slots: int = 8
    service_seconds: float = 0.01
    models: tuple[str, ...] = ()
    checks_fence: bool = True


class StandinSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The stand-ins that one process serves."""

    table: str = ""
    machine_list: str = ""
    object_store: str = ""
    weight_store: str = ""
    writes_per_second: int = 300
    reads_per_second: int = 2000
    list_lag_seconds: float = 0.5
    listed: tuple[WorkerEntry, ...] = ()
    workers: tuple[WorkerSettings, ...] = ()


def make_worker(settings: WorkerSettings, weight_store: str) -> web.Application:
    """Return the application of one back end."""
    match settings.kind:
        case ServiceKind.ENGINE:
            return EngineStandin(
                settings.worker,
                settings.slots,
                settings.models,
                settings.checks_fence,
                weight_store,
            ).application()
        case ServiceKind.PLAIN:
            return PlainStandin(
                settings.worker, settings.slots, settings.service_seconds
            ).application()
        case _:
            return PoolStandin(
                settings.worker, settings.kind, settings.slots, settings.service_seconds
            ).application()


def make_applications(settings: StandinSettings) -> list[tuple[str, web.Application]]:
    """Return each address with its application."""
    applications = [
        (worker.address, make_worker(worker, settings.weight_store)) for worker in settings.workers
    ]
    if settings.table:
        table = TableStandin(settings.writes_per_second, settings.reads_per_second)
        applications.append((settings.table, table.application()))
    if settings.machine_list:
        machines = MachineListStandin(settings.listed, settings.list_lag_seconds)
        applications.append((settings.machine_list, machines.application()))
    if settings.object_store:
        applications.append((settings.object_store, ObjectStoreStandin().application()))
    if settings.weight_store and not settings.workers:
        applications.append((settings.weight_store, WeightStoreStandin().application()))
    return applications


async def serve(settings: StandinSettings) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runners = []
    for address, application in make_applications(settings):
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        host, port = address.rsplit(":", 1)
        await web.TCPSite(runner, host, int(port), backlog=1024).start()
        runners.append(runner)
    await stop.wait()
    for runner in runners:
        await runner.cleanup()


def run(settings_file: Path = typer.Argument(..., help="TOML file of the stand-ins.")) -> None:
    """Serve the stand-ins named in SETTINGS_FILE."""
    settings = msgspec.convert(tomllib.loads(settings_file.read_text()), StandinSettings)
    asyncio.run(serve(settings))


def main() -> None:
    """Run the program."""
    typer.run(run)
