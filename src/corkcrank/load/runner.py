"""Sends a trace to a cluster in an open loop, spread evenly over the gateways."""

import asyncio
from collections.abc import Callable, Sequence

from corkcrank.contracts import clock
from corkcrank.contracts.identifiers import Address
from corkcrank.load.caller import Caller, CallerRecord
from corkcrank.load.trace import Arrival


async def play_trace(
    trace: Sequence[Arrival], caller: Caller, gateways: Callable[[], Sequence[Address]]
) -> list[CallerRecord]:
    """Send each arrival at its time; ``gateways`` is called for each, like a load balancer."""
    started = clock.now()
    tasks: list[asyncio.Task[CallerRecord]] = []
    for arrival in trace:
        await asyncio.sleep(max(0.0, arrival.at - (clock.now() - started)))
        addresses = gateways()
        address = addresses[arrival.number % len(addresses)]
        tasks.append(asyncio.create_task(caller.send(arrival, address)))
    return list(await asyncio.gather(*tasks))
