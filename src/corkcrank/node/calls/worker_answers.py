"""Reads answers of workers completely and copies their headers for the caller."""

import asyncio

from aiohttp import web

from corkcrank.node.calls.attempts import Attempt
from corkcrank.node.calls.pieced_body import PiecedBody
from corkcrank.node.calls.services import CallServices
from corkcrank.node.workers.silence_timeout import SilenceRule

MAX_JOINED_BYTES = 65_536
"""Maximum length of an answer whose pieces are joined, to be written at once."""


async def read_whole_answer(
    services: CallServices, attempt: Attempt, seconds: float, silence: SilenceRule | None = None
) -> web.Response | None:
    """Return a worker's complete answer, or ``None`` if it was truncated or timed out.

    ``seconds`` bounds the read of the body; ``silence`` may end a wait for more bytes earlier.
    Closes the connection if there is no complete answer.
    """
    upstream = attempt.response
    assert upstream is not None
    try:
        pieces = await services.client.read_pieces(upstream, seconds, silence)
    except asyncio.CancelledError:
        attempt.close()
        raise
    if pieces is None:
        attempt.close()
        return None
    large = sum(map(len, pieces)) > MAX_JOINED_BYTES
    body = PiecedBody(pieces) if large else b"".join(pieces)
    headers = services.ports.calls.answer_headers(list(upstream.headers.items()))
    response = web.Response(status=upstream.status, reason=upstream.reason, body=body)
    replace_headers(response, headers)
    return response


def replace_headers(response: web.StreamResponse, headers: list[tuple[str, str]]) -> None:
    """Replace all headers of an answer, including aiohttp's defaults."""
    response.headers.clear()
    for name, value in headers:
        response.headers.add(name, value)
