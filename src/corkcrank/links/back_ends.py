"""HTTP client for back ends.

A failed call returns how far it got: :class:`NotSent` only if no connection was made or the
back end refused the call, :class:`PossiblySent` for any later failure. Nothing here retries.
"""

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp.http_exceptions import LineTooLong

from corkcrank.contracts.messages import (
    GenerateCall,
    LoadReport,
    MachineList,
    ModelOrder,
    PlainAnswer,
    PlainCall,
    StageAnswer,
    StageCall,
    TokenChunk,
)
from corkcrank.links.client_connections import ClientConnector
from corkcrank.links.received_bytes import OversizedMessageError, Purpose, ReceivedBytes
from corkcrank.links.traffic import UNUSED_HEADERS, ControlTraffic

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout for opening a connection."""

POLL_TIMEOUT_SECONDS = 0.8
"""Timeout for reading a load report or the machine list."""

ORDER_TIMEOUT_SECONDS = 0.8
"""Timeout for an order; must stay below :data:`MAX_ORDER_FLIGHT_SECONDS` of leases."""

LOAD_REPORT_BYTES = 130
"""Assumed size of a load report in the count of control traffic."""

PLAIN_RESULT_TIMEOUT_SECONDS = 60.0
"""Timeout for a plain service; the wait continues in the background after the deadline."""


READ_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, ValueError, RecursionError)
"""What reading and decoding an answer may raise; decoding a deeply nested one recurses."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """A call of which no byte left this process, or which the back end refused before any work."""

    reason: str


@dataclass(frozen=True, slots=True)
class PossiblySent:
    """A call of which bytes may have been sent, without a complete answer."""

    reason: str


class BackEndError(Exception):
    """A failure to open or finish a stream; ``sent`` is whether bytes may have left."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


_AnswerT = TypeVar("_AnswerT", bound=msgspec.Struct)


class BackEndClient:
    """Client of every back end protocol."""

    def __init__(self, traffic: ControlTraffic) -> None:
        self._traffic = traffic
        self._received = ReceivedBytes()
        self._session = aiohttp.ClientSession(
            connector=ClientConnector(limit=0, keepalive_timeout=10.0),
            skip_auto_headers=UNUSED_HEADERS,
        )
        # A kept-alive connection can fail while a call is being written, and then it is
        # unknown whether the call was sent; unrepeatable calls use a new connection.
        self._fresh_session = aiohttp.ClientSession(
            connector=ClientConnector(limit=0, force_close=True)
        )
        self._machine_list: MachineList | None = None
        self._machine_list_tag = ""

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()
        await self._fresh_session.close()

    async def call_stage(
        self, address: str, call: StageCall, timeout: float
    ) -> StageAnswer | NotSent | PossiblySent:
        """Call an encoder, retriever or reranker; ``timeout`` is in seconds."""
        return await self._post(self._session, address, "/v1/stage", call, StageAnswer, timeout)

    async def call_plain(
        self, address: str, call: PlainCall, timeout: float, fresh: bool
    ) -> PlainAnswer | NotSent | PossiblySent:
        """Call a plain service; ``fresh`` forbids reuse of a kept-alive connection."""
        session = self._fresh_session if fresh else self._session
        return await self._post(session, address, "/v1/call", call, PlainAnswer, timeout)

    async def generate(
        self, address: str, call: GenerateCall, timeout: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield an engine's chunks; raises :class:`BackEndError` if the stream fails."""
        sent = False
        try:
            async with self._session.post(
                f"http://{address}/v1/generate",
                data=msgspec.json.encode(call),
                timeout=_timeout(timeout),
            ) as response:
                sent = True
                if response.status != 200:
                    raise BackEndError(f"status {response.status}", sent=response.status != 503)
                async for line in response.content:
                    yield msgspec.json.decode(line, type=TokenChunk)
        except aiohttp.ClientConnectorError as error:
            raise BackEndError(str(error), sent=sent) from error
        except (*READ_ERRORS, LineTooLong) as error:
            raise BackEndError(type(error).__name__, sent=True) from error

    async def cancel_attempt(self, address: str, attempt: str) -> None:
        """Ask an engine to cancel ``attempt``; failures are ignored."""
        try:
            async with self._session.post(
                f"http://{address}/v1/cancel/{attempt}", timeout=_timeout(POLL_TIMEOUT_SECONDS)
            ) as response:
                await self._received.read(response, Purpose.BACK_END, address)
        except (TimeoutError, aiohttp.ClientError, OversizedMessageError, OSError):
            return

    async def read_load_report(self, address: str) -> LoadReport | NotSent | PossiblySent:
        """Read a back end's load report."""
        report = await self._get(self._session, f"http://{address}/v1/load", LoadReport)
        self._traffic.record_exchange(0, LOAD_REPORT_BYTES)
        return report

    async def send_order(
        self, address: str, order: ModelOrder
    ) -> LoadReport | NotSent | PossiblySent:
        """Send a fenced order; return the actual state of the back end."""
        return await self._post(
            self._session, address, "/v1/orders", order, LoadReport, ORDER_TIMEOUT_SECONDS
        )

    async def read_machine_list(self, address: str) -> MachineList | None:
        """Read the platform's machine list; an unchanged list is not transferred again."""
        headers = {"If-None-Match": self._machine_list_tag} if self._machine_list_tag else {}
        try:
            async with self._session.get(
                f"http://{address}/machines",
                headers=headers,
                timeout=_timeout(POLL_TIMEOUT_SECONDS),
            ) as response:
                if response.status == 304:
                    return self._machine_list
                if response.status != 200:
                    return None
                content = await self._received.read(response, Purpose.BACK_END, address)
                self._traffic.record_exchange(0, len(content))
                decoded = msgspec.json.decode(content, type=MachineList)
                self._machine_list_tag = response.headers.get("ETag", "")
        except READ_ERRORS:
            return None
        self._machine_list = decoded
        return decoded

    async def _post(
        self,
        session: aiohttp.ClientSession,
        address: str,
        path: str,
        body: msgspec.Struct,
        answer_type: type[_AnswerT],
        timeout: float,
    ) -> _AnswerT | NotSent | PossiblySent:
        try:
            async with session.post(
                f"http://{address}{path}", data=msgspec.json.encode(body), timeout=_timeout(timeout)
            ) as response:
                content = await self._received.read(response, Purpose.BACK_END, str(response.url))
                if response.status == 503:
                    # The protocol allows status 503 only before the back end starts any work.
                    return NotSent("refused by the back end")
                if response.status != 200:
                    return PossiblySent(f"status {response.status}")
                return msgspec.json.decode(content, type=answer_type)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(type(error).__name__)
        except READ_ERRORS as error:
            return PossiblySent(type(error).__name__)

    async def _get(
        self, session: aiohttp.ClientSession, url: str, answer_type: type[_AnswerT]
    ) -> _AnswerT | NotSent | PossiblySent:
        try:
            async with session.get(url, timeout=_timeout(POLL_TIMEOUT_SECONDS)) as response:
                content = await self._received.read(response, Purpose.BACK_END, str(response.url))
                if response.status != 200:
                    return PossiblySent(f"status {response.status}")
                return msgspec.json.decode(content, type=answer_type)
        except aiohttp.ClientConnectorError as error:
            return NotSent(type(error).__name__)
        except READ_ERRORS as error:
            return PossiblySent(type(error).__name__)


def _timeout(total: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=total, sock_connect=min(total, CONNECT_TIMEOUT_SECONDS))
