"""HTTP server for peers' requests, and for the metrics and the state dump that operators read."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.contracts.request_release import RELEASE_REQUEST_PATH, is_fingerprint
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.links.bounded_server import BoundedServer
from corkcrank.links.closed_connections import closed_by_peer
from corkcrank.links.connection_listener import ListenerReport
from corkcrank.links.listener_state import peer_connection_limit, readiness_connection_limit
from corkcrank.links.silence import (
    ConnectionKind,
    SilenceListener,
    SilentConnection,
    ignore_silence,
)
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.engines.prompt_queues import PromptQueues
from corkcrank.node.limits.limit_grants import LimitOwner
from corkcrank.node.origins.origin_directory import OriginDirectory
from corkcrank.node.peers.peer_client import (
    PEER_PROGRESS_INTERVAL_SECONDS,
    PEER_SILENCE_SECONDS,
    PROGRESS_BYTE,
)
from corkcrank.node.peers.peer_protocol import (
    CONFIGURATION_PATH,
    CRASHES_PATH,
    FREE_PATH,
    LEASE_RELEASE_PATH,
    LIMIT_GRANT_PATH,
    PIECES_PATH,
    PREFILL_DONE_PATH,
    PREFILL_REQUEST_PATH,
    RETURN_CLAIM_PATH,
    STREAM_ORIGIN_PATH,
    WITHDRAW_PATH,
    WORKERS_PATH,
    ConfigurationAnswer,
    CrashesAnswer,
    FreeResults,
    LeaseRelease,
    LimitGrantRequest,
    PrefillDone,
    PromptRequest,
    ReturnClaimAnswer,
    ReturnClaimRequest,
    StageAnswer,
    StageWork,
    StreamOriginAnswer,
    StreamOriginRequest,
    WithdrawRequest,
    WorkersAnswer,
    WorkersRequest,
)
from corkcrank.node.relays.relay_protocol import RELAY_PATH, WORKER_PROBE_PATH
from corkcrank.node.relays.relay_server import RelayServer
from corkcrank.node.returns.claim_keeper import ClaimKeeper
from corkcrank.node.stages.recent_answers import RecentAnswers
from corkcrank.node.stages.stage_owner import StageOwner
from corkcrank.node.workers.crash_watch import CrashWatch

METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"
PEER_SHUTDOWN_SECONDS = 0.05
"""Time for peers' requests to complete at a stop; the library waits twice as long. Their pieces
were returned before (``PIECES_RESERVE_SECONDS`` of the drain)."""

ReportFactory = Callable[[str], ListenerReport]
"""Returns the receiver of the events of the listener with a name."""


class PeerServer:
    """Serves peers' requests, metrics and the state dump on the same addresses."""

    def __init__(
        self,
        stage_owner: StageOwner,
        prompt_queues: PromptQueues,
        limit_owner: LimitOwner,
        relays: RelayServer,
        mirror: StoreMirror,
        crash_watch: CrashWatch,
        origins: OriginDirectory,
        claims: ClaimKeeper,
        registry: CollectorRegistry,
        dump: Callable[[], msgspec.Struct],
    ) -> None:
        self._stage_owner = stage_owner
        self._prompt_queues = prompt_queues
        self._limit_owner = limit_owner
        self._mirror = mirror
        self._crash_watch = crash_watch
        self._origins = origins
        self._claims = claims
        self._registry = registry
        self._dump = dump
        self._recent_answers = RecentAnswers()
        self._server: BoundedServer | None = None
        self._runner: web.ServerRunner | None = None
        self.on_silence: SilenceListener = ignore_silence
        self._routes = {
            PIECES_PATH: self._pieces,
            FREE_PATH: self._free,
            WITHDRAW_PATH: self._withdraw,
            PREFILL_REQUEST_PATH: self._prefill_request,
            PREFILL_DONE_PATH: self._prefill_done,
            LIMIT_GRANT_PATH: self._limit_grant,
            LEASE_RELEASE_PATH: self._lease_release,
            CONFIGURATION_PATH: self._configuration,
            WORKERS_PATH: self._workers,
            CRASHES_PATH: self._crashes,
            STREAM_ORIGIN_PATH: self._stream_origin,
            RETURN_CLAIM_PATH: self._return_claim,
            RELAY_PATH: relays.relay,
            WORKER_PROBE_PATH: relays.probe,
            RELEASE_REQUEST_PATH: self._release_request,
            METRICS_PATH: self._metrics,
            DUMP_PATH: self._state,
        }

    async def start(
        self, addresses: list[str], limits: NodeLimitSettings, report: ReportFactory
    ) -> None:
        """Listen on each ``ip:port``, within the limits of the process."""
        server = BoundedServer(
            self._handle,
            max_connections=peer_connection_limit(limits) // len(addresses),
            report=report("peers"),
            handler_cancellation=True,
            access_log=None,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=PEER_SHUTDOWN_SECONDS)
        await self._runner.setup()
        self._server = server
        for address in addresses:
            server.listen(address)

    async def stop(self) -> None:
        """Close every connection."""
        if self._server is not None and self._runner is not None:
            self._server.stop_listening()
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        handler = self._routes.get(request.path)
        if handler is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        try:
            return await handler(request)
        except (msgspec.DecodeError, RecursionError) as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        except ConnectionError:
            # The peer has disconnected; the library would log the error as a fault.
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _pieces(self, request: web.BaseRequest) -> web.StreamResponse:
        work = msgspec.msgpack.decode(await self._read(request), type=StageWork)
        _check_still_connected(request)
        running = asyncio.create_task(
            self._stage_owner.run_pieces(work, lambda: closed_by_peer(request.transport))
        )
        try:
            response = await _answer_when_done(request, running)
        except (ConnectionError, asyncio.CancelledError):
            self._abandon(running)
            raise
        answer = running.result()
        if closed_by_peer(request.transport) or not self._record_still_wanted(work, answer):
            self._free_all(answer)
        return response

    def _record_still_wanted(self, work: StageWork, answer: StageAnswer) -> bool:
        """Record an answer as sent; return whether its requester has not withdrawn the work."""
        if not work.question:
            return True
        return self._recent_answers.record_answer(work.question, answer, clock.now())

    def _abandon(self, running: asyncio.Task[StageAnswer]) -> None:
        """Cancel pieces whose requester has disconnected, or free their results."""
        if not running.done():
            running.cancel()
        elif not running.cancelled() and running.exception() is None:
            self._free_all(running.result())

    def _free_all(self, answer: StageAnswer) -> None:
        """Free the results of an answer that its requester will not read."""
        for result in answer.results:
            if result.handle:
                self._stage_owner.free_results(result.worker_id, (result.handle,))

    async def _free(self, request: web.BaseRequest) -> web.Response:
        message = msgspec.msgpack.decode(await self._read(request), type=FreeResults)
        self._stage_owner.free_results(message.worker_id, message.handles)
        return web.Response()

    async def _withdraw(self, request: web.BaseRequest) -> web.Response:
        """Free the results of an answer that was in transit when its work was withdrawn."""
        message = msgspec.msgpack.decode(await self._read(request), type=WithdrawRequest)
        answer = self._recent_answers.withdraw_question(message.question, clock.now())
        if answer is not None:
            self._free_all(answer)
        return web.Response()

    async def _prefill_request(self, request: web.BaseRequest) -> web.Response:
        message = msgspec.msgpack.decode(await self._read(request), type=PromptRequest)
        _check_still_connected(request)
        grant = await self._prompt_queues.grant_or_wait(message)
        return web.Response(body=msgspec.msgpack.encode(grant))

    async def _prefill_done(self, request: web.BaseRequest) -> web.Response:
        self._prompt_queues.record_done(
            msgspec.msgpack.decode(await self._read(request), type=PrefillDone)
        )
        return web.Response()

    async def _limit_grant(self, request: web.BaseRequest) -> web.Response:
        message = msgspec.msgpack.decode(await self._read(request), type=LimitGrantRequest)
        _check_still_connected(request)
        grant = await self._limit_owner.grant_or_wait(message)
        return web.Response(body=msgspec.msgpack.encode(grant))

    async def _lease_release(self, request: web.BaseRequest) -> web.Response:
        message = msgspec.msgpack.decode(await self._read(request), type=LeaseRelease)
        self._limit_owner.release_lease(message)
        return web.Response()

    async def _read(self, request: web.BaseRequest) -> bytes:
        """Return a complete message; drop a connection that falls silent within one."""
        try:
            async with asyncio.timeout(PEER_SILENCE_SECONDS):
                return await request.read()
        except TimeoutError:
            peer = request.remote or ""
            self.on_silence(SilentConnection(ConnectionKind.PEER, peer, PEER_SILENCE_SECONDS))
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPRequestTimeout from None

    async def _configuration(self, request: web.BaseRequest) -> web.Response:
        answer = ConfigurationAnswer(self._mirror.configuration)
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def _workers(self, request: web.BaseRequest) -> web.Response:
        workers = self._mirror.workers
        data = await self._read(request)
        since = msgspec.msgpack.decode(data, type=WorkersRequest).since if data else 0
        changes = self._mirror.changes_since(since)
        records = workers.records() if changes is None else ()
        answer = WorkersAnswer(workers.revision, records, changes)
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def _crashes(self, request: web.BaseRequest) -> web.Response:
        reports = self._crash_watch.quarantine.all_crash_reports(clock.now())
        return web.Response(body=msgspec.msgpack.encode(CrashesAnswer(reports)))

    async def _stream_origin(self, request: web.BaseRequest) -> web.Response:
        message = msgspec.msgpack.decode(await self._read(request), type=StreamOriginRequest)
        answer = StreamOriginAnswer(self._origins.kept_origin(message.key))
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def _return_claim(self, request: web.BaseRequest) -> web.Response:
        message = msgspec.msgpack.decode(await self._read(request), type=ReturnClaimRequest)
        answer = ReturnClaimAnswer(self._claims.take(message.key))
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def _release_request(self, request: web.BaseRequest) -> web.Response:
        text = (await self._read(request)).decode("ascii", "replace").strip()
        if not is_fingerprint(text):
            code = ResultCode.MALFORMED_REQUEST
            failure = {"code": code.number, "name": code.name, "detail": "no fingerprint"}
            return web.json_response(failure, status=code.http_status)
        return web.Response(body=msgspec.json.encode(self._crash_watch.release_request(text)))

    async def _metrics(self, request: web.BaseRequest) -> web.Response:
        return web.Response(body=generate_latest(self._registry), content_type="text/plain")

    async def _state(self, request: web.BaseRequest) -> web.Response:
        body = msgspec.json.encode(self._dump())
        return web.Response(body=body, content_type="application/json")


def _check_still_connected(request: web.BaseRequest) -> None:
    """Raise if the requester closed its connection before its request was read."""
    if closed_by_peer(request.transport):
        raise ConnectionResetError("peer closed its connection before its request was handled")


async def _answer_when_done(
    request: web.BaseRequest, running: asyncio.Task[StageAnswer]
) -> web.StreamResponse:
    """Answer with the results; until they are ready, send progress bytes on the connection."""
    if await _done_within_interval(running):
        return web.Response(body=msgspec.msgpack.encode(running.result()))
    response = web.StreamResponse()
    await response.prepare(request)
    while not await _done_within_interval(running):
        await response.write(PROGRESS_BYTE)
    await response.write(msgspec.msgpack.encode(running.result()))
    await response.write_eof()
    return response


async def _done_within_interval(task: asyncio.Task[StageAnswer]) -> bool:
    """Wait up to one progress interval for a task; return whether it is done."""
    done, _ = await asyncio.wait({task}, timeout=PEER_PROGRESS_INTERVAL_SECONDS)
    return bool(done)


async def serve_readiness(
    address: str,
    path: str,
    ready: Callable[[], bool],
    limits: NodeLimitSettings,
    report: ReportFactory,
) -> web.ServerRunner:
    """Serve the load balancer's health check on ``ip:port`` until the runner is cleaned up."""

    async def answer(request: web.BaseRequest) -> web.Response:
        if request.path != path:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(status=HTTPStatus.OK if ready() else HTTPStatus.SERVICE_UNAVAILABLE)

    server = BoundedServer(
        answer,
        max_connections=readiness_connection_limit(limits),
        report=report("readiness"),
        access_log=None,
    )
    runner = web.ServerRunner(server, shutdown_timeout=PEER_SHUTDOWN_SECONDS)
    await runner.setup()
    server.listen(address)
    await asyncio.sleep(0)
    return runner
