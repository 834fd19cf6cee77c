"""Defines a request to a worker, its failures and its relay by members."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Protocol

import aiohttp

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import HeaderList
from corkcrank.links.sliced_body import SlicedBody, request_body


class SendTrouble(StrEnum):
    """The failure of a request without a response."""

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

    ``stalled`` is set if the event loop was delayed at the connect timeout, so that the failure is
    no evidence on the worker.
    """

    trouble: SendTrouble
    detail: str
    stalled: bool = False

    @property
    def connected(self) -> bool:
        """Return whether a connection to the worker may have been ready."""
        return self.trouble not in (SendTrouble.NOT_SENT, SendTrouble.REFUSED)

    def without_verdict(self) -> "SendFailure":
        """Return a connect failure that is not evidence of an exited worker process."""
        return replace(self, trouble=SendTrouble.NOT_SENT)


SILENT_FAILURE = SendFailure(SendTrouble.SILENT, "no answer in time")
"""The failure of a request to a worker that was silent for too long."""


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request to a worker; ``target`` and ``headers`` are sent unchanged.

    ``seconds`` is the time until the exchange must end. ``fresh`` requires a new connection.
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

    @property
    def payload(self) -> bytes | SlicedBody | None:
        """Return the body for the HTTP client, ``None`` if the method needs none."""
        has_body = bool(self.body) or self.method not in ("GET", "HEAD")
        return request_body(self.body) if has_body else None


SendResult = aiohttp.ClientResponse | SendFailure


@dataclass(frozen=True, slots=True)
class MemberSearch:
    """The result of a search for a ``member`` that reaches a worker, ``None`` without one.

    ``complete`` is set if each probed member has answered. Otherwise a late member may reach the
    worker, so the search is no evidence of an exit. ``denied`` is set if some member answered in
    time that it does not reach the worker.
    """

    member: str | None = None
    complete: bool = True
    denied: bool = False

    def joined(self, answer: "MemberSearch") -> "MemberSearch":
        """Return this result combined with the answer of one more member."""
        if answer.member is not None:
            return MemberSearch(answer.member)
        return MemberSearch(
            complete=self.complete and answer.complete, denied=self.denied or answer.denied
        )


class RequestRelay(Protocol):
    """Sends requests through members that reach a worker which this gateway cannot reach."""

    @property
    def available(self) -> bool:
        """Return whether any member can relay requests."""

    async def find_member(self, worker: WorkerRecord) -> MemberSearch:
        """Search for a member that can connect to a worker."""

    async def send(self, request: WorkerRequest) -> SendResult | None:
        """Send a request through a member; ``None`` if none accepts it and nothing was sent."""


class NoRelay:
    """A relay without members."""

    available = False

    async def find_member(self, worker: WorkerRecord) -> MemberSearch:
        """Return a search result without a member."""
        return MemberSearch()

    async def send(self, request: WorkerRequest) -> SendResult | None:
        """Return ``None``."""
        return None
