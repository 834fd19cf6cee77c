"""A gateway tells which connections it closes on its listeners for peers and health checks."""

import json

import pytest
from client_crowd import connect_unreading
from node_world import until
from process_world import ProcessWorld, process_world

DESCRIPTORS = 400
CLIENTS = 100
"""More than each of the two listeners accepts at this number of descriptors."""

HALF_HEAD = b"GET /readyz HT"


def closings(world: ProcessWorld) -> list[dict[str, str]]:
    lines = [json.loads(line) for line in world.log_lines()]
    return [line for line in lines if line["event"] == "Listener: connections closed."]


@pytest.mark.parametrize("listener", ["peers", "readiness"])
async def test_closed_connections_are_logged_and_counted(listener: str) -> None:
    async with process_world(DESCRIPTORS) as world:
        address = world.peer_address if listener == "peers" else world.readiness_address
        connections = [await connect_unreading(address) for _ in range(CLIENTS)]
        try:
            for connection in connections:
                connection.send(HALF_HEAD)
            await until(lambda: bool(closings(world)))
            assert {line["listener"] for line in closings(world)} == {listener}
            assert await world.metric("corkcrank_listener_closed_total") > 0
        finally:
            for connection in connections:
                connection.close()
