"""Starts gateways as the deploy file does, beside stand-ins of the store, workers and callers."""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "tests" / "platform")]

import aiohttp  # noqa: E402
from standin_store import StandinStore  # noqa: E402

from corkcrank.load.loopback import loopback_address  # noqa: E402

HOST = "calls.example"
KEY = "9dnn2ctnfzs989anu6ws"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 41, 42
"""Exit statuses of a case; ``run.sh`` tells 41 as 1, and every other failure as 2."""

_ids = itertools.count(1)
_run = os.urandom(4).hex()


def attempt_id() -> str:
    """Return a new id of an attempt of a caller."""
    return f"{_run}{next(_ids):08x}"


def free_port(ip: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()
        self.broken: list[str] = []

    def write(self, what: str, **fields: object) -> None:
        """Write one line with the seconds since the start."""
        at = time.monotonic() - self._started
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {what} {text}\n")
        self._file.flush()

    def rule_broken(self, what: str, **fields: object) -> None:
        """Record that the rule was broken."""
        self.broken.append(what)
        self.write("RULE BROKEN: " + what, **fields)


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, number: int, zone: str, peer_port: int, folder: Path) -> None:
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = loopback_address(number)
        self.peer_port = peer_port
        self.caller_address = f"{self.ip}:{free_port(self.ip)}"
        self.readiness_address = f"{self.ip}:{free_port(self.ip)}"
        self.metrics_port = free_port(self.ip)
        self.folder = folder
        self.process: subprocess.Popen | None = None

    def write_settings(self, store: str, seeds: list[str], bounds: dict, features: list) -> None:
        """Write the settings file, as the template of the deploy file lays it out."""
        lines = [
            "[process]",
            f'name = "{self.name}"',
            f'zone = "{self.zone}"',
            f'ip = "{self.ip}"',
            f'caller_address = "{self.caller_address}"',
            f'readiness_address = "{self.readiness_address}"',
            f"peer_ports = [{self.peer_port},{self.peer_port + 15}]",
            f"metrics_port = {self.metrics_port}",
            "[store]",
            f'address = "{store}"',
            "[peers]",
            f"seeds = {json.dumps(seeds)}",
            "[bounds]",
            *(f"{name} = {value}" for name, value in bounds.items()),
            "[limits]",
            "file_descriptors = 4100",
            "memory_mb = 300",
            "cpu_share = 0.537",
            "cpu_speed = 2",
            "[scheduling]",
            f"platform_features = {json.dumps(features)}",
        ]
        path = self.folder / f"{self.name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CORKCRANK_BOOT": str(self.folder / f"{self.name}.toml"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "corkcrank.node.program"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log_text(self) -> str:
        """Return the log of the process."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


BOUNDS = {
    "grace": 8,
    "leaving": "2000e-3",
    "configuration": "2000e-3",
    "retry_ratio": 0.2,
    "retry_window": 10,
    "retry_allowance": 56,
}
FEATURES = [
    "base", "drain", "config", "cost", "retry", "recover",
    "engine", "stream", "tenants", "platform", "stages",
]  # fmt: skip


class World:
    """The store and the gateways of one run."""

    def __init__(self, zones: list[str]) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="corkcrank-review-"))
        self.store = StandinStore()
        self.gateways: list[Gateway] = []
        self.zones = zones
        self.session: aiohttp.ClientSession | None = None

    async def start(self, configuration: dict, entries: dict[str, dict]) -> None:
        """Start the store with its rows, then the gateways, and wait until all are ready."""
        await self.store.server.start()
        for name, entry in entries.items():
            self.store.put("servers", name, entry)
        self.store.put("op", "config", configuration)
        peer_port = free_port("127.0.0.1") % 20000 + 10000
        self.gateways = [
            Gateway(number + 1, zone, peer_port, self.folder)
            for number, zone in enumerate(self.zones)
        ]
        seeds = [f"{gateway.ip}:{peer_port}" for gateway in self.gateways][:3]
        for gateway in self.gateways:
            gateway.write_settings(self.store.server.address, seeds, BOUNDS, FEATURES)
            gateway.start()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        give_up = time.monotonic() + 20
        for gateway in self.gateways:
            while not await self.is_ready(gateway):
                if time.monotonic() > give_up:
                    raise RuntimeError("a gateway is not ready: " + gateway.log_text()[-2000:])
                await asyncio.sleep(0.1)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Ask a gateway whether it is ready."""
        assert self.session is not None
        try:
            async with self.session.get(
                f"http://{gateway.readiness_address}/readyz",
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def stop(self) -> None:
        """End everything that this run started."""
        for gateway in self.gateways:
            gateway.end()
        if self.session is not None:
            await self.session.close()
        await self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def entry(service: str, address: str, zone: str, slots: int, **told: object) -> dict:
    """Return a worker's entry in the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
        **told,
    }


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict, bytes] | None:
    """Read one HTTP request; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


def http_answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of an HTTP answer with a length."""
    reasons = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def serve(handler, ip: str = "127.0.0.1") -> tuple[asyncio.Server, str]:
    """Serve connections on a free loopback port; return the server and its address."""
    server = await asyncio.start_server(handler, ip, 0)
    return server, "%s:%d" % server.sockets[0].getsockname()[:2]


def run_case(main, folder: str) -> None:
    """Run a case and exit with its result: 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(Path(folder))
    # A case that is told to end still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        asyncio.run(asyncio.wait_for(main(record), 115))
    except BaseException as error:  # noqa: BLE001
        record.write("could not run", error=repr(error))
        print("could not run:", repr(error))
        sys.exit(COULD_NOT_RUN)
    print("rule broken:" if record.broken else "rule held", len(record.broken) or "")
    sys.exit(BROKEN if record.broken else HELD)
