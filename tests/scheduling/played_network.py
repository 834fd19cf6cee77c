"""Simulated workers, engines and network for the load simulations of ``fleet_play``."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall, PromptShape
from corkcrank.contracts.opaque_configuration import StageCapacity
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import PieceOutcome, PieceResult, StageWorkerReport
from corkcrank.machines import heartbeat_rate
from corkcrank.node.calls.attempts import Attempt, AttemptOutcome
from corkcrank.node.calls.services import CallServices
from corkcrank.node.membership import heartbeats
from corkcrank.node.peers.peer_client import (
    PEER_CONNECT_TIMEOUT_SECONDS,
    PEER_SILENCE_SECONDS,
    PeerFailure,
)
from corkcrank.node.peers.peer_protocol import (
    FREE_PATH,
    LEASE_RELEASE_PATH,
    LIMIT_GRANT_PATH,
    PIECES_PATH,
    PREFILL_DONE_PATH,
    PREFILL_REQUEST_PATH,
    RETURN_CLAIM_PATH,
    WITHDRAW_PATH,
    FreeResults,
    LeaseRelease,
    LimitGrantRequest,
    PrefillDone,
    PromptRequest,
    ReturnClaimAnswer,
    ReturnClaimRequest,
    StageWork,
)
from corkcrank.node.process import node, worker_access
from corkcrank.node.streams import engine_exchange
from corkcrank.node.streams.engine_exchange import EngineExchanges
from corkcrank.node.streams.stream_answer import StreamAnswer
from corkcrank.node.streams.stream_relay import RelayEnd
from corkcrank.node.workers.worker_request import NoRelay
from corkcrank.scheduling.engine_choice import PrefixCache
from corkcrank.scheduling.stage_queue import StageCall

if TYPE_CHECKING:
    from fleet_play import FleetSimulation

HOP_SECONDS = 0.0006
"""One-way latency between two nodes, or between a node and a worker."""

REQUEST_HANDLING_SECONDS = 0.002
"""Time that a node takes to handle a request of another node."""

PROMPT_TOKENS_PER_SECOND = 32_400.0
"""Prompt tokens that an engine reads per second."""

FIRST_EVENT_SECONDS = 0.064
"""Time from the end of reading a prompt to the first event."""

EVENT_SECONDS = 0.02
"""Time between two events of a stream."""


CONNECTED_REQUEST: Any = SimpleNamespace(
    transport=SimpleNamespace(is_closing=lambda: False, get_extra_info=lambda name: None)
)
"""A request whose caller keeps its connection open."""


class SimulatedWorker:
    """A stage worker: runs one call at a time, and has a bounded queue and room for results."""

    def __init__(
        self, simulation: "FleetSimulation", worker_id: str, capacity: StageCapacity
    ) -> None:
        self._simulation = simulation
        self._worker_id = worker_id
        self._capacity = capacity
        self._lock = asyncio.Lock()
        self._queued = 0
        self._results: dict[str, tuple[float, float]] = {}
        self.busy_seconds = 0.0
        self.calls = 0
        self.pieces = 0

    async def send_call(self, call: StageCall) -> list[PieceResult] | None:
        await asyncio.sleep(HOP_SECONDS)
        if self._queued > self._capacity.queue:
            return None
        self._queued += 1
        try:
            async with self._lock:
                return await self._run_call(call)
        finally:
            self._queued -= 1

    async def _run_call(self, call: StageCall) -> list[PieceResult]:
        results, seconds = [], self._capacity.call_seconds
        now = clock.now()
        self._results = {key: item for key, item in self._results.items() if item[1] > now}
        for stage_item in call.stage_items:
            used = sum(size for size, _ in self._results.values())
            if used + stage_item.result_bytes > self._capacity.room_bytes:
                results.append(PieceResult(PieceOutcome.NO_ROOM))
                continue
            handle = f"h{self._simulation.next_number()}"
            work = self._simulation.work_share(stage_item.order.call_id, stage_item.order.stage)
            seconds += work * self._capacity.piece_seconds
            until = now + seconds + self._capacity.result_seconds
            self._results[handle] = (stage_item.result_bytes, until)
            self._simulation.record_result(handle, self._worker_id, stage_item.result_bytes)
            self._simulation.record_read(stage_item.order.inputs, self._worker_id)
            results.append(PieceResult(PieceOutcome.DONE, handle))
        seconds *= self._simulation.slowness(self._worker_id)
        self.busy_seconds += seconds
        self.calls += 1
        self.pieces += len(call.stage_items)
        await asyncio.sleep(seconds)
        return results

    @property
    def busy(self) -> bool:
        return self._queued > 0

    def free_results(self, handles: list[str]) -> None:
        for handle in handles:
            self._results.pop(handle, None)

    @property
    def free_bytes(self) -> float:
        return self._capacity.room_bytes - sum(size for size, _ in self._results.values())


class SimulatedEngine:
    """An engine that reads prompts one after the other and caches their shared parts."""

    def __init__(self, capacity_tokens: int, tokens_per_second: float) -> None:
        self._memory = PrefixCache(capacity_tokens)
        self._tokens_per_second = tokens_per_second
        self._read_until = 0.0

    def read(self, prompt: PromptShape) -> float:
        """Read a prompt; returns the seconds until its first event."""
        now = clock.now()
        unread = prompt.total_tokens - self._memory.cached_tokens(prompt.shared_parts)
        self._memory.touch(prompt.shared_parts, now)
        self._read_until = max(now, self._read_until) + unread / self._tokens_per_second
        return self._read_until - now + FIRST_EVENT_SECONDS


class SimulatedRelay(NoRelay):
    """A relay without members, as gateways whose links never fail need none."""

    def retain_only(self, worker_ids: object) -> None:
        """Do nothing."""

    def drop_member(self, name: str) -> None:
        """Do nothing."""


def replace_network(simulation: "FleetSimulation", patch: pytest.MonkeyPatch) -> None:
    """Replace sockets by the simulated environment."""
    _set_heartbeat_interval(simulation, patch)
    _replace_links(simulation, patch)
    _replace_peers(simulation, patch)
    _replace_stage_workers(simulation, patch)
    _replace_engines(simulation, patch)


def _set_heartbeat_interval(simulation: "FleetSimulation", patch: pytest.MonkeyPatch) -> None:
    members = sum(simulation.scenario.nodes_by_zone.values())
    # Sends heartbeats at the interval of the simulated deployment.
    seconds = simulation.scenario.heartbeat_seconds
    for name, size_factor in (
        ("MAX_HEARTBEAT_BYTES_PER_SECOND", 1.0),
        ("MAX_OWNER_BYTES_PER_SECOND", 3.0),
    ):
        patch.setattr(
            heartbeat_rate,
            name,
            size_factor * members * heartbeat_rate.INITIAL_HEARTBEAT_BYTES / seconds,
        )


def _replace_links(simulation: "FleetSimulation", patch: pytest.MonkeyPatch) -> None:
    class Link:
        def __init__(self, on_message: Callable[[bytes], None]) -> None:
            self._on_message = on_message

        async def open(self, address: str) -> None:
            self._address = address
            simulation.links[address] = self._on_message

        def send(self, data: bytes, address: str) -> None:
            if simulation.is_cut(self._address, address):
                return
            loop = asyncio.get_running_loop()
            loop.call_later(HOP_SECONDS, simulation.links.get(address, _drop_datagram), data)

    patch.setattr(heartbeats, "DatagramLink", Link)


def _replace_peers(simulation: "FleetSimulation", patch: pytest.MonkeyPatch) -> None:
    class Peers:
        def __init__(self, on_silence: object, received: object) -> None:
            self._address = simulation.new_node_address

        async def request(
            self,
            address: str,
            path: str,
            message: bytes = b"",
            timeout_seconds: float = float("inf"),
            **options: object,
        ) -> bytes | PeerFailure:
            if simulation.is_cut(self._address, address):
                await asyncio.sleep(min(PEER_CONNECT_TIMEOUT_SECONDS, timeout_seconds))
                return PeerFailure.BROKEN
            await asyncio.sleep(HOP_SECONDS + REQUEST_HANDLING_SECONDS)
            target = simulation.nodes.get(address) or simulation.nodes_gone[address]
            answer = await _handle_peer_request(target, path, message)
            if simulation.is_cut(self._address, address):
                await asyncio.sleep(min(PEER_SILENCE_SECONDS, timeout_seconds))
                return PeerFailure.SILENT
            await asyncio.sleep(HOP_SECONDS)
            return answer

    patch.setattr(node, "PeerClient", Peers)


def _replace_stage_workers(simulation: "FleetSimulation", patch: pytest.MonkeyPatch) -> None:
    class Caller:
        def __init__(self, *ports: object) -> None:
            """Replace a client that is connected to workers."""

        async def run_call(
            self, worker: WorkerRecord, call: StageCall, known: dict[str, None], outlast: object
        ) -> list[PieceResult] | None:
            return await simulation.workers[worker.worker_id].send_call(call)

        async def free_results(self, worker: WorkerRecord, handles: list[str]) -> None:
            await asyncio.sleep(HOP_SECONDS)
            simulation.workers[worker.worker_id].free_results(handles)

        async def fetch_report(self, worker: WorkerRecord) -> StageWorkerReport:
            await asyncio.sleep(2 * HOP_SECONDS)
            return StageWorkerReport(simulation.workers[worker.worker_id].free_bytes)

    patch.setattr(node, "WorkerClient", lambda _, received, __: SimpleNamespace(received=received))
    patch.setattr(worker_access, "RelayClient", lambda *parts: SimulatedRelay())
    patch.setattr(node, "StageWorkerClient", Caller)


def _replace_engines(simulation: "FleetSimulation", patch: pytest.MonkeyPatch) -> None:
    async def take_answer(exchanges: EngineExchanges, attempt: Attempt) -> RelayEnd:
        call = exchanges._call
        prompt = call.envelope.prompt
        simulation.record_read(exchanges._plan.final_handles(), attempt.worker.worker_id)
        await asyncio.sleep(simulation.engines[attempt.worker.worker_id].read(prompt))
        simulation.engine_runs[call.call_id] += 1
        simulation.first_event_at[call.call_id] = clock.now()
        exchanges._relay.on_first_event()
        await asyncio.sleep(prompt.tokens_out * EVENT_SECONDS)
        simulation.rooms.end(attempt.worker)
        return RelayEnd.COMPLETE

    async def attempt_call(
        services: CallServices,
        call: OpaqueCall,
        worker: WorkerRecord,
        *others: object,
        **options: object,
    ) -> Attempt:
        call.may_have_run = True
        call.workers_tried.append(worker.worker_id)
        simulation.sent_at.setdefault(worker.worker_id, []).append(clock.now())
        if simulation.scenario.limits:
            rate = simulation.scenario.limits.get(worker.worker_id)
            headers = {} if rate is None else {"Server-Limit": str(rate)}
            services.statements.record_response(worker, HTTPStatus.OK, headers)
        if simulation.scenario.room is not None:
            accepted = simulation.rooms.try_begin(worker)
            if accepted:
                await simulation.rooms.wait_for_head(worker)
            status = HTTPStatus.OK if accepted else HTTPStatus.SERVICE_UNAVAILABLE
            services.statements.record_response(worker, status, simulation.rooms.headers)
            if not accepted:
                call.may_have_run = False
                services.leases.release(call.call_id, worker.worker_id, rejected=True)
                return Attempt(worker, AttemptOutcome.NOT_RUN)
        if simulation.notices.record_request(services, worker):
            call.may_have_run = False
            return Attempt(worker, AttemptOutcome.NOT_RUN)
        return Attempt(worker, AttemptOutcome.ANSWERED)

    patch.setattr(EngineExchanges, "_relay_answer", take_answer)
    patch.setattr(StreamAnswer, "finished", lambda answer: "served")
    patch.setattr(engine_exchange, "attempt_call", attempt_call)


async def _handle_peer_request(target: node.Node, path: str, message: bytes) -> bytes:
    decode = msgspec.msgpack.decode
    if path == PIECES_PATH:
        return msgspec.msgpack.encode(
            await target.stage_owner.run_pieces(decode(message, type=StageWork))
        )
    if path == FREE_PATH:
        results = decode(message, type=FreeResults)
        target.stage_owner.free_results(results.worker_id, results.handles)
        return b""
    engines = target._peer_server._prompt_queues
    if path == PREFILL_REQUEST_PATH:
        return msgspec.msgpack.encode(
            await engines.grant_or_wait(decode(message, type=PromptRequest))
        )
    if path == LIMIT_GRANT_PATH:
        request = decode(message, type=LimitGrantRequest)
        owner = target._peer_server._limit_owner
        return msgspec.msgpack.encode(await owner.grant_or_wait(request))
    if path == LEASE_RELEASE_PATH:
        target._peer_server._limit_owner.release_lease(decode(message, type=LeaseRelease))
        return b""
    if path == RETURN_CLAIM_PATH:
        key = decode(message, type=ReturnClaimRequest).key
        state = target.services.return_offers.keeper.take(key)
        return msgspec.msgpack.encode(ReturnClaimAnswer(state))
    if path == PREFILL_DONE_PATH:
        engines.record_done(decode(message, type=PrefillDone))
        return b""
    if path == WITHDRAW_PATH:
        # The cancelled request has withdrawn its pieces already.
        return b""
    raise AssertionError(path)


def _drop_datagram(data: bytes) -> None:
    """Drop a datagram to an unknown address."""


def _nothing() -> None:
    """Do nothing."""
