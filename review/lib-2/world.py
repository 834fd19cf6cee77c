"""Stand-ins of the platform, of workers and of clients, and real gateway processes on loopback.

Every case of the second review uses this module. The stand-ins follow the users' protocol page.
Where the page is silent they behave like a sound platform, worker or client.
"""

import asyncio
import base64
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "calls.example"
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
SEAL = "X-Corkcrank-Server-Seal"
ATTEMPT = "X-Corkcrank-Attempt-Id"
NOT_RUN = "X-Corkcrank-Not-Executed"
INSTANCE = "X-Corkcrank-Instance-Id"
EXPECT = "X-Corkcrank-Expect-Instance"
LOAD = "X-Corkcrank-Server-Load"

_numbers = itertools.count(1)


def attempt_id() -> str:
    """Return a new id of a client's attempt."""
    return f"{os.getpid():06x}{next(_numbers):010x}"


def loopback(host: int) -> str:
    """Return a loopback address that belongs to this process id."""
    network, rest = divmod(os.getpid() % (254 * 256), 256)
    return f"127.{network + 1}.{rest}.{host}"


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write one line with the time of the case."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


class Headers(dict):
    """Headers with case-insensitive names."""

    def __getitem__(self, name: str) -> str:
        return super().__getitem__(name.lower())

    def get(self, name: str, default: str = "") -> str:
        """Return a header, or the default."""
        return super().get(name.lower(), default)

    def __contains__(self, name: object) -> bool:
        return super().__contains__(str(name).lower())


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], Headers]:
    """Return the words of the first line and the headers of a message."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = Headers()
    for line in raw[1:]:
        name, colon, value = line.partition(":")
        if colon:
            dict.__setitem__(headers, name.strip().lower(), value.strip())
    return raw[0].split(" ", 2), headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get("Content-Length", "0")))


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server on a loopback address; ``serve`` answers one request."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a free port, or on the given one."""
        self._server = await asyncio.start_server(self._connection, self.ip, port)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.serve(first[0], first[1], headers, body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: rows, a feed, and transactions."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.ver = 1
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[str, str, bytes | None, int]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.ver += 1
        self.rows[table, key] = (data, self.ver)
        self._record(table, key, data)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.ver += 1
        self.rows.pop((table, key), None)
        self._record(table, key, None)

    def _record(self, table: str, key: str, data: bytes | None) -> None:
        self.changes.append((table, key, data, self.ver))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, method, target, headers, body, reader, writer) -> bool:  # type: ignore[no-untyped-def]
        """Answer a call of a gateway."""
        path, _, text = target.partition("?")
        query = dict(item.partition("=")[::2] for item in text.split("&") if item)
        await asyncio.sleep(0.004)
        if path == "/rows-get":
            answer = self._get(query)
        elif path == "/rows-feed":
            answer = await self._feed(query)
        elif path == "/rows-tx":
            change = json.loads(body)
            for row in change["put"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in change["remove"]:
                self.remove(row["table"], row["key"])
            answer = {}
        else:
            writer.write(message("HTTP/1.1 404 Not Found", {}))
            return True
        answer |= {"ver": self.ver, "now_ms": time.monotonic() * 1000.0}
        head = {"Content-Type": "application/json"}
        writer.write(message("HTTP/1.1 200 OK", head, json.dumps(answer).encode()))
        return True

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        first, end = _unquote(query.get("source", "")), query.get("target_version")
        rows = [
            _row(query["table"], key, data, ver)
            for (table, key), (data, ver) in sorted(self.rows.items())
            if table == query["table"] and key >= first and (end is None or key < _unquote(end))
        ]
        return {"rows": rows[:500], "more": len(rows) > 500}

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        since, end = int(query["since_revision"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while not (rows := self._since(query["table"], since)) and time.monotonic() < end:
            try:
                async with asyncio.timeout(end - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                break
        return {"rows": rows}

    def _since(self, table: str, since: int) -> list[dict[str, object]]:
        return [
            _row(name, key, data, ver)
            for name, key, data, ver in self.changes
            if name == table and ver > since
        ]


def _unquote(text: str) -> str:
    return text.replace("%00", "\x00").replace("%2F", "/")


def _row(table: str, key: str, data: bytes | None, ver: int) -> dict[str, object]:
    row: dict[str, object] = {"table": table, "part": "", "key": key, "ver": ver}
    return row | ({"gone": True} if data is None else {"value": base64.b64encode(data).decode()})


class Worker(Server):
    """A worker with its entry in the store; ``dark`` makes its whole machine silent."""

    def __init__(self, ip: str, service: str, zone: str, slots: int, version: str = "v1") -> None:
        super().__init__(ip)
        self.worker_id = f"i-{next(_numbers):010x}"
        self.service, self.zone, self.slots, self.version = service, zone, slots, version
        self.active = 0
        self.state = "ready"

    def entry(self) -> dict[str, object]:
        """Return the entry that the worker keeps in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": 1,
        }

    def head(self, headers: Headers, **more: str) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            ATTEMPT: headers.get(ATTEMPT),
            INSTANCE: self.worker_id,
            LOAD: f"{self.active},0,{self.slots}",
            **more,
        }

    def misdirected(self, headers: Headers) -> bytes | None:
        """Return the answer to a request that names another worker, ``None`` for any other."""
        if headers.get(EXPECT) in ("", self.worker_id):
            return None
        return message("HTTP/1.1 421 Misdirected Request", {INSTANCE: self.worker_id})


class Gateways:
    """Gateway processes, started with the command of the deploy file."""

    def __init__(self, store: str, first_host: int, zones: list[str], folder: Path) -> None:
        self._folder = folder
        self._names = [f"edge-{zone}-{number}" for number, zone in enumerate(zones)]
        self._zones = zones
        self._store = store
        self.ips = [loopback(first_host + number) for number in range(len(zones))]
        self._port = 21000 + os.getpid() % 5000
        self.processes: dict[int, subprocess.Popen[bytes]] = {}

    def caller(self, number: int) -> tuple[str, int]:
        """Return the address for clients of a gateway."""
        return self.ips[number], self._port

    def start(self, number: int) -> None:
        """Start a gateway, also after its end."""
        ip, port = self.ips[number], self._port
        seeds = ", ".join(f'"{item}:{port + 2}"' for item in self.ips[:3])
        text = f"""
[process]
name = "{self._names[number]}"
zone = "{self._zones[number]}"
ip = "{ip}"
caller_address = "{ip}:{port}"
readiness_address = "{ip}:{port + 1}"
peer_ports = [{port + 2},{port + 3}]
metrics_port = {port + 4}

[store]
address = "{self._store}"

[peers]
seeds = [{seeds}]

[bounds]
grace = 8
leaving = 2000e-3
configuration = 2000e-3
retry_ratio = 0.2
retry_window = 10
retry_allowance = 56

[limits]
file_descriptors = 4100
memory_mb = 300
cpu_share = 0.537
cpu_speed = 2

[scheduling]
platform_features = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
"""
        path = self._folder / f"{self._names[number]}.toml"
        path.write_text(text, encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CORKCRANK_BOOT": str(path),
        }
        with (self._folder / f"{self._names[number]}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "corkcrank.node.program"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int, what: signal.Signals) -> None:
        """Send a signal to one gateway."""
        self.processes[number].send_signal(what)

    async def ready(self, number: int, seconds: float = 20.0) -> None:
        """Wait until a gateway answers its readiness check with 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.readiness(number) == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"gateway {number} is not ready")

    async def readiness(self, number: int) -> int:
        """Return the status of a readiness check, 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ips[number], self._port + 1)
                try:
                    writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    first, _ = await read_head(reader)
                    return int(first[1])
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    def log(self, number: int) -> str:
        """Return the log of a gateway."""
        return (self._folder / f"{self._names[number]}.log").read_text(encoding="utf-8")

    def close(self) -> None:
        """End every process that this object started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def engine_service(name: str, slots: int = 128) -> dict[str, object]:
    """Return a model service of a configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 500,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": slots,
            "kv_capacity": 244943,
            "kv_bytes": 131072,
            "models": [{"name": "m"}],
        },
    }


def configuration(
    version: int, routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Return a configuration like that of a small deployment."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def run_case(case) -> None:  # type: ignore[no-untyped-def]
    """Run ``case(folder, record, trouble)``; exit with 1, 0 or 2 as the review asks."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            broken = asyncio.run(_bounded(case(Path(temporary), record, trouble)))
    except Exception as error:  # noqa: BLE001
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    record.write("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)


async def _bounded(work):  # type: ignore[no-untyped-def]
    async with asyncio.timeout(110):
        return await work
