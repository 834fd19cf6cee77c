"""Background tasks of a node: registration in the store, loop lag, cancellation."""

import asyncio
from collections.abc import Collection

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeProcessSettings
from corkcrank.links.platform_ports import MetadataStore, StoreFailure, StoreTable
from corkcrank.machines.fleet import Fleet
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


async def register_member(
    process: NodeProcessSettings, store: MetadataStore, fleet: Fleet, heartbeats: HeartbeatLoop
) -> None:
    """Write this node's address to the store, then read the addresses of the others once.

    If two nodes start at the same time, the one that reads last finds the other.
    """
    value = process.peer_address.encode()
    while isinstance(await store.put(StoreTable.MEMBERS, process.name, value), StoreFailure):
        await asyncio.sleep(REGISTER_RETRY_SECONDS)
    while isinstance(rows := await store.read(StoreTable.MEMBERS), StoreFailure):
        await asyncio.sleep(REGISTER_RETRY_SECONDS)
    addresses = [row.value.decode() for row in rows.rows if isinstance(row.value, bytes)]
    fleet.add_addresses(addresses, clock.now())
    heartbeats.request_urgent_send()


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
