"""Builds answers to callers: JSON bodies, refusals with Retry-After, server-sent events."""

import math

import msgspec
from aiohttp import web

from corkcrank.contracts.identifiers import RequestId
from corkcrank.contracts.messages import FailureAnswer
from corkcrank.contracts.result_codes import Failure, Ran

REQUEST_HEADER = "Corkcrank-Request"
"""Header with the id of the request, as in the logs."""

DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Default value of ``Retry-After`` for a refusal."""


class TokenEvent(msgspec.Struct, frozen=True):
    """Data of a ``token`` event."""

    token: str


def failure_answer(request: RequestId, failure: Failure, ran: Ran | None = None) -> FailureAnswer:
    """Return the body that describes a failure; ``ran`` overrides the value of its code."""
    retry_after = failure.retry_after
    if retry_after is None and failure.code.is_refusal:
        retry_after = DEFAULT_RETRY_AFTER_SECONDS
    return FailureAnswer(
        request=request,
        code=failure.code.number,
        name=failure.code.name,
        ran=str(ran or failure.code.ran),
        detail=failure.detail or failure.code.value.summary,
        retry_after_seconds=retry_after,
    )


def failure_response(request: RequestId, failure: Failure, ran: Ran | None = None) -> web.Response:
    """Return the HTTP response that describes a failure."""
    body = failure_answer(request, failure, ran)
    response = json_response(request, body, failure.code.http_status)
    if body.retry_after_seconds is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(body.retry_after_seconds)))
    return response


def json_response(request: RequestId, body: msgspec.Struct, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers={REQUEST_HEADER: request},
    )


def token_event(index: int, token: str) -> bytes:
    r"""Return one token as a numbered event.

    >>> token_event(3, "a")
    b'id: 3\nevent: token\ndata: {"token":"a"}\n\n'
    """
    data = msgspec.json.encode(TokenEvent(token))
    return b"id: %d\nevent: token\ndata: %s\n\n" % (index, data)


def final_event(name: str, body: msgspec.Struct) -> bytes:
    """Return the final event of a stream: ``end`` or ``error``."""
    return b"event: %s\ndata: %s\n\n" % (name.encode(), msgspec.json.encode(body))
