"""Fault injection for the stand-ins, controlled over HTTP."""

import asyncio

import msgspec
from aiohttp import web

FIRST_BOOT = "1"
"""Incarnation in a stand-in's reports and in the machine list until a test restarts it."""


class Faults(msgspec.Struct):
    """The active faults of one stand-in.

    Attributes
    ----------
    outage
        Answer 503 without doing anything.
    delay_seconds
        Wait before doing anything.
    slow_factor
        Multiply the time of all work.
    lose_answers
        Do the work, then close the connection; counts down, -1 loses all answers.
    cut_after_tokens
        Close each stream after this many tokens; -1 closes none.
    duplicate_chunks
        Send each token twice.
    crossed
        Echo another attempt's id.
    foreign_passages
        Return another tenant's passages.
    leaving
        Report the state ``leaving`` and refuse new work.
    boot
        Report this incarnation, as after a restart.

    """

    outage: bool = False
    delay_seconds: float = 0.0
    slow_factor: float = 1.0
    lose_answers: int = 0
    cut_after_tokens: int = -1
    duplicate_chunks: bool = False
    crossed: bool = False
    foreign_passages: bool = False
    leaving: bool = False
    boot: str = FIRST_BOOT

    def consume_lost_answer(self) -> bool:
        """Return whether to drop this answer, and count it down."""
        if self.lose_answers == 0:
            return False
        if self.lose_answers > 0:
            self.lose_answers -= 1
        return True


class FaultSwitch:
    """Serves ``POST /faults``, whose body replaces the active faults."""

    def __init__(self) -> None:
        self.faults = Faults()

    async def handle(self, request: web.Request) -> web.Response:
        """Replace the active faults by those in the request body."""
        try:
            self.faults = msgspec.json.decode(await request.read(), type=Faults)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        return web.Response(text="ok")

    async def before_work(self) -> web.Response | None:
        """Apply the faults that act before any work; returns an error response on an outage."""
        if self.faults.delay_seconds > 0:
            await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.outage:
            return web.Response(status=503, text="outage")
        return None


def cut_connection(request: web.Request) -> None:
    """Abort the caller's connection without a response."""
    if request.transport is not None:
        request.transport.abort()


def json_response(body: msgspec.Struct, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
