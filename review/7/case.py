"""Streams of an engine that went dark are held past their route's timeout."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from world import (  # noqa: E402
    HOST,
    KEY,
    SEAL,
    Gateways,
    Headers,
    Record,
    Store,
    Worker,
    attempt_id,
    configuration,
    engine_service,
    loopback,
    message,
    read_head,
    run_case,
)

ZONES = ["hall-petrol", "hall-juaz"]
ENGINES = 4
EVENTS, GAP = 70, 0.05
TIMEOUT, DEADLINE = 5.0, 15.0
STREAMS_PER_SECOND, SECONDS = 23.0, 6.0
DARK_AT = 4.0
SLACK = 0.5


class Engine(Worker):
    """A model worker that streams events; ``dark`` stops it for good, without a reset."""

    dark = False
    runs = 0

    async def serve(self, method, target, headers, body, reader, writer):  # type: ignore[no-untyped-def]
        """Answer a report or a stream."""
        await self.silence()
        if refused := self.misdirected(headers):
            writer.write(refused)
            return True
        if target == "/report":
            report = {"stage": "both", "queued": 0, "active": self.active, "handles": 0}
            writer.write(
                message(
                    "HTTP/1.1 200 OK",
                    {"Content-Type": "application/json"},
                    json.dumps(report).encode(),
                )
            )
            return True
        self.active += 1
        self.runs += 1
        try:
            return await self.stream(headers, writer)
        finally:
            self.active -= 1

    async def silence(self) -> None:
        """Never return if the machine is dark."""
        if self.dark:
            await asyncio.Event().wait()

    async def stream(self, headers: Headers, writer: asyncio.StreamWriter) -> bool:
        """Send the events that the client lacks."""
        head = self.head(headers, **{SEAL: f"seal.{self.worker_id}"})
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        await asyncio.sleep(0.06)
        await self.silence()
        writer.write("\r\n".join(lines).encode())
        for number in range(int(headers.get("Last-Event-Id") or 0) + 1, EVENTS + 1):
            await self.silence()
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(GAP)
        await self.silence()
        writer.write(b"0\r\n\r\n")
        return True


class Outcome:
    """What a client saw of one stream."""

    def __init__(self) -> None:
        self.sent = 0.0
        self.ended: float | None = None
        self.how = "open"


async def call(address: tuple[str, int], outcome: Outcome, record: Record) -> None:
    """Send one stream request, and read its answer to the end."""
    name = attempt_id()
    lines = [
        "POST /cabine/guia HTTP/1.1",
        f"Host: {HOST}",
        f"X-Corkcrank-Attempt-Id: {name}",
        "X-Corkcrank-Model: m",
        f"X-Corkcrank-Token-Count: 2700,{EVENTS * 3}",
        f"X-Corkcrank-Prefix-Hash: 5c1e07a2:2520,{name}:180",
        f"X-Corkcrank-Deadline-Ms: {int(DEADLINE * 1000)}",
        f"X-Corkcrank-Credential: {KEY}",
        "Content-Length: 1400",
    ]
    reader, writer = await asyncio.open_connection(*address)
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"x" * 1400)
    outcome.sent = time.monotonic()
    record.write(f"{name} sent to {address[0]}")
    try:
        async with asyncio.timeout(DEADLINE):
            first, _ = await read_head(reader)
            outcome.how = first[1]
            if first[1] == "200":
                while size := int((await reader.readline()).strip() or b"x", 16):
                    await reader.readexactly(size + 2)
                outcome.how = "200 whole"
    except TimeoutError:
        outcome.how = "given up by the client"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        outcome.how = f"cut ({type(error).__name__})"
    outcome.ended = time.monotonic()
    record.write(f"{name} {outcome.how} after {outcome.ended - outcome.sent:.3f} s")
    writer.transport.abort()


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    store = Store(loopback(1))
    await store.start()
    engines = [
        Engine(loopback(10 + number), "llm", ZONES[number % 2], 128) for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
        store.put("servers", engine.worker_id, engine.entry())
    route = {
        "name": "cabine-guia",
        "hostname": HOST,
        "path_prefix": "/cabine/",
        "route_type": "stream",
        "timeout_ms": int(TIMEOUT * 1000),
        "target_latency_ms": 2700,
        "priority": 2,
        "service": "llm",
        "max_attempts": 2,
        "anonymous": False,
        "session_affinity": True,
        "stream_resume": True,
        "target_gap_ms": 500,
    }
    store.put("op", "config", configuration(1, [route], [engine_service("llm")]))
    gateways = Gateways(store.address, 40, ZONES, folder)
    try:
        for number in range(len(ZONES)):
            gateways.start(number)
        for number in range(len(ZONES)):
            await gateways.ready(number)
        await asyncio.sleep(2.0)
        outcomes = await play(gateways, engines, record, trouble)
    finally:
        gateways.close()
    for outcome in outcomes:
        if outcome.how in ("open", "given up by the client"):
            outcome.ended = None
    late = [item for item in outcomes if lasts(item, TIMEOUT + SLACK)]
    outlasted = [item for item in outcomes if lasts(item, TIMEOUT)]
    record.write(f"runs {[engine.runs for engine in engines]}")
    record.write(
        f"{len(outcomes)} streams, {len(outlasted)} outlasted the route's timeout,"
        f" {len(late)} had no final answer {SLACK} s after it"
    )
    print(f"{len(outcomes)} streams, {len(outlasted)} outlasted, {len(late)} late")
    return len(late) >= 8 and 4 * len(late) > len(outlasted)


def lasts(outcome: Outcome, seconds: float) -> bool:
    """Return whether a request had no end a time after it was sent."""
    return outcome.ended is None or outcome.ended - outcome.sent > seconds


async def play(
    gateways: Gateways, engines: list[Engine], record: Record, trouble: bool
) -> list[Outcome]:
    """Send the streams, and make the busiest engine dark."""
    random_source, outcomes, tasks = random.Random(6), [], []
    started = time.monotonic()
    darkened = False
    at = 0.0
    while at < SECONDS:
        at += random_source.expovariate(STREAMS_PER_SECOND)
        await asyncio.sleep(max(0.0, started + at - time.monotonic()))
        if trouble and not darkened and at >= DARK_AT:
            darkened = True
            busiest = max(engines, key=lambda item: item.active)
            busiest.dark = True
            record.write(f"{busiest.worker_id} goes dark with {busiest.active} streams")
        outcome = Outcome()
        outcomes.append(outcome)
        address = gateways.caller(random_source.randrange(len(ZONES)))
        tasks.append(asyncio.create_task(call(address, outcome, record)))
    await asyncio.gather(*tasks)
    return outcomes


if __name__ == "__main__":
    run_case(case)
