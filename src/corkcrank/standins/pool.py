"""HTTP stand-in for a stage worker: an encoder, retriever or reranker."""

import msgspec
from aiohttp import web

from corkcrank.contracts.configuration import ServiceKind
from corkcrank.contracts.identifiers import AttemptId, TenantName, WorkerId
from corkcrank.contracts.messages import StageAnswer, StageCall
from corkcrank.standins import outputs
from corkcrank.standins.faults import cut_connection, json_response
from corkcrank.standins.slotted_worker import SlottedWorker

FOREIGN_TENANT = TenantName("somebody-else")
"""Owner of the passages returned under the fault ``foreign_passages``."""


class PoolStandin(SlottedWorker):
    """One worker of a pool with a fixed service time in seconds."""

    def __init__(
        self, worker: WorkerId, kind: ServiceKind, slots: int, service_seconds: float
    ) -> None:
        super().__init__(worker, slots, service_seconds)
        self._kind = kind
        self._last_attempt = AttemptId("none")
        self.calls = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 24)
        application.add_routes(
            [
                web.post("/v1/stage", self._handle_stage),
                web.get("/v1/load", self._handle_load),
                web.post("/faults", self.switch.handle),
                web.get("/calls", self._handle_calls),
            ]
        )
        return application

    async def _handle_calls(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": self.calls})

    async def _handle_stage(self, request: web.Request) -> web.Response:
        refused = await self.switch.before_work()
        if refused is not None or self.switch.faults.leaving:
            return refused or web.Response(status=503, text="leaving")
        call = msgspec.json.decode(await request.read(), type=StageCall)
        self.calls += 1
        seconds = await self._work(call.rank)
        if self.switch.faults.consume_lost_answer():
            cut_connection(request)
        return json_response(self._answer(call, seconds))

    def _answer(self, call: StageCall, seconds: float) -> StageAnswer:
        attempt = self._last_attempt if self.switch.faults.crossed else call.attempt
        self._last_attempt = call.attempt
        answer = StageAnswer(
            request=call.request,
            stage=call.stage,
            attempt=attempt,
            tenant=call.tenant,
            busy_seconds=seconds,
        )
        match self._kind:
            case ServiceKind.ENCODER:
                return msgspec.structs.replace(answer, text=outputs.encode_text(call.text))
            case ServiceKind.RETRIEVER:
                owner = FOREIGN_TENANT if self.switch.faults.foreign_passages else call.tenant
                return msgspec.structs.replace(
                    answer, text=call.text, passages=outputs.retrieve(owner, call.text)
                )
            case _:
                return msgspec.structs.replace(
                    answer, text=call.text, passages=outputs.rerank(call.passages)
                )
