"""Runs a whole deployment on one machine: daemons and stand-ins, each its own process.

The daemons start no process; this tool does, for demonstrations and tests.
"""

import asyncio
import signal
import socket
import subprocess
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeVar

import aiohttp
import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.identifiers import Address
from corkcrank.contracts.messages import WorkerEntry
from corkcrank.contracts.plans import ConfirmAnswer, Intent, PlanView, ReplaceConfiguration
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.settings import PolicySettings
from corkcrank.load.cuttable_link import CuttableLink
from corkcrank.load.deployment import Deployment
from corkcrank.load.loopback import loopback_address
from corkcrank.load.process_group import ProcessGroup
from corkcrank.standins.faults import FIRST_BOOT, Faults

START_SECONDS = 30.0
"""Maximum wait for a deployment to become ready."""

POLL_SECONDS = 0.05
"""Interval between checks of a condition."""

CLUSTER_HOST = 254
"""Host number of the loopback address of a cluster."""

PROGRAMS = {
    "gateway": "corkcrank.gateway.program",
    "controller": "corkcrank.controller.program",
    "standin": "corkcrank.standins.program",
}

_BodyT = TypeVar("_BodyT")


@dataclass(slots=True)
class LocalProcess:
    """One process of the cluster."""

    name: str
    program: str
    caller_address: Address
    peer_address: Address
    popen: subprocess.Popen[bytes]


class PortSource:
    """Allocates free loopback ports; keeps each one bound until all have been chosen."""

    def __init__(self) -> None:
        self._host = loopback_address(CLUSTER_HOST)
        self._sockets: list[socket.socket] = []

    def address(self) -> Address:
        """Return a loopback address that nothing listens on."""
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((self._host, 0))
        self._sockets.append(bound)
        return Address(f"{self._host}:{bound.getsockname()[1]}")

    def release(self) -> None:
        """Close the sockets, so that the processes can bind the ports."""
        for bound in self._sockets:
            bound.close()
        self._sockets.clear()


class LocalCluster:
    """A deployment's processes, with the faults that tests need.

    ``cuttable`` names the daemons that reach the table over a separate link, for cutting.
    """

    def __init__(
        self,
        deployment: Deployment,
        cuttable: Sequence[str] = (),
        policies: PolicySettings | None = None,
    ) -> None:
        self.deployment = deployment
        self._policies = policies or PolicySettings()
        self.table_links: dict[str, CuttableLink] = {}
        self.processes: dict[str, LocalProcess] = {}
        self.worker_addresses: dict[str, Address] = {}
        self._group = ProcessGroup()
        ports = PortSource()
        self.table = ports.address()
        self.machine_list = ports.address()
        self.weight_store = ports.address()
        self.object_store = ports.address()
        for name in cuttable:
            self.table_links[name] = CuttableLink(ports.address(), self.table)
        self._plan_ports(ports)
        ports.release()
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "LocalCluster":
        """Start every process, confirm the configuration, and wait until all serve."""
        # Unlimited connections, so that callers do not wait for each other in the load tool.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=10.0)
        )
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop all processes of the cluster."""
        for link in self.table_links.values():
            await link.stop()
        if self._session is not None:
            await self._session.close()
        self._group.close()

    def gateways(self) -> list[LocalProcess]:
        """Return the gateways, started or not."""
        return [item for item in self.processes.values() if item.program == "gateway"]

    def controllers(self) -> list[LocalProcess]:
        """Return the controllers, started or not."""
        return [item for item in self.processes.values() if item.program == "controller"]

    def start_process(self, name: str) -> LocalProcess:
        """Start a process, also after it has exited."""
        program = name.split("-", 1)[0]
        self._group.start(name, _run_line(program), self._settings[name])
        addresses = self._addresses.get(name, (Address(""), Address("")))
        process = LocalProcess(name, program, *addresses, self._group.processes[name])
        self.processes[name] = process
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._group.signal(name, number)

    async def wait_ended(self, name: str, timeout: float = 30.0) -> int:
        """Wait until a process has exited, and return its exit status."""
        popen = self.processes[name].popen
        await self.wait_until(lambda: popen.poll() is not None, timeout)
        return popen.wait()

    def log_text(self, name: str) -> str:
        """Return the log of a process."""
        return self._group.log_text(name)

    async def wait_until(self, condition: Callable[[], bool], timeout: float) -> None:
        """Wait until a condition holds; raises ``TimeoutError``."""
        give_up_at = clock.now() + timeout
        while not condition():
            if clock.now() > give_up_at:
                raise TimeoutError("the condition did not come about")
            await asyncio.sleep(POLL_SECONDS)

    async def set_faults(self, address: Address, **faults: Any) -> None:
        """Replace the active faults of a stand-in; without arguments, switch all faults off."""
        body = msgspec.json.encode(Faults(**faults))
        async with self.session.post(f"http://{address}/faults", data=body) as response:
            response.raise_for_status()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session for tests and tools."""
        assert self._session is not None
        return self._session

    async def get(self, address: Address, path: str, body_type: type[_BodyT]) -> _BodyT:
        """Read and decode a JSON document."""
        async with self.session.get(f"http://{address}{path}") as response:
            return msgspec.json.decode(await response.read(), type=body_type)

    async def draw_plan(self, intent: Intent, controller: int = 0) -> PlanView:
        """Request a plan from a controller."""
        url = f"http://{self.controllers()[controller].peer_address}/operator/plans"
        async with self.session.post(url, data=msgspec.json.encode(intent)) as response:
            response.raise_for_status()
            return msgspec.json.decode(await response.read(), type=PlanView)

    async def confirm_plan(self, plan_id: str, controller: int = 0) -> ConfirmAnswer:
        """Confirm a plan at a controller."""
        address = self.controllers()[controller].peer_address
        url = f"http://{address}/operator/plans/{plan_id}/confirm"
        async with self.session.post(url) as response:
            return msgspec.json.decode(await response.read(), type=ConfirmAnswer)

    async def apply(self, intent: Intent) -> int:
        """Draw and confirm a plan; return the version now committed.

        A controller whose table does not answer says that nothing changed: it is asked again.
        """
        give_up_at = clock.now() + START_SECONDS
        while clock.now() < give_up_at:
            try:
                plan = await self.draw_plan(intent)
            except aiohttp.ClientResponseError as error:
                if error.status != HTTPStatus.SERVICE_UNAVAILABLE:
                    raise
                await asyncio.sleep(POLL_SECONDS)
                continue
            answer = await self.confirm_plan(plan.plan_id)
            if answer.code != ResultCode.TABLE_UNAVAILABLE.number:
                return answer.version
        raise TimeoutError("the table did not answer")

    async def wait_ready(self, names: list[str], timeout: float = START_SECONDS) -> None:
        """Wait until gateways admit requests."""
        give_up_at = clock.now() + timeout
        for name in names:
            while not await self._is_ready(self.processes[name].caller_address):
                if clock.now() > give_up_at:
                    raise TimeoutError(f"{name} is not ready:\n{self.log_text(name)[-2000:]}")
                await asyncio.sleep(POLL_SECONDS)

    async def _is_ready(self, address: Address) -> bool:
        return await self._answers(f"http://{address}/readyz")

    async def _answers(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def _start(self) -> None:
        for link in self.table_links.values():
            await link.start()
        for name in sorted(self._settings, key=lambda item: not item.startswith("standin")):
            self.start_process(name)
        await self._wait_answering(f"http://{self.controllers()[0].peer_address}/operator/status")
        await self._wait_answering(f"http://{self.machine_list}/machines")
        await self._wait_answering(f"http://{self.table}/counters")
        # The machine list names back ends before they listen; calls to them would be refused.
        for worker in self.worker_addresses.values():
            await self._wait_answering(f"http://{worker}/v1/load")
        await self.apply(ReplaceConfiguration(self.deployment.configuration()))
        await self.wait_ready([item.name for item in self.gateways()])
        await self._wait_workers_known()

    async def _wait_answering(self, url: str) -> None:
        give_up_at = clock.now() + START_SECONDS
        while not await self._answers(url):
            if clock.now() > give_up_at:
                raise TimeoutError(f"no answer from {url}")
            await asyncio.sleep(POLL_SECONDS)

    async def _wait_workers_known(self) -> None:
        give_up_at = clock.now() + START_SECONDS
        for gateway in self.gateways():
            while not await self._knows_workers(gateway.peer_address):
                if clock.now() > give_up_at:
                    raise TimeoutError(f"{gateway.name} does not know the back ends")
                await asyncio.sleep(POLL_SECONDS)

    async def _knows_workers(self, address: Address) -> bool:
        dump = await self.get(address, "/dump", _WorkersInDump)
        return len(dump.workers) >= len(self.worker_addresses)

    def _plan_ports(self, ports: PortSource) -> None:
        self._addresses: dict[str, tuple[Address, Address]] = {}
        self._settings: dict[str, dict[str, Any]] = {}
        listed: list[WorkerEntry] = []
        for service in self.deployment.services:
            listed += self._plan_service(service.name, ports)
        self._settings["standin-platform"] = {
            "table": self.table,
            "machine_list": self.machine_list,
            "object_store": self.object_store,
            "writes_per_second": self.deployment.writes_per_second,
            "list_lag_seconds": self.deployment.list_lag_seconds,
            "listed": [msgspec.to_builtins(entry) for entry in listed],
        }
        self._settings["standin-weights"] = {"weight_store": self.weight_store}
        for number in range(self.deployment.machines):
            self._addresses[f"gateway-{number}"] = (ports.address(), ports.address())
            self._addresses[f"controller-{number}"] = (Address(""), ports.address())
        for name in self._addresses:
            self._settings[name] = self._daemon_settings(name)

    def _plan_service(self, name: str, ports: PortSource) -> list[WorkerEntry]:
        service = next(item for item in self.deployment.services if item.name == name)
        rows = []
        entries = []
        for number, worker in enumerate(service.worker_ids()):
            address = ports.address()
            zone = self.deployment.zone_of(number)
            self.worker_addresses[worker] = address
            entries.append(WorkerEntry(worker, service.name, zone, address, boot=FIRST_BOOT))
            rows.append(
                {
                    "worker": worker,
                    "service": service.name,
                    "kind": str(service.kind),
                    "zone": zone,
                    "address": address,
                    "slots": service.slots,
                    "service_seconds": service.service_seconds,
                    "models": list(service.models),
                    "checks_fence": service.checks_fence,
                }
            )
        self._settings[f"standin-{name}"] = {"weight_store": self.weight_store, "workers": rows}
        return entries

    def _daemon_settings(self, name: str) -> dict[str, Any]:
        number = int(name.rsplit("-", 1)[1])
        caller, peer = self._addresses[name]
        process = {
            "name": name,
            "zone": self.deployment.zone_of(number),
            "peer_address": peer,
        }
        if caller:
            process["caller_address"] = caller
        seeds = [address[1] for other, address in self._addresses.items() if other != name]
        link = self.table_links.get(name)
        table = link.address if link else self.table
        return {
            "process": process,
            "platform": {"table": table, "machine_list": self.machine_list},
            "peers": {"seeds": seeds[:6]},
            "limits": {"drain_linger_seconds": self.deployment.drain_linger_seconds},
            "policies": msgspec.to_builtins(self._policies),
        }


class _WorkersInDump(msgspec.Struct):
    workers: list[Any]


def _run_line(program: str) -> str:
    return f"from {PROGRAMS[program]} import main; main()"
