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
    stop_signal = StopSignal(loop)
    async with aiohttp.ClientSession(connector=ClientConnector()) as session:
        ports = connect_platform(session, settings.store.address, settings.store.timeout)
        node = Node(settings, ports, log, random.Random())
        stop_signal.begins_drain_of(node)
        watcher = SettingsWatcher(path, settings, log, node.apply_settings)
        loop.add_signal_handler(signal.SIGHUP, watcher.reload_if_changed)
        await node.start()
        watching = asyncio.create_task(watcher.watch())
        signalled_at = await stop_signal.first_at
        watching.cancel()
        await node.stop(signalled_at)


class StopSignal:
    """The first signal to stop; ``first_at`` is its time on the clock of :mod:`clock`.

    The grace period starts at the signal, also during a start or while the event loop is
    blocked. So a handler that runs between two instructions records the time and sets the drain's
    schedule. The event loop resumes a task that waits for ``first_at`` only after what became ready
    before it, such as requests that were read as late as a stall of the loop ended.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.first_at: asyncio.Future[float] = loop.create_future()
        self._loop = loop
        self._received_at: float | None = None
        self._node: Node | None = None
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._record)

    def begins_drain_of(self, node: Node) -> None:
        """Set the schedule of a node's drain as soon as the signal is received."""
        self._node = node
        self._begin_drain()

    def _record(self, number: int, frame: FrameType | None) -> None:
        if self._received_at is None:
            self._received_at = clock.now()
            self._begin_drain()
            self._loop.call_soon_threadsafe(self._set_first, self._received_at)

    def _begin_drain(self) -> None:
        if self._node is not None and self._received_at is not None:
            self._node.services.begin_drain(self._received_at)

    def _set_first(self, at: float) -> None:
        if not self.first_at.done():
            self.first_at.set_result(at)
