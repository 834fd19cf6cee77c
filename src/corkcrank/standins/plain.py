"""HTTP stand-in for a worker of a plain service; records every run."""

import time

import msgspec
from aiohttp import web

from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.messages import PlainAnswer, PlainCall
from corkcrank.standins import outputs
from corkcrank.standins.faults import cut_connection, json_response
from corkcrank.standins.slotted_worker import SlottedWorker


class Run(msgspec.Struct, frozen=True):
    """One run of an operation; ``at`` is the wall clock in seconds."""

    tenant: str
    operation: str
    key: str
    attempt: str
    at: float


class Runs(msgspec.Struct, frozen=True):
    """All runs at one worker."""

    runs: tuple[Run, ...]


class PlainStandin(SlottedWorker):
    """One worker of a plain service."""

    def __init__(self, worker: WorkerId, slots: int, service_seconds: float) -> None:
        super().__init__(worker, slots, service_seconds)
        self._runs: list[Run] = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 24)
        application.add_routes(
            [
                web.post("/v1/call", self._handle_call),
                web.get("/v1/load", self._handle_load),
                web.get("/runs", self._handle_runs),
                web.post("/faults", self.switch.handle),
            ]
        )
        return application

    async def _handle_runs(self, request: web.Request) -> web.Response:
        return json_response(Runs(tuple(self._runs)))

    async def _handle_call(self, request: web.Request) -> web.Response:
        refused = await self.switch.before_work()
        if refused is not None or self.switch.faults.leaving:
            return refused or web.Response(status=503, text="leaving")
        call = msgspec.json.decode(await request.read(), type=PlainCall)
        self._runs.append(Run(call.tenant, call.operation, call.key, call.attempt, time.time()))
        seconds = await self._work(0)
        if self.switch.faults.consume_lost_answer():
            cut_connection(request)
        return json_response(
            PlainAnswer(
                request=call.request,
                attempt=call.attempt,
                tenant=call.tenant,
                body=outputs.plain_result(call.operation, call.key, call.body),
                busy_seconds=seconds,
            )
        )
