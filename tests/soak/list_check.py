"""Checks that every node's worker list equals the store's once all faults have ended."""

import asyncio
import json
import time
from typing import Any

import aiohttp

from soak.fleet import FIRST_PEER_PORT, SERVICES, SoakFleet, SoakNode

LISTED_SECONDS = 4.0
"""Time within which the last changes reach every node: the leaving bound plus slack."""


async def check_lists(fleet: SoakFleet) -> None:
    """Check that nodes list exactly the newest incarnations, with ready workers as usable.

    A worker of a service that is not in the configuration is listed but receives no calls.
    """
    deadline = time.monotonic() + LISTED_SECONDS + fleet.ledger.loop_lag
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            expected = _expected_workers(fleet)
            lists = [await _fetch_listed_workers(session, node) for node in fleet.nodes]
            wrong = [found for found in lists if found != expected]
            if not wrong:
                return
            if time.monotonic() > deadline:
                break
            await asyncio.sleep(0.1)
    for node, found in zip(fleet.nodes, lists, strict=True):
        if found != expected:
            differing = dict(found.items() ^ expected.items())
            fleet.ledger.violate("listed", f"{node.name} differs in {differing}")


def _expected_workers(fleet: SoakFleet) -> dict[str, bool]:
    """Return, by incarnation, whether each worker with an entry in the store is leaving."""
    entries = {key: data for (table, key), (data, _) in fleet.store.rows.items()}
    return {
        f"{worker.worker_id} {worker.born}": _state(entries[worker.worker_id]) == "draining"
        for worker in fleet.workers
        if worker.worker_id in entries
    }


def _state(data: bytes) -> str:
    entry: dict[str, Any] = json.loads(data)
    return str(entry["state"])


async def _fetch_listed_workers(session: aiohttp.ClientSession, node: SoakNode) -> dict[str, bool]:
    try:
        async with session.get(f"http://{node.ip}:{FIRST_PEER_PORT}/dump") as response:
            dump = await response.json(content_type=None)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return {}
    return {
        worker["worker_id"]: worker["leaving"]
        for worker in dump["workers"]
        if worker["service"] in SERVICES
    }
