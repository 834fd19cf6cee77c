"""Reads the body of a caller's request within the limits of the configuration."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from corkcrank.contracts.opaque_configuration import RequestLimits
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.node.callers.refusals import Refusal


@dataclass(frozen=True, slots=True)
class BodyRead:
    """Run that reads a request's body; a stop abandons it if it is incomplete at ``answer_by``."""

    request: web.BaseRequest
    limits: RequestLimits
    answer_begun: bool = False

    async def run(self) -> bytes | Refusal:
        """Return the body, or the refusal that states why it cannot be read."""
        return await _read_body(self.request, self.limits)

    def fits_before_stop(self) -> bool:
        """Return true: the read may continue, since the remaining size of the body is unknown."""
        return True

    def answer_at_stop(self) -> Refusal:
        """Return the refusal of a request whose body is incomplete when the gateway stops."""
        return Refusal.draining("the request body was incomplete when the gateway stopped")


async def _read_body(request: web.BaseRequest, limits: RequestLimits) -> bytes | Refusal:
    if not request.body_exists:
        return b""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    chunks: list[bytes] = []
    size = 0
    try:
        while True:
            async with asyncio.timeout(limits.idle_seconds):
                chunk = await request.content.readany()
            if not chunk:
                return b"".join(chunks)
            size += len(chunk)
            if size > limits.body_bytes:
                return Refusal(ResultCode.BODY_TOO_LARGE, close=True)
            chunks.append(chunk)
    except TimeoutError:
        return Refusal(ResultCode.REQUEST_TOO_SLOW, close=True)
    except web.RequestPayloadError as error:
        return Refusal(ResultCode.MALFORMED_REQUEST, str(error), close=True)
