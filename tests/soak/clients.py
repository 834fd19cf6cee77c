"""Simulated clients that reuse a connection until the process at its other end exits."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from node_world import HOST, KEY

from soak.ledger import CRASHING_KEY_PREFIX, Ledger
from soak.sent_calls import SILENT, Answer, SentCall
from soak.streams import last_event, versions_in

THINK_SECONDS = (0.0, 0.08)
MAX_RETRY_SECONDS = 0.5
PLAIN_DEADLINE = 2.0
STREAM_DEADLINE = 6.0
ABANDONED_SHARE = 0.04
HEAD_BYTES = 65_536
PARTS_HEADER = "X-Corkcrank-Prefix-Hash"
MAX_TAKE_UPS = 2
MIN_TAKE_UP_SECONDS = 1.0
"""A caller with less time left than this does not take its stream up."""

_call_ids = itertools.count(0x5000_0000)


@dataclass(frozen=True, slots=True)
class RouteUse:
    """How clients use a route; with ``stages``, calls include pieces for both stages."""

    name: str
    weight: float
    repeatable: bool
    streamed: bool = False
    stages: bool = False


class Connection:
    """A connection to a node that carries one call at a time."""

    def __init__(
        self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.node = node
        self.usable = True
        self._reader = reader
        self._writer = writer

    def has_unexpected_bytes(self) -> bool:
        """Return whether bytes arrived while no call was in progress."""
        buffered: bytearray = self._reader._buffer  # type: ignore[attr-defined]
        return len(buffered) > 0

    @property
    def ended(self) -> bool:
        """Return whether the node has closed the connection."""
        return self._reader.at_eof() or self._reader.exception() is not None

    def close(self) -> None:
        """Abort the connection."""
        self.usable = False
        self._writer.transport.abort()

    async def exchange(self, call: SentCall) -> Answer:
        """Send a call and read the response; an error is recorded in ``Answer.trouble``."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in call.headers.items())
        head = f"{call.method} {call.target} HTTP/1.1\r\nHost: {HOST}\r\n{lines}"
        data = f"{head}Content-Length: {len(call.body)}\r\n\r\n".encode() + call.body
        answer = Answer(0, {}, b"", False, 0.0)
        call.client = self._writer.get_extra_info("sockname")
        try:
            async with asyncio.timeout(call.deadline + 1.0):
                self._writer.write(data)
                await self._writer.drain()
                await self._read(answer)
        except TimeoutError:
            answer.trouble = SILENT
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            answer.trouble = type(error).__name__
            answer.body += self._take_partial(error)
        answer.at = time.monotonic()
        self.usable = answer.complete and answer.headers.get("connection", "").lower() != "close"
        return answer

    def _take_partial(self, error: Exception) -> bytes:
        """Return the bytes that arrived before an error: of a head, or of a body's part."""
        if isinstance(error, asyncio.IncompleteReadError):
            return error.partial
        return bytes(self._reader._buffer)  # type: ignore[attr-defined]

    async def _read(self, answer: Answer) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        pairs = (line.partition(":") for line in head[1:] if line)
        answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            await self._read_chunks(answer)
        elif "content-length" in answer.headers:
            answer.body = await self._reader.readexactly(int(answer.headers["content-length"]))
        else:
            answer.body = await self._reader.read()
        answer.complete = True

    async def _read_chunks(self, answer: Answer) -> None:
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
            answer.body += (await self._reader.readexactly(size + 2))[:-2]
            if size == 0:
                return


class Clients:
    """The clients of a soak; each sends its calls sequentially."""

    def __init__(
        self,
        ledger: Ledger,
        routes: Sequence[RouteUse],
        choose_node: Callable[[], tuple[str, str] | None],
        source: random.Random,
    ) -> None:
        self._ledger = ledger
        self._routes = routes
        self._choose_node = choose_node
        self._source = source
        self.on_stream: Callable[[SentCall, Answer], None] = lambda call, answer: None
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, count: int) -> None:
        """Start the given number of clients."""
        self._tasks = [asyncio.create_task(self._run_client()) for _ in range(count)]

    async def stop(self) -> None:
        """Stop the clients after their current calls complete."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def send_once(self, route: RouteUse) -> Answer | None:
        """Send one call over a new connection."""
        connection = await self._connect()
        if connection is None:
            return None
        answer = await self._exchange_recorded(connection, self.make_call(route, connection.node))
        connection.close()
        return answer

    async def send_large(self, route: RouteUse, size: int) -> None:
        """Send a call with a body of a number of bytes over a new connection."""
        connection = await self._connect()
        if connection is None:
            return
        call = self.make_call(route, connection.node)
        call.body = self._source.randbytes(1) * size
        answer = await self._exchange_recorded(connection, call)
        connection.close()
        await asyncio.sleep(min(float(answer.headers.get("retry-after", 0.0)), MAX_RETRY_SECONDS))

    async def send_crashing(self, route: RouteUse, target: str, body: bytes) -> None:
        """Send a worker-crashing request with a new call id over a new connection."""
        connection = await self._connect()
        if connection is None:
            return
        call = self.make_call(route, connection.node)
        call.target, call.body = target, body
        if call.pieces:
            call.headers["X-Corkcrank-Segment-Key"] = f"{CRASHING_KEY_PREFIX}{target}"
        await self._exchange_recorded(connection, call)
        connection.close()

    async def send_bad_part(self, route: RouteUse, part: str) -> None:
        """Send a request, unlike any other, whose prompt has a part that crashes engines."""
        connection = await self._connect()
        if connection is None:
            return
        call = self.make_call(route, connection.node)
        call.bad_part = part
        shared, own = call.headers[PARTS_HEADER].split(",")
        call.headers[PARTS_HEADER] = f"{shared},{part}:50,{own}"
        await self._exchange_recorded(connection, call)
        connection.close()

    def make_call(self, route: RouteUse, node: str) -> SentCall:
        """Return a new call for a route with a random body size and event count."""
        source = self._source
        call_id = f"{next(_call_ids):016x}"
        tokens = source.randrange(100, 2_000)
        headers = {
            "X-Corkcrank-Attempt-Id": call_id,
            "X-Corkcrank-Credential": KEY,
            "X-Corkcrank-Tenant": "forged",
        }
        call = SentCall(
            call_id=call_id,
            route=route.name,
            node=node,
            method="POST",
            target=f"/{route.name}/{source.randrange(99)}?x=%2f{source.randrange(9)}",
            headers=headers,
            body=source.randbytes(source.randrange(0, 3_000)),
            tenant="tenant",
            repeatable=route.repeatable,
            deadline=STREAM_DEADLINE if route.streamed else PLAIN_DEADLINE,
        )
        headers["X-Corkcrank-Deadline-Ms"] = str(int(call.deadline * 1000))
        if route.streamed:
            call.events = source.randrange(2, 25)
            headers["X-Corkcrank-Model"] = "m"
            headers["X-Corkcrank-Token-Count"] = f"{tokens},80"
            shared = source.randrange(6)
            headers[PARTS_HEADER] = f"aa{shared}:90,{call_id}:{tokens - 90}"
        if route.stages:
            call.pieces = (source.randrange(1, 4), source.randrange(1, 6))
            headers["X-Corkcrank-Segments"] = ",".join(map(str, call.pieces))
            headers["X-Corkcrank-Segment-Key"] = f"k{call_id}"
        return call

    async def _run_client(self) -> None:
        connection: Connection | None = None
        while not self._stopping:
            await asyncio.sleep(self._source.uniform(*THINK_SECONDS))
            if connection is None or not connection.usable or connection.ended:
                if connection is not None:
                    connection.close()
                connection = await self._connect()
            if connection is not None:
                await self._send_random_call(connection)
        if connection is not None:
            connection.close()

    async def _send_random_call(self, connection: Connection) -> None:
        if connection.has_unexpected_bytes():
            self._ledger.violate("whole", f"{connection.node} sent bytes that nobody asked for")
            connection.close()
            return
        weights = [route.weight for route in self._routes]
        (route,) = self._source.choices(self._routes, weights)
        call = self.make_call(route, connection.node)
        if self._source.random() < ABANDONED_SHARE:
            await self._abandon(connection, call)
            return
        answer = await self._exchange_recorded(connection, call)
        if route.streamed and route.repeatable:
            await self._take_up(call, answer)
        wait = float(answer.headers.get("retry-after", 0.0)) if answer.status == 503 else 0.0
        await asyncio.sleep(min(wait, MAX_RETRY_SECONDS))

    async def _take_up(self, call: SentCall, answer: Answer) -> None:
        """Take a stream up that broke off, at other nodes, as long as its deadline allows."""
        for _ in range(MAX_TAKE_UPS):
            position = max(call.resume_after, last_event(answer.body))
            version = call.version or next(iter(versions_in(answer.body)), "")
            left = call.due_at - time.monotonic()
            if answer.complete and answer.status == 200:
                return
            if not position or left < MIN_TAKE_UP_SECONDS:
                return
            connection = await self._connect()
            if connection is None:
                return
            call = _resumed_call(call, connection.node, position, version, left)
            answer = await self._exchange_recorded(connection, call)
            connection.close()

    async def _exchange_recorded(self, connection: Connection, call: SentCall) -> Answer:
        self._ledger.record_sent(call)
        answer = await connection.exchange(call)
        self._ledger.record_answer(call, answer)
        if call.events and call.repeatable:
            self.on_stream(call, answer)
        return answer

    async def _abandon(self, connection: Connection, call: SentCall) -> None:
        """Send a call and close the connection after at most 0.2 s."""
        self._ledger.record_sent(call)
        sending = asyncio.create_task(connection.exchange(call))
        await asyncio.wait({sending}, timeout=self._source.uniform(0.0, 0.2))
        connection.close()
        await sending

    async def _connect(self) -> Connection | None:
        chosen = self._choose_node()
        if chosen is None:
            await asyncio.sleep(0.05)
            return None
        node, address = chosen
        host, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port), limit=HEAD_BYTES)
        except (OSError, TimeoutError):
            return None
        return Connection(node, reader, writer)


def _resumed_call(
    call: SentCall, node: str, position: int, version: str, seconds: float
) -> SentCall:
    """Return the next attempt of a caller whose stream broke off after an event."""
    call_id = f"{next(_call_ids):016x}"
    headers = {
        **call.headers,
        "X-Corkcrank-Attempt-Id": call_id,
        "X-Corkcrank-Deadline-Ms": str(int(seconds * 1000)),
        "Last-Event-Id": str(position),
        "Resumes": call.stream_id,
    }
    return replace(
        call,
        call_id=call_id,
        node=node,
        headers=headers,
        deadline=seconds,
        resume_after=position,
        version=version,
        runs=[],
        answer=None,
        stage_runs=0,
        work_ends_at=None,
        client=None,
    )
