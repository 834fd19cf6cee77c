"""Surplus answers of simulated stage workers: copies, and answers that nobody asked for."""

import asyncio
import json
import random
from weakref import WeakKeyDictionary

from aiohttp import web
from platform_standins import NOT_RUN, raw_response

SURPLUS_SHARE = 0.4
KINDS = ("copy", "rejection", "failure", "empty")
"""A failure has a reason in place of the result of each piece of the next call."""


class SurplusAnswers:
    """The surplus answers of one stage worker, which it sends while ``active``.

    Each comes in the place of the answer to the next request on its connection. One that came
    before that request would be found at once.
    """

    def __init__(self, source: random.Random) -> None:
        self.active = False
        self.count = 0
        self._source = source
        self._pending: WeakKeyDictionary[asyncio.Transport, web.Response] = WeakKeyDictionary()

    def send_pending(self, request: web.BaseRequest, pieces: int = 0) -> None:
        """Send the surplus answer that is due when a request for some pieces was read."""
        earlier = self._pending.pop(_transport(request), None)
        if earlier is not None:
            _transport(request).write(self._draw_answer(earlier, pieces))
            self.count += 1

    def follow(self, request: web.BaseRequest, response: web.Response) -> web.Response:
        """Return a response, and have a surplus one follow it if one is drawn."""
        if self.active and self._source.random() < SURPLUS_SHARE:
            self._pending[_transport(request)] = response
        return response

    def _draw_answer(self, earlier: web.Response, pieces: int) -> bytes:
        kind = self._source.choice(KINDS)
        if kind == "rejection":
            return raw_response(503, {NOT_RUN: "1"}, b"")
        if kind == "failure":
            return raw_response(
                200, {}, json.dumps({"items": [{"reason": "error"}] * pieces}).encode()
            )
        if kind == "empty":
            return raw_response(200, {}, b"")
        body = earlier.body if isinstance(earlier.body, bytes) else b""
        headers = {NOT_RUN: "1"} if NOT_RUN in earlier.headers else {}
        return raw_response(earlier.status, headers, body)


def _transport(request: web.BaseRequest) -> asyncio.Transport:
    assert isinstance(request.transport, asyncio.Transport)
    return request.transport
