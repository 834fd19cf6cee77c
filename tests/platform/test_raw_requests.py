"""Damaged requests on raw sockets: the gateway answers or closes, and keeps serving.

Guards against internal faults caused by malformed bytes in a request's head or body.
"""

import asyncio
import random

from node_world import HOST, KEY, World, call_id, configuration, route, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.links.decision_log import LogEvent

SEED = 11
DAMAGED_REQUESTS = 300
AT_ONCE = 30
ANSWER_SECONDS = 0.4
ROUTES = [
    route("safe", "safe", "plain"),
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    ),
]


def good_request(path: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Corkcrank-Attempt-Id: {call_id()}\r\n"
        f"X-Corkcrank-Credential: {KEY}\r\nX-Corkcrank-Deadline-Ms: 900\r\n"
        "X-Corkcrank-Model: m\r\nX-Corkcrank-Token-Count: 20,5\r\n"
        "X-Corkcrank-Prefix-Hash: aa:10,bb:10\r\nX-Corkcrank-Segments: 2\r\n"
        "X-Corkcrank-Segment-Key: k\r\nContent-Length: 4\r\n\r\nbody"
    ).encode()


def damage(data: bytes, source: random.Random) -> bytes:
    """Change, delete, duplicate or insert some bytes."""
    changed = bytearray(data)
    for _ in range(source.randrange(1, 4)):
        at = source.randrange(len(changed))
        kind = source.randrange(5)
        if kind == 0:
            changed[at] = source.randrange(256)
        elif kind == 1:
            del changed[at : at + source.randrange(1, 9)]
        elif kind == 2:
            changed[at:at] = source.randbytes(source.randrange(1, 9))
        elif kind == 3:
            changed[at:at] = changed[at : at + 40]
        else:
            changed[at:at] = b"9" * source.randrange(1, 60)
    return bytes(changed)


async def send(running: World, data: bytes) -> None:
    """Send bytes and wait for the answer to begin; an apparently incomplete request gets none."""
    host, port = running.address().rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(ANSWER_SECONDS):
            await reader.read(1)
    except OSError:
        pass
    finally:
        writer.close()


async def test_damaged_requests_cause_no_fault() -> None:
    source = random.Random(SEED)
    served = {
        "p": (StandinWorker(), "plain"),
        "m": (StandinWorker(events=2), "model"),
        "e": (StandinStageWorker(), "encode"),
    }
    async with world(configuration(1, ROUTES), served) as running:
        node = running.nodes[0]
        faults: list[object] = []
        write = node._log.write

        def record_event(event: LogEvent, **fields: object) -> None:
            if event is LogEvent.INTERNAL_FAULT:
                faults.append(fields)
            write(event, **fields)

        node._log.write = record_event  # type: ignore[method-assign]
        for first in range(0, DAMAGED_REQUESTS, AT_ONCE):
            paths = [("/safe/x", "/staged/x")[number % 2] for number in range(AT_ONCE)]
            damaged = [damage(good_request(path), source) for path in paths]
            await asyncio.gather(*(send(running, data) for data in damaged))
            assert faults == [], f"among the {AT_ONCE} requests after the first {first}"
        for path in ("/safe/x", "/staged/x"):
            response = await running.call(
                path, headers={"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}
            )
            assert response.status == 200
            await response.read()
