"""HTTP stand-in for a model engine, with a batch, a prefix cache and injected faults."""

import asyncio

import msgspec
from aiohttp import ClientError, ClientSession, web

from corkcrank.contracts.identifiers import AttemptId, WorkerId
from corkcrank.contracts.messages import GenerateCall, LoadReport, ModelOrder, TokenChunk
from corkcrank.standins.engine_batch import EngineBatch, PrefixCache, Sequence
from corkcrank.standins.faults import FaultSwitch, cut_connection, json_response

REPORT_LAG_SECONDS = 0.3
"""Interval between updates of the load report."""

LOAD_MODEL_SECONDS = 0.2
"""Time to load one model when no weight store is named."""


class OrderRecord(msgspec.Struct, frozen=True):
    """A model order that the engine has applied."""

    fence: int
    models: tuple[str, ...]


class EngineRecord(msgspec.Struct, frozen=True):
    """History of an engine, for the invariant checker."""

    attempts: tuple[str, ...]
    refused: int
    orders: tuple[OrderRecord, ...]
    tokens: int
    cache_hits: int
    cache_misses: int


class CacheBlocks(msgspec.Struct, frozen=True):
    """Cache blocks in events, exports and imports; ``sequence`` counts changes."""

    sequence: int
    blocks: tuple[int, ...]


class EngineStandin:
    """An engine with a batch, a prefix cache, a delayed load report and fenced orders."""

    def __init__(
        self,
        worker: WorkerId,
        slots: int,
        models: tuple[str, ...],
        checks_fence: bool,
        weight_store: str = "",
        cache_blocks: int = 4096,
    ) -> None:
        self.switch = FaultSwitch()
        self.batch = EngineBatch(slots, PrefixCache(cache_blocks))
        self._worker = worker
        self._models = models
        self._checks_fence = checks_fence
        self._weight_store = weight_store
        self._fence = 0
        self._attempts: list[str] = []
        self._refused = 0
        self._orders: list[OrderRecord] = []
        self._report = self._make_report()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 24)
        application.add_routes(
            [
                web.post("/v1/generate", self._handle_generate),
                web.post("/v1/cancel/{attempt}", self._handle_cancel),
                web.get("/v1/load", self._handle_load),
                web.post("/v1/orders", self._handle_order),
                web.get("/v1/cache_events", self._handle_cache_events),
                web.get("/v1/kv", self._handle_export),
                web.post("/v1/kv", self._handle_import),
                web.post("/faults", self.switch.handle),
                web.get("/record", self._handle_record),
            ]
        )
        application.cleanup_ctx.append(self._background)
        return application

    async def _background(self, application: web.Application):  # type: ignore[no-untyped-def]
        tasks = [asyncio.create_task(self.batch.run()), asyncio.create_task(self._report_loop())]
        yield
        for task in tasks:
            task.cancel()

    async def _report_loop(self) -> None:
        while True:
            await asyncio.sleep(REPORT_LAG_SECONDS)
            self.batch.slow_factor = self.switch.faults.slow_factor
            self._report = self._make_report()

    def _make_report(self) -> LoadReport:
        return LoadReport(
            worker=self._worker,
            leaving=self.switch.faults.leaving,
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            slots=self.batch.slots,
            boot=self.switch.faults.boot,
            models=self._models,
            fence=self._fence,
        )

    async def _handle_record(self, request: web.Request) -> web.Response:
        return json_response(
            EngineRecord(
                attempts=tuple(self._attempts),
                refused=self._refused,
                orders=tuple(self._orders),
                tokens=self.batch.tokens,
                cache_hits=self.batch.cache.hits,
                cache_misses=self.batch.cache.misses,
            )
        )

    async def _handle_load(self, request: web.Request) -> web.Response:
        return json_response(self._report)

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        self.batch.cancel(request.match_info["attempt"])
        return web.Response(text="ok")

    async def _handle_cache_events(self, request: web.Request) -> web.Response:
        blocks = self.batch.cache.blocks()
        # Events are published with gaps: every seventh block is never reported.
        reported = tuple(block for number, block in enumerate(blocks) if number % 7 != 6)
        return json_response(CacheBlocks(self.batch.cache.misses, reported))

    async def _handle_export(self, request: web.Request) -> web.Response:
        return json_response(CacheBlocks(self.batch.cache.misses, self.batch.cache.blocks()))

    async def _handle_import(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=CacheBlocks)
        self.batch.cache.put(body.blocks)
        return web.Response(text="ok")

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ModelOrder)
        if self._checks_fence and order.fence < self._fence:
            return web.Response(status=409, text="fence is too old")
        self._fence = order.fence if self._checks_fence else 0
        for _ in set(order.models) - set(self._models):
            await self._fetch_weights()
        self._models = order.models
        self._orders.append(OrderRecord(order.fence, order.models))
        self._report = self._make_report()
        return json_response(self._report)

    async def _fetch_weights(self) -> None:
        if not self._weight_store:
            await asyncio.sleep(LOAD_MODEL_SECONDS)
            return
        try:
            async with (
                ClientSession() as session,
                session.get(f"http://{self._weight_store}/weights") as response,
            ):
                await response.read()
        except (ClientError, OSError):
            await asyncio.sleep(LOAD_MODEL_SECONDS)

    async def _handle_generate(self, request: web.Request) -> web.StreamResponse:
        refused = await self.switch.before_work()
        if refused is not None or self.switch.faults.leaving:
            self._refused += 1
            return refused or web.Response(status=503, text="leaving")
        call = msgspec.json.decode(await request.read(), type=GenerateCall)
        if call.model and call.model not in self._models:
            self._refused += 1
            return web.Response(status=503, text="model is not loaded")
        self._attempts.append(call.attempt)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        sequence = self.batch.submit(call)
        try:
            await self._stream(request, response, sequence)
        finally:
            sequence.cancelled = True
        return response

    async def _stream(
        self, request: web.Request, response: web.StreamResponse, sequence: Sequence
    ) -> None:
        attempt = AttemptId("none") if self.switch.faults.crossed else sequence.call.attempt
        sent = 0
        while (item := await sequence.queue.get()) is not None:
            if sent == self.switch.faults.cut_after_tokens:
                await response.write(b'{"attempt":"cut in mid')
                cut_connection(request)
                return
            line = msgspec.json.encode(TokenChunk(attempt, item[0], item[1])) + b"\n"
            await response.write(line * (2 if self.switch.faults.duplicate_chunks else 1))
            sent += 1
        last = TokenChunk(
            attempt, sequence.next_index, last=True, busy_seconds=sequence.busy_seconds
        )
        await response.write(msgspec.json.encode(last) + b"\n")
        await response.write_eof()
