"""Tests that no stage request is sent for a caller whose disconnect is known by then."""

import asyncio
from typing import Any

from callers import LEAVE_SECONDS, caller_of, ends_in_time
from node_world import until
from test_callers_leave_owners import PIECES, pair

from corkcrank.node.process.node import Node


class SlowConnections:
    """New connections of a gateway to its workers, each of which waits until ``ready`` is set."""

    def __init__(self, node: Node) -> None:
        self.ready = asyncio.Event()
        self.begun = 0
        connector: Any = node.services.client._kept.connector
        self._connect = connector._create_connection
        connector._create_connection = self._connect_slowly

    async def _connect_slowly(self, *options: Any) -> Any:
        connection = await self._connect(*options)
        self.begun += 1
        await self.ready.wait()
        return connection


async def test_pieces_withdrawn_while_their_connection_was_made_were_still_sent() -> None:
    """A stage request reached its worker after its owner had been told of the caller's close.

    The owner withdrew queued pieces only; a request that waited for its connection was sent.
    """
    gate = asyncio.Event()
    gate.set()
    async with pair(gate) as two, caller_of(two.running, two.other) as caller:
        owner = two.owner.stage_owner
        owner.free_results(two.encode.worker_id, [])
        await until(lambda: two.encode.reports > 0)
        two.owner.services.client.drop_all_idle()
        slow = SlowConnections(two.owner)
        caller.send("/staged/x", PIECES)
        await until(lambda: slow.begun > 0 and owner.busy)
        caller.leave()
        await ends_in_time(two.running)
        queue = owner.get_queue(two.encode.worker_id)
        assert queue is not None
        sent = [stage_item for call in queue._calls for stage_item in call.stage_items]
        await until(lambda: all(item.abandoned for item in sent), seconds=LEAVE_SECONDS)
        slow.ready.set()
        await until(lambda: not owner.busy)
        assert not two.encode.calls
        # The worker did nothing wrong: the next call is sent to it at once.
        async with caller_of(two.running, two.other) as next_caller:
            next_caller.send("/staged/x", PIECES)
            await next_caller.reader.readuntil(b"id: 3")
        assert len(two.encode.calls) == 1
