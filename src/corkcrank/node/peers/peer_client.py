"""Sends requests to other gateways on persistent connections, each with a silence timeout."""

from enum import StrEnum
from http import HTTPStatus
from typing import TypeVar

import aiohttp

from corkcrank.contracts import clock
from corkcrank.links.client_connections import ClientConnector
from corkcrank.links.platform_ports import Unreadable
from corkcrank.links.received_bytes import OversizedMessageError, Purpose, ReceivedBytes
from corkcrank.links.silence import (
    ConnectionKind,
    SilenceListener,
    SilentConnection,
    drop_all_idle,
    drop_idle,
)
from corkcrank.links.strict_json import decode_packed_strictly
from corkcrank.machines.members import MIN_SILENCE_FOR_PROBE_SECONDS, PROBE_TIMEOUT_SECONDS
from corkcrank.node.peers.peer_silence import SILENT_INTERVALS, PeerSilence

PEER_CONNECT_TIMEOUT_SECONDS = 0.3
"""Timeout for connecting to a peer."""

PEER_SILENCE_SECONDS = MIN_SILENCE_FOR_PROBE_SECONDS + PROBE_TIMEOUT_SECONDS
"""A connection is dropped if no byte of an expected answer arrives for this time: the time after
which a member that is waited for and does not answer probes is suspected."""

PEER_PROGRESS_INTERVAL_SECONDS = PEER_SILENCE_SECONDS / SILENT_INTERVALS
"""Interval of progress bytes on a connection while its answer is not ready: 3 may be late, as
heartbeats may, before the connection is dropped."""

PROGRESS_BYTE = b"\xc0"
"""Sent while an answer is not ready: a MessagePack nil, with which no answer begins."""

MAX_IDLE_SECONDS = 30.0
"""A connection to a peer is not reused after it was idle for longer than this."""


class PeerFailure(StrEnum):
    """Why a peer gave no answer."""

    SILENT = "silent"
    BROKEN = "broken"
    UNREADABLE = "unreadable"
    """The answer was complete but could not be decoded as the expected message."""


_AnswerT = TypeVar("_AnswerT")


def decode_answer(body: bytes | PeerFailure, answer_type: type[_AnswerT]) -> _AnswerT | PeerFailure:
    """Decode a peer's answer; return the message, or why there is none.

    Gateways of different releases, or another process at a member's address, may answer with
    something else. A decoding error would end the loop that pulls updates, or the call that
    sent the request.
    """
    if isinstance(body, PeerFailure):
        return body
    answer = decode_packed_strictly(body, answer_type)
    return PeerFailure.UNREADABLE if isinstance(answer, Unreadable) else answer


class PeerClient:
    """Sends requests to peers; retries one only if its caller allows that."""

    def __init__(self, on_silence: SilenceListener, received: ReceivedBytes | None = None) -> None:
        self._on_silence = on_silence
        self._received = received or ReceivedBytes()
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=PEER_CONNECT_TIMEOUT_SECONDS),
            connector=ClientConnector(limit=0, keepalive_timeout=MAX_IDLE_SECONDS),
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def request(
        self,
        address: str,
        path: str,
        message: bytes | None = None,
        *,
        timeout_seconds: float | None = None,
        retry_on_silence: bool = False,
    ) -> bytes | PeerFailure:
        """Return a peer's answer, or why there is none.

        ``message`` is sent by POST; without one the request is a GET. ``timeout_seconds`` limits
        the whole exchange, beside the silence timeout. ``retry_on_silence`` allows one retry on a
        new connection after silence, for a request that is harmless if it arrives twice.
        """
        answer = await self._exchange(address, path, message, timeout_seconds)
        if answer is PeerFailure.SILENT and retry_on_silence:
            answer = await self._exchange(address, path, message, timeout_seconds)
        return answer

    async def _exchange(
        self, address: str, path: str, message: bytes | None, seconds: float | None
    ) -> bytes | PeerFailure:
        timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=PEER_CONNECT_TIMEOUT_SECONDS)
        started = clock.now()
        try:
            async with (
                PeerSilence(PEER_PROGRESS_INTERVAL_SECONDS) as silence,
                self._session.request(
                    "GET" if message is None else "POST",
                    f"http://{address}{path}",
                    data=message,
                    timeout=timeout,
                ) as response,
            ):
                body = await self._read_body(response, silence, address)
                return (
                    body.lstrip(PROGRESS_BYTE)
                    if response.status == HTTPStatus.OK
                    else PeerFailure.BROKEN
                )
        except aiohttp.ConnectionTimeoutError:
            return PeerFailure.BROKEN
        except TimeoutError:
            self._drop_silent(address, clock.now() - started)
            return PeerFailure.SILENT
        except (aiohttp.ClientError, OversizedMessageError, OSError):
            return PeerFailure.BROKEN

    async def _read_body(
        self, response: aiohttp.ClientResponse, silence: PeerSilence, address: str
    ) -> bytes:
        with self._received.open(Purpose.PEER, address, response) as kept:
            async for data in response.content.iter_any():
                silence.record_bytes()
                if data.strip(PROGRESS_BYTE):
                    silence.record_answer()
                kept.keep(data)
            return b"".join(kept.take())

    def drop_all_idle(self) -> int:
        """Drop every idle connection, so that none is reused; return how many there were."""
        return drop_all_idle(self._session)

    def _drop_silent(self, address: str, waited: float) -> None:
        idle = drop_idle(self._session, address)
        self._on_silence(SilentConnection(ConnectionKind.PEER, address, waited, idle))
