"""Reads the body of a caller's request within the limits of the configuration and the memory."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from corkcrank.contracts.opaque_configuration import RequestLimits
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.node.callers.body_admission import BodyAdmission, BodyTicket
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.ingress.body_chunks import read_any
from corkcrank.scheduling.body_budget import SMALL_BODY_BYTES, BodyClaim

FIELD_MEMORY_BYTES = 1_000
"""Memory of one header field of a call in progress, besides its bytes: its name and value are kept
for the request, the call, and the request to the worker."""

HEAD_COPIES = 4
"""Number of times that the bytes of a head are kept while its call is in progress."""

ClaimRoom = Callable[[int], BodyClaim]
"""Returns the claim of a request for a body of a number of bytes."""


@dataclass(slots=True)
class BodyRead:
    """Run that reads a request's body; a stop abandons it if it is incomplete at ``answer_by``.

    A body above ``SMALL_BODY_BYTES`` needs room, and so does a head whose fields take as much
    memory. ``tickets`` hold the room until :meth:`release`, the last one that of the body.
    """

    request: web.BaseRequest
    limits: RequestLimits
    admission: BodyAdmission
    claim_room: ClaimRoom
    tickets: list[BodyTicket] = field(default_factory=list)
    answer_begun: bool = False

    async def run(self) -> bytes | Refusal:
        """Return the body, or the refusal that states why it cannot be read."""
        head_bytes = head_memory_bytes(self.request)
        if head_bytes > SMALL_BODY_BYTES:
            refusal = await self._admit(head_bytes)
            if refusal is not None:
                return refusal
        if not self.request.body_exists:
            return b""
        length = self.request.content_length
        if length is not None and length > SMALL_BODY_BYTES:
            refusal = await self._admit(length)
            if refusal is not None:
                return refusal
        return await self._read(admitted=length is not None)

    def release(self) -> None:
        """Free the room of the request, because the call has ended."""
        for ticket in self.tickets:
            self.admission.release(ticket)

    def fits_before_stop(self) -> bool:
        """Return true: the read may continue, since the remaining size of the body is unknown."""
        return True

    def answer_at_stop(self) -> Refusal:
        """Return the refusal of a request whose body is incomplete when the gateway stops."""
        return Refusal.draining("the request body was incomplete when the gateway stopped")

    async def _admit(self, size: int) -> Refusal | None:
        ticket = BodyTicket()
        self.tickets.append(ticket)
        return await self.admission.admit(ticket, self.claim_room(size))

    async def _read(self, *, admitted: bool) -> bytes | Refusal:
        """Return the body; one in chunks claims room for the longest when it is no longer small."""
        request, limits = self.request, self.limits
        claimed = False
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        chunks: list[bytes] = []
        size = 0
        try:
            while True:
                chunk = await self._read_next(size)
                if not chunk:
                    if claimed:
                        self.admission.resize(self.tickets[-1], size)
                    return b"".join(chunks)
                size += len(chunk)
                if size > limits.body_bytes:
                    return Refusal(ResultCode.BODY_TOO_LARGE, close=True)
                if not admitted and size > SMALL_BODY_BYTES:
                    refusal = await self._admit(limits.body_bytes)
                    if refusal is not None:
                        return refusal
                    admitted = claimed = True
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


def head_memory_bytes(request: web.BaseRequest) -> int:
    """Return the memory that the head of a request takes while its call is in progress."""
    sizes = [len(name) + len(value) for name, value in request.raw_headers]
    return len(sizes) * FIELD_MEMORY_BYTES + HEAD_COPIES * (sum(sizes) + len(request.raw_path))
