"""Runs one gateway for opaque calls as a process: settings, signals, log and event loop."""

import asyncio
import os
import random
import signal
from collections.abc import Sequence
from pathlib import Path
from types import FrameType

import aiohttp

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeSettings
from corkcrank.links.client_connections import ClientConnector
from corkcrank.links.decision_log import BoundedOutput, DecisionLog
from corkcrank.node.process.node import Node
from corkcrank.node.process.settings_start import load_settings_at_start
from corkcrank.node.process.settings_watcher import SettingsWatcher
from corkcrank.platform.ports import SETTINGS_VARIABLE, connect_platform

EXIT_INVALID_SETTINGS = 3
"""Exit status of a gateway whose settings file is missing or invalid."""


def serve(arguments: Sequence[str]) -> None:
    """Serve until SIGTERM or SIGINT.

    The settings file is the first argument, or else the one that the platform names in the
    environment. A file that is invalid at first is read again for a time.
    """
    path = Path(arguments[0] if arguments else os.environ.get(SETTINGS_VARIABLE, ""))
    result = load_settings_at_start(path)
    if result.is_error():
        failure = result.error
        print(f"error {failure.code.number} {failure.code.name}: {failure.detail}", flush=True)
        raise SystemExit(EXIT_INVALID_SETTINGS)
    settings = result.ok
    log = DecisionLog(BoundedOutput(), settings.process.name)
    asyncio.run(_run(settings, path, log))


async def _run(settings: NodeSettings, path: Path, log: DecisionLog) -> None:
    loop = asyncio.get_running_loop()
    signalled = _first_stop_signal(loop)
    async with aiohttp.ClientSession(connector=ClientConnector()) as session:
        ports = connect_platform(session, settings.store.address, settings.store.timeout)
        node = Node(settings, ports, log, random.Random())
        watcher = SettingsWatcher(path, settings, log, node.apply_settings)
        loop.add_signal_handler(signal.SIGHUP, watcher.reload_if_changed)
        await node.start()
        watching = asyncio.create_task(watcher.watch())
        signalled_at = await signalled
        watching.cancel()
        await node.stop(signalled_at)


def _first_stop_signal(loop: asyncio.AbstractEventLoop) -> asyncio.Future[float]:
    """Return a future of the time of the first signal to stop, on the clock of :mod:`clock`.

    The grace period starts at the signal, also during a start or while the event loop is
    blocked. So a handler that runs between two instructions records the time; a handler of the
    event loop would run only after the loop is free again (1.5 s late after a stall of 1.5 s).
    """
    signalled: asyncio.Future[float] = loop.create_future()

    def set_first(at: float) -> None:
        if not signalled.done():
            signalled.set_result(at)

    def record_signal(number: int, frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(set_first, clock.now())

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, record_signal)
    return signalled
