"""An engine spoils some answers with bytes that are no events; what becomes of other requests?"""

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import (
    HOST,
    KEY,
    TROUBLE,
    Gateway,
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

RUN_SECONDS, FAULT_AT_SECONDS = 45.0, 5.0
STREAM_CALLERS, ORDER_CALLERS = 4, 10
"""Callers at each gateway."""

EVENTS, GAP_SECONDS = 12, 0.02
SPOILED_SHARE = 0.02
"""Largest share of the faulty engine's answers that are spoiled."""

WRONG_CHUNK, WRONG_PAUSE_SECONDS = b"x" * 1_000_000, 0.02
"""Wrong bytes at 50 MB/s, less than half of what the gateway's link of 1,000 Mbit/s carries."""

MEMORY_MB = 300
RESTART_SECONDS = 0.5
WORK_SECONDS = 0.06
SLOTS = 6
MAX_LOST = 3

reached: set[str] = set()
"""Orders that a worker has begun to run."""


class Worker:
    """A sound worker that runs orders."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self._slots = asyncio.Semaphore(SLOTS)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self._answer(request[2]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, headers: dict) -> bytes:
        request = headers.get("x-corkcrank-attempt-id", "")
        told = {"X_Corkcrank_Attempt_Id": request, "X_Corkcrank_Instance_Id": self.name}
        if headers.get("x-corkcrank-expect-instance") not in (None, self.name):
            return http_answer(421, **told)
        async with self._slots:
            reached.add(request)
            self.record.write("worker runs", worker=self.name, request=request)
            await asyncio.sleep(WORK_SECONDS)
        return http_answer(200, b"ok" * 400, X_Corkcrank_Server_Seal=f"seal.{self.name}", **told)


class Engine:
    """A model worker that streams twelve events; a faulty one spoils a share of its answers."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.faulty = False
        self.answers = self._spoiled = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(writer, *request[1:3])
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, writer: asyncio.StreamWriter, path: str, headers: dict) -> None:
        if headers.get("x-corkcrank-expect-instance") not in (None, self.name):
            writer.write(http_answer(421, X_Corkcrank_Instance_Id=self.name))
            return
        if path == "/report":
            report = {"queued": 0, "active": 0, "kv_used": 0, "kv_total": 244943}
            writer.write(http_answer(200, json.dumps(report).encode()))
            return
        self.answers += 1
        request = headers["x-corkcrank-attempt-id"]
        after = int(headers.get("last-event-id") or 0)
        spoiled = self.faulty and self._spoiled < int(SPOILED_SHARE * self.answers)
        self._spoiled += spoiled
        self.record.write("engine runs", engine=self.name, request=request, spoiled=spoiled)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Corkcrank-Attempt-Id: {request}\r\nX-Corkcrank-Server-Seal: seal.{self.name}\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(after + 1, EVENTS + 1):
            await _write_chunk(writer, f"id: {number}\ndata: {request}\n\n".encode())
            await asyncio.sleep(GAP_SECONDS)
            while spoiled:
                await _write_chunk(writer, WRONG_CHUNK)
                await asyncio.sleep(WRONG_PAUSE_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
    await writer.drain()


class Platform:
    """The platform's limit of memory: it kills a process above it, and starts it again."""

    def __init__(self, world: World, record: Record) -> None:
        self.world = world
        self.record = record
        self.kills = 0
        self.peak_mb = 0.0

    async def watch(self) -> None:
        """Watch every gateway until cancelled."""
        await asyncio.gather(*(self._watch(gateway) for gateway in self.world.gateways))

    async def _watch(self, gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(0.02)
            used = _resident_mb(gateway)
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self.kills += 1
                self.record.write("killed for memory", gateway=gateway.name, mb=round(used, 1))
                gateway.end()
                await asyncio.sleep(RESTART_SECONDS)
                gateway.start()


def _resident_mb(gateway: Gateway) -> float:
    try:
        with open(f"/proc/{gateway.process.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * 4096 / 2**20
    except (OSError, IndexError):
        return 0.0


def configuration() -> dict:
    """Return a configuration with a streamed route and an unsafe one."""
    common = {"hostname": HOST, "priority": 2, "anonymous": False}
    stream = {
        **common,
        "name": "r-1",
        "path_prefix": "/guide/",
        "route_type": "stream",
        "timeout_ms": 15000,
        "target_latency_ms": 2700,
        "service": "llm",
        "max_attempts": 2,
        "session_affinity": True,
        "stream_resume": True,
        "target_gap_ms": 500,
    }
    orders = {
        **common,
        "name": "r-2",
        "path_prefix": "/orders/",
        "route_type": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "service": "despacho",
        "max_attempts": 1,
    }
    engine = {"slots": 128, "kv_capacity": 244943, "models": [{"name": "m"}]}
    services = [
        {"name": "llm", "health_path": "/healthz", "max_connections": 500, "engine": engine},
        {"name": "despacho", "health_path": "/healthz", "max_connections": 51},
    ]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    tenants = [{"name": "bozi300", "api_keys": [KEY], "priority": 1}]
    return {
        "version": 1,
        "routes": [stream, orders],
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


class OrderCaller:
    """A caller that keeps its connection and sends one order after the other."""

    def __init__(self, gateway: Gateway, record: Record, results: Counter) -> None:
        self.gateway = gateway
        self.record = record
        self.results = results

    async def run(self, end_at: float) -> None:
        """Send orders until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            try:
                await self._use_connection(end_at)
            except (OSError, TimeoutError):
                self.results["no connection"] += 1
                await asyncio.sleep(0.5)

    async def _use_connection(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        host, port = self.gateway.caller_address.rsplit(":", 1)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        number = 0
        try:
            while loop.time() < end_at:
                number += 1
                request = attempt_id()
                self.record.write("sent", request=request, gateway=self.gateway.name)
                outcome = await self._exchange(reader, writer, request)
                self.record.write("ended", request=request, outcome=outcome, kept=number > 1)
                self.results[outcome] += 1
                if outcome == "closed without an answer":
                    if number > 1 and request in reached:
                        self.results["lost"] += 1
                    return
                await asyncio.sleep(0.05)
        finally:
            writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: str
    ) -> str:
        head = [
            "POST /orders/a HTTP/1.1",
            f"Host: {HOST}",
            f"X-Corkcrank-Attempt-Id: {request}",
            f"X-Corkcrank-Credential: {KEY}",
            "X-Corkcrank-Deadline-Ms: 3000",
            "Content-Length: 2",
        ]
        try:
            writer.write("\r\n".join([*head, "", "{}"]).encode())
            answer = await reader.readuntil(b"\r\n\r\n")
            lines = answer.decode("latin-1").lower().split("\r\n")
            length = next(line for line in lines if line.startswith("content-length:"))
            await reader.readexactly(int(length.split(":")[1]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return "closed without an answer"
        return "order " + lines[0].split(" ")[1]


async def stream(world: World, record: Record, gateway: Gateway, results: Counter) -> None:
    """Send one streamed request on a new connection and record its end."""
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
    url = f"http://{gateway.caller_address}/guide/a"
    timeout = aiohttp.ClientTimeout(total=16.0)
    record.write("sent", request=request, gateway=gateway.name)
    try:
        async with world.session.post(url, headers=headers, data=b"{}", timeout=timeout) as answer:
            body = await answer.read()
            record.write("answered", request=request, status=answer.status, size=len(body))
            results[f"stream {answer.status}"] += 1
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        record.write("no whole answer", request=request, error=type(error).__name__)
        results["stream without a whole answer"] += 1
        await asyncio.sleep(0.3)


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
    for number in range(1, 5):
        worker = Worker(f"i-de{number:06x}", record)
        server, address = await serve(worker.handle)
        servers.append(server)
        entries[worker.name] = entry("despacho", address, "hall-petrol", SLOTS)
    world = World(["hall-petrol", "hall-petrol"])
    results: Counter = Counter()
    platform = Platform(world, record)
    try:
        await world.start(configuration(), entries)
        watching = asyncio.create_task(platform.watch())
        end_at = loop.time() + RUN_SECONDS

        async def stream_caller(gateway: Gateway) -> None:
            while loop.time() < end_at:
                await stream(world, record, gateway, results)

        callers = [
            stream_caller(gateway) for gateway in world.gateways for _ in range(STREAM_CALLERS)
        ]
        callers += [
            OrderCaller(gateway, record, results).run(end_at)
            for gateway in world.gateways
            for _ in range(ORDER_CALLERS)
        ]
        await asyncio.gather(*callers, _begin_fault(engines, record))
        watching.cancel()
        record.write("results", kills=platform.kills, peak_mb=round(platform.peak_mb, 1))
        record.write("outcomes", **{name.replace(" ", "-"): n for name, n in results.items()})
        if results["lost"] > MAX_LOST:
            record.rule_broken("LOST: closed without an answer", lost=results["lost"])
    finally:
        await world.stop()
        for server in servers:
            server.close()


if __name__ == "__main__":
    run_case(main, str(Path(__file__).resolve().parent))
