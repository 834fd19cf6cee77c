"""Tests what the check of cut calls says of calls to a node that is not running.

The failure: two calls of seed 71013 were reported as cut by a planned stop, and no node had
received them. While fewer than half of the nodes are ready a client may choose any node; a link
accepts its connection although no process listens behind it, and resets it.
"""

import asyncio
import random
import time

import pytest
from node_world import new_ports

from corkcrank.load.loopback import loopback_address
from soak.bounds import SoakBounds
from soak.clients import Clients, RouteUse
from soak.ledger import Ledger
from soak.links import FaultLink

ROUTE = RouteUse("once", 1.0, repeatable=False)
STALL_SECONDS = 0.25
"""Time for which the soak's loop stands still: below ``STALL_SECONDS`` of the ledger, from which
on a stall disturbs the whole machine."""


async def call_down_node(stall_at: int | None) -> Ledger:
    """Send a call to a node that is down; the loop is blocked some turns after the sending."""
    ledger = Ledger(SoakBounds())
    ledger.planned_only = True
    address = f"{loopback_address(1)}:{new_ports(1)[0]}"
    link = FaultLink(loopback_address(1), address)
    link.unreached_clients = ledger.unreached_clients["node-0"]
    await link.start()
    clients = Clients(ledger, [ROUTE], lambda: ("node-0", link.address), random.Random(1))
    record = ledger.record_sent

    def record_then_stall(call: object) -> None:
        record(call)  # type: ignore[arg-type]
        if stall_at is not None:
            _stall_after(stall_at)

    ledger.record_sent = record_then_stall  # type: ignore[method-assign]
    watching = asyncio.create_task(_watch_lag(ledger))
    await asyncio.sleep(0)
    await clients.send_once(ROUTE)
    watching.cancel()
    await link.stop()
    return ledger


def _stall_after(turns: int) -> None:
    if turns:
        asyncio.get_running_loop().call_soon(_stall_after, turns - 1)
    else:
        time.sleep(STALL_SECONDS)


async def _watch_lag(ledger: Ledger) -> None:
    """Record the lag as the fleet does."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.05)
        ledger.record_lag(time.monotonic() - before - 0.05)


@pytest.mark.parametrize("stall_at", [None, 0, 1, 2, 3, 4])
async def test_a_call_to_a_node_that_is_down_is_not_reported_as_cut(stall_at: int | None) -> None:
    ledger = await call_down_node(stall_at)
    assert [call.answer.trouble for call in ledger.calls.values() if call.answer] != []
    assert ledger.violations == []
