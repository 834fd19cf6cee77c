"""Background tasks of a node: registration in the store, readiness, loop lag, cancellation."""

import asyncio
from collections.abc import Collection, Coroutine

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeProcessSettings
from corkcrank.contracts.process_life import ProcessLife, ProcessTrigger
from corkcrank.contracts.socket_addresses import SocketAddress, parse_member_address
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import (
    MetadataStore,
    StoreFailure,
    StoreRows,
    StoreTable,
    Unreadable,
)
from corkcrank.links.unreadable_documents import (
    DocumentKind,
    UnreadableDocument,
    UnreadableListener,
)
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.heartbeat import Phase
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.callers.drain import CHECK_INTERVAL_SECONDS
from corkcrank.node.membership.heartbeats import HeartbeatLoop
from corkcrank.node.stages.stage_owner_client import StageOwnerClient
from corkcrank.node.stages.stage_room import StageRoom
from corkcrank.node.telemetry.metrics import NodeMetrics

REGISTER_RETRY_SECONDS = 1.0
"""Pause before a failed registration in the store is retried."""

MAX_RELEASE_WAIT_SECONDS = 0.1
"""Maximum wait at a stop for messages that free results of ended calls. With the time that
servers take to close, it stays below the part of the grace period that a drain reserves."""

LAG_PROBE_SECONDS = 0.5
"""Time between measurements of the event loop's lag."""


class BackgroundLoops:
    """The background loops of a node; one that fails is logged."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, *loops: Coroutine[None, None, None]) -> None:
        """Start loops, which run until :meth:`stop`."""
        for loop in loops:
            task = asyncio.create_task(loop)
            task.add_done_callback(self._log_failure)
            self.tasks.append(task)

    async def stop(self) -> None:
        """Cancel the loops and wait until all have ended."""
        await cancel_until_ended(self.tasks)

    def _log_failure(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.write(LogEvent.INTERNAL_FAULT, error=repr(task.exception()))


async def register_member(
    process: NodeProcessSettings,
    store: MetadataStore,
    fleet: Fleet,
    heartbeats: HeartbeatLoop,
    on_unreadable: UnreadableListener,
) -> None:
    """Write this node's address to the store, then read the addresses of the others once.

    If two nodes start at the same time, the one that reads last finds the other.
    """
    value = process.peer_address.encode()
    while isinstance(await store.put(StoreTable.MEMBERS, process.name, value), StoreFailure):
        await asyncio.sleep(REGISTER_RETRY_SECONDS)
    while isinstance(rows := await store.read(StoreTable.MEMBERS), StoreFailure):
        await asyncio.sleep(REGISTER_RETRY_SECONDS)
    fleet.add_addresses(_read_addresses(rows, on_unreadable), clock.now())
    heartbeats.request_urgent_send()


def _read_addresses(rows: StoreRows, on_unreadable: UnreadableListener) -> list[SocketAddress]:
    """Return the addresses of members; heartbeats can be sent to each of them."""
    addresses = []
    for row in rows.rows:
        value = row.value.decode(errors="replace") if isinstance(row.value, bytes) else ""
        address = parse_member_address(value)
        if address is None:
            found = row.value if isinstance(row.value, Unreadable) else None
            reason = found.reason if found is not None else "value is no address of a member"
            on_unreadable(UnreadableDocument(DocumentKind.MEMBER, row.key, reason))
        else:
            addresses.append(address)
    for broken in rows.unreadable_keys:
        on_unreadable(UnreadableDocument(DocumentKind.MEMBER, "", broken.reason))
    return addresses


async def become_ready(
    mirror: StoreMirror, life: ProcessLife, fleet: Fleet, log: DecisionLog
) -> None:
    """Wait for a configuration and a list of workers, then let callers and members know."""
    while mirror.configuration is None or not mirror.workers_known:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
    if life.fire(ProcessTrigger.SERVE):
        fleet.local_phase = Phase.SERVING
        log.write(LogEvent.READY, version=mirror.version)


async def measure_loop_lag(metrics: NodeMetrics, fleet: Fleet) -> None:
    """Measure periodically how late the event loop runs, and count the live members."""
    while True:
        scheduled_at = clock.now() + LAG_PROBE_SECONDS
        await asyncio.sleep(LAG_PROBE_SECONDS)
        metrics.loop_lag.observe(max(0.0, clock.now() - scheduled_at))
        metrics.members.set(len(fleet.live_members(clock.now())) + 1)


async def wait_for_pending_releases(owners: StageOwnerClient, room: StageRoom) -> None:
    """Wait a limited time for messages in flight that free the results of ended calls.

    If connections closed before, workers would keep these results for seconds, in result memory
    that the next owner needs, and the sending tasks would fail on closed sessions.
    """
    await asyncio.gather(
        owners.wait_for_messages(MAX_RELEASE_WAIT_SECONDS),
        room.wait_for_free_messages(MAX_RELEASE_WAIT_SECONDS),
    )


async def cancel_until_ended(tasks: Collection[asyncio.Task[None]]) -> None:
    """Cancel tasks repeatedly until all have ended.

    A library that handles its own timeout at the same time may lose a cancellation; a task that
    continued after one kept the process running until it was killed.
    """
    running = {task for task in tasks if not task.done()}
    while running:
        for task in running:
            task.cancel()
        _, running = await asyncio.wait(running, timeout=CHECK_INTERVAL_SECONDS)
