"""Reads the body of a caller's request within the limits of the configuration and the memory."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from corkcrank.contracts.opaque_configuration import RequestLimits
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.node.callers.body_admission import BodyAdmission, BodyTicket
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.ingress.body_chunks import read_any
from corkcrank.scheduling.body_budget import SMALL_BODY_BYTES, BodyClaim

ClaimRoom = Callable[[int], BodyClaim]
"""Returns the claim of a request for a body of a number of bytes."""


@dataclass(slots=True)
class BodyRead:
    """Run that reads a request's body; a stop abandons it if it is incomplete at ``answer_by``.

    A body above ``SMALL_BODY_BYTES`` needs room, which its ``ticket`` holds until :meth:`release`.
    """

    request: web.BaseRequest
    limits: RequestLimits
    admission: BodyAdmission
    claim_room: ClaimRoom
    ticket: BodyTicket | None = None
    answer_begun: bool = False

    async def run(self) -> bytes | Refusal:
        """Return the body, or the refusal that states why it cannot be read."""
        if not self.request.body_exists:
            return b""
        length = self.request.content_length
        if length is not None and length > SMALL_BODY_BYTES:
            refusal = await self._admit(length)
            if refusal is not None:
                return refusal
        return await self._read(admitted=length is not None)

    def release(self) -> None:
        """Free the room of the body, because the call has ended."""
        if self.ticket is not None:
            self.admission.release(self.ticket)

    def fits_before_stop(self) -> bool:
        """Return true: the read may continue, since the remaining size of the body is unknown."""
        return True

    def answer_at_stop(self) -> Refusal:
        """Return the refusal of a request whose body is incomplete when the gateway stops."""
        return Refusal.draining("the request body was incomplete when the gateway stopped")

    async def _admit(self, size: int) -> Refusal | None:
        self.ticket = BodyTicket()
        return await self.admission.admit(self.ticket, self.claim_room(size))

    async def _read(self, *, admitted: bool) -> bytes | Refusal:
        """Return the body; one in chunks claims room for the longest when it is no longer small."""
        request, limits = self.request, self.limits
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        chunks: list[bytes] = []
        size = 0
        try:
            while True:
                chunk = await self._read_next(size)
                if not chunk:
                    if self.ticket is not None:
                        self.admission.resize(self.ticket, size)
                    return b"".join(chunks)
                size += len(chunk)
                if size > limits.body_bytes:
                    return Refusal(ResultCode.BODY_TOO_LARGE, close=True)
                if not admitted and size > SMALL_BODY_BYTES:
                    refusal = await self._admit(limits.body_bytes)
                    if refusal is not None:
                        return refusal
                    admitted = True
                chunks.append(chunk)
        except TimeoutError:
            return Refusal(ResultCode.REQUEST_TOO_SLOW, close=True)
        except web.RequestPayloadError as error:
            return Refusal(ResultCode.MALFORMED_REQUEST, str(error), close=True)

    async def _read_next(self, bytes_read: int) -> bytes:
        """Return the next bytes of the body; those of one in chunks wait for their turn.

        Bytes that have not arrived yet are awaited without a turn.
        """
        content, idle_seconds = self.request.content, self.limits.idle_seconds
        if self.request.content_length is not None or content.total_bytes <= bytes_read:
            return await read_any(content, idle_seconds)
        async with self.admission.chunked_turns:
            piece = await read_any(content, idle_seconds)
            # A read of bytes that have arrived does not suspend: others go first once a turn.
            await asyncio.sleep(0)
            return piece
