"""Odd rows of another writer in the tables of the gateways themselves, and of the operator."""

import asyncio
import zlib

import msgspec
import pytest
from node_world import configuration, peer_of, route, until, world
from odd_entries import ADDRESSES, DEPTH, ended_loops, odd_rows
from platform_standins import StandinWorker

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address
from corkcrank.machines.claim_reports import DATAGRAM_TAG as CLAIM_TAG
from corkcrank.machines.heartbeat import Heartbeat
from corkcrank.machines.heartbeat_codec import encode_heartbeat
from corkcrank.machines.origin_reports import DATAGRAM_TAG as ORIGIN_TAG

ROUTES = [route("safe", "safe", "plain")]

ODD_MEMBERS = {
    "no text": [b"\xff\xfe"],
    "no address": [b"[" * DEPTH, b"\xd9\xa1:\xd9\xa1", *(text.encode() for text in ADDRESSES)],
    "a port out of range": [b"127.0.0.1:99999"],
    "no IPv4": [b"[::1]:80"],
}


@pytest.mark.parametrize("kind", ODD_MEMBERS)
async def test_odd_members_end_no_heartbeats(kind: str) -> None:
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        for number, value in enumerate(ODD_MEMBERS[kind]):
            running.store.put("members", f"node-{number}", value)
        for key, row in odd_rows().items():
            running.store.put("members", key, row)
        async with peer_of(running, loopback_address(2)) as second:
            nodes = [running.nodes[0], second]
            await asyncio.sleep(1.5)
            for number, node in enumerate(nodes):
                assert ended_loops(node) == []
                assert len(node.fleet.live_members(clock.now())) == 1
                response = await running.call("/safe/x", number=number)
                assert response.status == 200


def odd_datagrams(sound: Heartbeat) -> list[bytes]:
    """Return datagrams that are no heartbeats, or state an address that is none."""
    nested = b"\x91" * 5_000 + b"\xc0"
    beats = [
        msgspec.structs.replace(sound, name=f"odd-{number}", address=address, probe=probe)
        for number, address in enumerate([*ADDRESSES[:-1], "[::1]:80"])
        for probe in (True, False)
    ]
    tags = (b"", CLAIM_TAG, ORIGIN_TAG)
    datagrams = [encode_heartbeat(beat) for beat in beats]
    datagrams += [zlib.compress(tag + nested) for tag in tags]
    return datagrams + [tag + body for tag in tags for body in (nested, b"", b"\xff", b"\xa1\xff")]


async def test_odd_datagrams_end_no_heartbeats() -> None:
    worker = StandinWorker()
    faults: list[dict[str, object]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, fault: faults.append(fault))
    async with (
        world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        first = running.nodes[0]
        await until(lambda: len(first.fleet.live_members(clock.now())) == 1)
        sound = second.heartbeats._build_heartbeat(clock.now())
        for data in odd_datagrams(sound):
            second.heartbeats.send_datagram(data, first.fleet.local_address)
        await asyncio.sleep(1.0)
        for number, node in enumerate(running.nodes):
            assert ended_loops(node) == []
            assert len(node.fleet.live_members(clock.now())) == 1
            assert (await running.call("/safe/x", number=number)).status == 200
    assert faults == []
