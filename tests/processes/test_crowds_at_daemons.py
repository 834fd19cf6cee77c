"""Crowds of clients that nobody controls do not end the programs of the own interface."""

import asyncio

import pytest
from client_crowd import MEMORY_MB, connect_unreading

from corkcrank.contracts.memory import BYTES_PER_MB
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.load.process_usage import peak_bytes_of
from small import small_deployment

CLIENTS = 24
DUMPS_AHEAD = 200
BODIES_AHEAD = 32
BODY = b"b" * 500_000
DUMP = b"GET /dump HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(BODY)
ORDINARY = 100


async def send(address: str) -> None:
    """Send as much as the program takes, and read nothing."""
    connection = await connect_unreading(address)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_sendall(connection, DUMP * DUMPS_AHEAD)
        for _ in range(BODIES_AHEAD):
            await loop.sock_sendall(connection, POST)
            await loop.sock_sendall(connection, BODY)
        await asyncio.Event().wait()
    except ConnectionError:
        return
    finally:
        connection.close()


@pytest.mark.parametrize("role", ["gateway", "controller"])
async def test_requests_sent_ahead_to_a_daemon_stay_within_the_memory(role: str) -> None:
    async with LocalCluster(small_deployment(machines=1)) as cluster:
        daemon = (cluster.gateways() if role == "gateway" else cluster.controllers())[0]
        crowd = [asyncio.create_task(send(daemon.peer_address)) for _ in range(CLIENTS)]
        try:
            for _ in range(ORDINARY):
                async with cluster.session.get(f"http://{daemon.peer_address}/dump") as response:
                    assert response.status == 200
                    await response.read()
        finally:
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
        async with cluster.session.get(f"http://{daemon.peer_address}/dump") as response:
            assert response.status == 200
        peak = peak_bytes_of(daemon.popen.pid) // BYTES_PER_MB
        print(f"peak of {peak} MiB")
        assert peak < MEMORY_MB, f"peak of {peak} MiB"
