"""A request to a worker, and how it may travel there."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import aiohttp

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import HeaderList


class SendTrouble(StrEnum):
    """What is known about a request that got no response."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    """The worker's machine refused the connection: no process listens there."""
    WITHDRAWN = "withdrawn"
    """The request was no longer wanted when its connection was ready, so it was not written."""
    SILENT = "silent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SendFailure:
    """Why a request got no usable response.

    ``stalled`` is set if the event loop ran late at the connect timeout, so that the failure says
    nothing about the worker.
    """

    trouble: SendTrouble
    detail: str
    stalled: bool = False

    @property
    def connected(self) -> bool:
        """Return whether a connection to the worker was ready, as far as is known."""
        return self.trouble not in (SendTrouble.NOT_SENT, SendTrouble.REFUSED)


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request to a worker; ``target`` and ``headers`` are sent as they are.

    ``seconds`` is the time until the exchange must end. ``fresh`` asks for a new connection.
    ``still_wanted`` is called when the connection is ready; the request is not sent if it returns
    false. ``new_work`` is false for messages about earlier work. ``call_id`` is empty if the
    request belongs to no call.
    """

    worker: WorkerRecord
    method: str
    target: str
    headers: HeaderList
    body: bytes
    seconds: float
    fresh: bool = False
    still_wanted: Callable[[], bool] | None = None
    new_work: bool = True
    call_id: str = ""


SendResult = aiohttp.ClientResponse | SendFailure


class RequestRelay(Protocol):
    """Sends requests through gateways that reach a worker which this one does not reach."""

    @property
    def available(self) -> bool:
        """Return whether any member can relay requests."""

    async def find_member(self, worker: WorkerRecord) -> str | None:
        """Return the name of a member that can connect to a worker, ``None`` without one."""

    async def send(self, request: WorkerRequest) -> SendResult | None:
        """Send a request through a member; ``None`` if none takes it and nothing was sent."""


class NoRelay:
    """A relay without members."""

    available = False

    async def find_member(self, worker: WorkerRecord) -> str | None:
        """Return ``None``."""
        return None

    async def send(self, request: WorkerRequest) -> SendResult | None:
        """Return ``None``."""
        return None
