"""Writes a pipeline's answer to the caller, as one body or as a stream of events."""

import contextlib

from aiohttp import web

from corkcrank.contracts.identifiers import RequestId
from corkcrank.contracts.messages import PipelineAnswer
from corkcrank.contracts.result_codes import Failure
from corkcrank.gateway.responses import (
    REQUEST_HEADER,
    failure_answer,
    failure_response,
    final_event,
    json_response,
    token_event,
)


class StreamWriter:
    """The answer to one caller.

    The event stream starts with the first token. A request that fails before that gets a plain
    HTTP response with the status of its failure.
    """

    def __init__(self, request: web.Request, identifier: RequestId, streamed: bool) -> None:
        self._request = request
        self._identifier = identifier
        self._streamed = streamed
        self._response: web.StreamResponse | None = None

    async def write_token(self, index: int, token: str) -> None:
        """Send one token if the caller requested a stream."""
        if not self._streamed:
            return
        response = await self._ensure_started()
        await response.write(token_event(index, token))

    async def end(self, answer: PipelineAnswer) -> web.StreamResponse:
        """Write the complete answer, in a stream as the final event."""
        if not self._streamed:
            return json_response(self._identifier, answer)
        response = await self._ensure_started()
        return await self._finish(response, final_event("end", answer))

    async def fail(self, failure: Failure) -> web.StreamResponse:
        """Write the failure, as the final event if the stream has started."""
        if self._response is None:
            return failure_response(self._identifier, failure)
        body = failure_answer(self._identifier, failure)
        return await self._finish(self._response, final_event("error", body))

    async def _ensure_started(self) -> web.StreamResponse:
        if self._response is None:
            self._response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    "Cache-Control": "no-store",
                    REQUEST_HEADER: self._identifier,
                }
            )
            await self._response.prepare(self._request)
        return self._response

    async def _finish(self, response: web.StreamResponse, event: bytes) -> web.StreamResponse:
        with contextlib.suppress(ConnectionResetError):
            await response.write(event)
            await response.write_eof()
        return response
