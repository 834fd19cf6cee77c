"""Engines break off some answers that have no length; does a stream end as complete too early?"""

import asyncio
import json
import socket
import struct
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import (
    HOST,
    KEY,
    TROUBLE,
    Record,
    World,
    aiohttp,
    attempt_id,
    entry,
    http_answer,
    read_request,
    run_case,
    serve,
)

RUN_SECONDS, FAULT_AT_SECONDS = 70.0, 5.0
CALLERS = 16
EVENTS = 12
GAP_SECONDS = 0.02
SPOILED_SHARE = 0.05
"""Largest share of a faulty engine's answers that are broken off; two of four are faulty."""


class Engine:
    """A model worker that streams twelve events."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.faulty = False
        self.answers = self._spoiled = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(writer, *request[1:3]):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, path: str, headers: dict) -> bool:
        """Answer a request; return whether the connection stays open."""
        if headers.get("x-corkcrank-expect-instance") not in (None, self.name):
            writer.write(http_answer(421, X_Corkcrank_Instance_Id=self.name))
            return True
        if path == "/report":
            report = {"queued": 0, "active": 0, "kv_used": 0, "kv_total": 244943}
            writer.write(http_answer(200, json.dumps(report).encode()))
            return True
        self.answers += 1
        request = headers["x-corkcrank-attempt-id"]
        after = int(headers.get("last-event-id") or 0)
        spoiled = self._spoils(resumed=after > 0)
        self.record.write(
            "engine runs", engine=self.name, request=request, after=after, spoiled=spoiled
        )
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Corkcrank-Attempt-Id: {request}\r\nX-Corkcrank-Server-Seal: seal.{self.name}\r\n"
        )
        if spoiled:
            await self._break_off(writer, head, request, after)
            return False
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(after + 1, EVENTS + 1):
            event = _event(number, request)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(GAP_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _spoils(self, *, resumed: bool) -> bool:
        """Return whether to break off an answer; keeps a part of the share for resumed streams."""
        left = int(SPOILED_SHARE * self.answers) - self._spoiled
        spoils = self.faulty and left >= (1 if resumed else 2)
        self._spoiled += spoils
        return spoils

    async def _break_off(
        self, writer: asyncio.StreamWriter, head: str, request: str, after: int
    ) -> None:
        """Send two events of an answer without a length, then reset the connection."""
        writer.write((head + "Connection: close\r\n\r\n").encode())
        writer.write(b"".join(_event(after + step, request) for step in (1, 2)))
        await writer.drain()
        linger = struct.pack("ii", 1, 0)  # a close sends a reset
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


def _event(number: int, request: str) -> bytes:
    return f"id: {number}\ndata: {request}\n\n".encode()


def configuration() -> dict:
    """Return a configuration with one streamed route that may be resumed."""
    route = {
        "name": "r-1",
        "hostname": HOST,
        "path_prefix": "/guide/",
        "route_type": "stream",
        "timeout_ms": 15000,
        "target_latency_ms": 2700,
        "priority": 2,
        "service": "llm",
        "max_attempts": 2,
        "anonymous": False,
        "session_affinity": True,
        "stream_resume": True,
        "target_gap_ms": 500,
    }
    engine = {"slots": 128, "kv_capacity": 244943, "models": [{"name": "m"}]}
    service = {"name": "llm", "health_path": "/healthz", "max_connections": 500, "engine": engine}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    tenants = [{"name": "bozi300", "api_keys": [KEY], "priority": 1}]
    return {
        "version": 1,
        "routes": [route],
        "services": [service],
        "limits": limits,
        "tenants": tenants,
    }


async def call(world: World, record: Record, gateway: int, results: Counter) -> None:
    """Send one request on a new connection, and check how its stream ends."""
    request = attempt_id()
    headers = {
        "Host": HOST,
        "X-Corkcrank-Attempt-Id": request,
        "X-Corkcrank-Credential": KEY,
        "X-Corkcrank-Deadline-Ms": "15000",
        "X-Corkcrank-Model": "m",
        "X-Corkcrank-Token-Count": "543,36",
        "X-Corkcrank-Prefix-Hash": f"{request[-8:]}:543",
    }
    record.write("sent", request=request, gateway=world.gateways[gateway].name)
    url = f"http://{world.gateways[gateway].caller_address}/guide/a"
    timeout = aiohttp.ClientTimeout(total=16.0)
    try:
        async with world.session.post(url, headers=headers, data=b"{}", timeout=timeout) as answer:
            body = await answer.read()
            events = body.count(b"\n\n")
            record.write(
                "answered as complete", request=request, status=answer.status, events=events
            )
            results[answer.status] += 1
            if answer.status == 200 and events < EVENTS:
                record.rule_broken("ORDER: complete too early", request=request, events=events)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        record.write("broken off", request=request, error=type(error).__name__)
        results["broken off"] += 1
        await asyncio.sleep(0.2)


async def _begin_fault(engines: list[Engine], record: Record) -> None:
    """Make the two busiest engines of four faulty."""
    await asyncio.sleep(FAULT_AT_SECONDS)
    for engine in sorted(engines, key=lambda item: item.answers)[-2:]:
        engine.faulty = TROUBLE
        record.write("fault begins" if TROUBLE else "no fault", engine=engine.name)


async def main(record: Record) -> None:
    loop = asyncio.get_running_loop()
    servers, entries, engines = [], {}, []
    for number in range(1, 5):
        engine = Engine(f"i-e0{number:06x}", record)
        engines.append(engine)
        server, address = await serve(engine.handle)
        servers.append(server)
        entries[engine.name] = entry("llm", address, "hall-petrol", 128)
    world = World(["hall-petrol", "hall-petrol"])
    results: Counter = Counter()
    try:
        await world.start(configuration(), entries)
        end_at = loop.time() + RUN_SECONDS

        async def caller(number: int) -> None:
            while loop.time() < end_at:
                await call(world, record, number % len(world.gateways), results)

        await asyncio.gather(
            *(caller(number) for number in range(CALLERS)), _begin_fault(engines, record)
        )
        record.write("results", **{str(name): count for name, count in results.items()})
    finally:
        await world.stop()
        for server in servers:
            server.close()


if __name__ == "__main__":
    run_case(main, str(Path(__file__).resolve().parent))
