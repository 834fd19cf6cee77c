"""Reads answers of workers completely and copies their headers for the caller."""

import asyncio
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from corkcrank.node.calls.attempts import Attempt
from corkcrank.node.calls.pieced_body import PiecedBody
from corkcrank.node.calls.services import CallServices
from corkcrank.node.workers.silence_timeout import SilenceRule
from corkcrank.scheduling.answer_budget import SMALL_ANSWER_BYTES, AnswerBudget, AnswerRoom


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a worker's answer, with the headers for the caller."""

    status: int
    reason: str | None
    headers: list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """A worker's complete answer, its body in the pieces in which it was received."""

    head: AnswerHead
    pieces: list[bytes]
    room: AnswerRoom | None = None

    def response(self) -> web.Response:
        """Return the answer to the caller; it can be sent once."""
        body: PiecedBody | bytes
        if sum(map(len, self.pieces)) > SMALL_ANSWER_BYTES:
            body = PiecedBody(self.pieces, self.room)
        else:
            body = b"".join(self.pieces)
        response = web.Response(status=self.head.status, reason=self.head.reason, body=body)
        replace_headers(response, self.head.headers)
        return response


async def read_answer(
    services: CallServices,
    attempt: Attempt,
    seconds: float,
    silence: SilenceRule | None,
    room: AnswerRoom,
) -> WorkerAnswer | None:
    """Return a worker's answer, or ``None`` if it was truncated or timed out.

    The answer is complete unless there is no more ``room``. ``seconds`` bounds the read of the
    body; ``silence`` may end a wait for more bytes earlier. Closes the connection if there is no
    answer.
    """
    upstream = attempt.response
    assert upstream is not None
    try:
        pieces = await services.client.read_pieces(upstream, seconds, silence, may_keep=room.grow)
    except asyncio.CancelledError:
        attempt.close()
        raise
    if pieces is None:
        attempt.close()
        return None
    return WorkerAnswer(read_head(services, upstream), pieces, room)


async def read_whole_answer(
    services: CallServices, attempt: Attempt, seconds: float
) -> WorkerAnswer | None:
    """Return a worker's complete answer, or ``None``, as :func:`read_answer` does."""
    return await read_answer(services, attempt, seconds, None, AnswerRoom(AnswerBudget()))


def read_head(services: CallServices, upstream: aiohttp.ClientResponse) -> AnswerHead:
    """Return the head of a worker's answer for the caller."""
    headers = services.ports.calls.answer_headers(list(upstream.headers.items()))
    return AnswerHead(upstream.status, upstream.reason, headers)


def replace_headers(response: web.StreamResponse, headers: list[tuple[str, str]]) -> None:
    """Replace all headers of an answer, including aiohttp's defaults."""
    response.headers.clear()
    for name, value in headers:
        response.headers.add(name, value)
