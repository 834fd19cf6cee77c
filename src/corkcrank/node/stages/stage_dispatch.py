"""Forecasts the load of stage workers and sends pieces of local calls to their owners."""

import functools
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_configuration import StageCapacity
from corkcrank.contracts.urgency import DownstreamOrder, Rank, Urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_pools import pool_for_worker
from corkcrank.node.peers.peer_client import PeerClient
from corkcrank.node.peers.peer_protocol import FreeResults, StageAnswer, StageWork
from corkcrank.node.stages.stage_owner import StageOwner
from corkcrank.node.stages.stage_owner_client import StageOwnerClient
from corkcrank.scheduling.call_admission import StageForecast
from corkcrank.scheduling.stage_choice import StagePlacing, choose_stage_worker
from corkcrank.scheduling.stage_queue import QueueForecast
from corkcrank.scheduling.unseen_calls import unseen_wait_seconds
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

SENT_PIECES_SECONDS = 0.6
"""Time for which pieces sent to a peer are added to the load in its last report."""

TURNOVER_CALLS = 2.5
"""Usual time for which a result occupies memory at a peer's worker, in full calls."""

MIN_RATE_SHARE_LEFT = 0.2
"""Minimum share of a service's rate that is assumed available despite more urgent ranks."""


@dataclass(slots=True)
class _SentPieces:
    at: float
    pieces: int
    rank: Rank


class StageDispatch:
    """Chooses stage workers by forecast load, and sends pieces to their owners.

    ``downstream_order`` is the order of calls at stages that read results of an earlier stage.
    ``weighs_zones`` returns whether choices for a stage service depend on the state of zones.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        fleet: Fleet,
        worker_statistics: WorkerStatisticsTable,
        stage_owner: StageOwner,
        peers: PeerClient,
        random_source: random.Random,
    ) -> None:
        self._mirror = mirror
        self._fleet = fleet
        self._worker_statistics = worker_statistics
        self._stage_owner = stage_owner
        self._random = random_source
        self._sent: dict[str, list[_SentPieces]] = {}
        self.downstream_order = DownstreamOrder.DUE
        self.weighs_zones: Callable[[str], bool] = lambda service: False
        self.owner_client = StageOwnerClient(fleet, peers, random_source)
        self.owner_client.on_unused_answer = self._free_unused_answer
        stage_owner.inputs.free_results = self._free_consumed_inputs

    def get_worker(self, worker_id: str) -> WorkerRecord | None:
        """Return a listed worker by its id, or ``None``."""
        return self._mirror.workers.get(worker_id)

    def service_capacity(self, service: str) -> StageCapacity | None:
        """Return the stated capacity of a service's workers."""
        profile = self._mirror.profile(service)
        return profile.stage if profile is not None else None

    def owner_of(self, worker: WorkerRecord, now: float) -> str:
        """Return the name of the member that owns the queues of a worker's pool."""
        pool = pool_for_worker(self._mirror.workers, worker)
        return self._fleet.zone_owner(pool.zone, pool.key, now)

    def forecast(
        self,
        worker: WorkerRecord,
        urgency: Urgency,
        pieces: int,
        size: float,
        *,
        claimed: bool = False,
    ) -> QueueForecast:
        """Return when pieces would start and end at a worker, by its most recent known load."""
        now = clock.now()
        queue = self._stage_owner.get_queue(worker.worker_id)
        owner = self.owner_of(worker, now)
        if owner == self._fleet.local_name and queue is not None:
            return queue.forecast(now, urgency.to_local_clock(now), pieces, size)
        return self._forecast_from_report(worker, owner, urgency, pieces, size, claimed=claimed)

    def _forecast_from_report(
        self,
        worker: WorkerRecord,
        owner: str,
        urgency: Urgency,
        pieces: int,
        size: float,
        *,
        claimed: bool,
    ) -> QueueForecast:
        now = clock.now()
        capacity = self.service_capacity(worker.service)
        if capacity is None:
            return QueueForecast(float("inf"), float("inf"))
        member = self._fleet.member(owner)
        start, waiting, reported_at, room = 0.0, 0, 0.0, capacity.room_bytes
        if member is not None:
            reported_at = member.received_at
            for load in member.heartbeat.stage_loads:
                if load.worker_id == worker.worker_id:
                    start = load.start_seconds(urgency.rank, first=claimed)
                    start = max(0.0, start - (now - reported_at))
                    waiting, room = load.pieces_and_room(urgency.rank, first=claimed)
        since = max(reported_at, now - SENT_PIECES_SECONDS)
        sent = self._recently_sent(worker.worker_id, since, urgency.rank)
        position = waiting % capacity.batch + sent + pieces
        start += (position - 1) // capacity.batch * capacity.full_call_seconds
        if sent and start == 0.0:
            start = capacity.full_call_seconds
        missing = (sent + pieces) * size - room
        if missing > 0 and capacity.room_bytes > 0:
            start = max(
                start, TURNOVER_CALLS * capacity.full_call_seconds * missing / capacity.room_bytes
            )
        batch = min(capacity.batch, position)
        seconds = capacity.call_seconds + batch * capacity.piece_seconds
        seconds *= self._stage_owner.paces.factor(worker.worker_id, worker.service, now)
        return QueueForecast(start, start + seconds)

    def news_age(self, worker: WorkerRecord) -> float | None:
        """Return the age of a worker's known load in seconds, ``None`` if its load is unknown.

        The load in an owned queue has the age 0.
        """
        now = clock.now()
        owner = self.owner_of(worker, now)
        if owner == self._fleet.local_name:
            return 0.0
        member = self._fleet.member(owner)
        return None if member is None else now - member.received_at

    def waiting(self, worker: WorkerRecord) -> int:
        """Return the number of pieces queued for a worker, by its most recent known load."""
        queue = self._stage_owner.get_queue(worker.worker_id)
        if queue is not None:
            return queue.waiting
        member = self._fleet.member(self.owner_of(worker, clock.now()))
        loads = member.heartbeat.stage_loads if member is not None else ()
        return sum(load.waiting for load in loads if load.worker_id == worker.worker_id)

    def choose_worker(
        self, placing: StagePlacing, excluded: Collection[str]
    ) -> tuple[WorkerRecord, QueueForecast] | None:
        """Return the best worker for the pieces of a placing, with its forecast."""
        return choose_stage_worker(
            self._mirror.workers.usable_workers(placing.service),
            lambda worker: self.forecast(
                worker, placing.urgency, placing.pieces, placing.size, claimed=placing.claimed
            ),
            placing,
            self._worker_statistics,
            clock.now(),
            excluded,
            self._random,
            self._unseen_wait_seconds,
        )

    def _unseen_wait_seconds(self, worker: WorkerRecord) -> float:
        """Return the wait behind calls that members of a silent zone may send to a worker."""
        if not self.weighs_zones(worker.service):
            return 0.0
        if not self._fleet.is_silent(worker.zone, clock.now()):
            return 0.0
        capacity = self.service_capacity(worker.service)
        return 0.0 if capacity is None else unseen_wait_seconds(capacity)

    def shortest_wait_in_zone(
        self, service: str, zone: str, urgency: Urgency, pieces: int, size: float
    ) -> float:
        """Return the shortest wait of a service's workers in a zone, in seconds.

        Without a worker in the zone, the work would run in another zone, which counts as the time
        of a full call.
        """
        capacity = self.service_capacity(service)
        waits = [
            self.forecast(worker, urgency, pieces, size).start
            for worker in self._mirror.workers.usable_in_zone(service, zone)
        ]
        return min(waits, default=capacity.full_call_seconds if capacity is not None else 0.0)

    def forecast_future_pieces(
        self, placing: StagePlacing, claimed_pieces: int = 0
    ) -> StageForecast | None:
        """Return when pieces of a call that has not reached this stage yet would start and end.

        The wait includes the pieces that admitted calls will request later, and grows with the
        requests of more urgent ranks. ``claimed_pieces`` are those of refused callers that return
        soon. They precede new calls, but not a call with a claim.
        """
        choice = self.choose_worker(placing, ())
        if choice is None:
            return None
        now = clock.now()
        service, rank = placing.service, placing.urgency.rank
        rate = self._service_rate(service)
        local = self._stage_owner.backlog
        last = (rank[0], rank[1] - 1) if placing.claimed else rank
        coming = 0 if placing.claimed else claimed_pieces
        coming += local.pieces_up_to(service, last)
        coming += self._fleet.reported_backlog(service, last, now)
        left = self._share_left(service, rank, rate, now)
        forecast = choice[1]
        start = (forecast.start + (coming / rate if rate else 0.0)) / left
        end = start + forecast.end - forecast.start
        return StageForecast(start, end, forecast.start)

    def free_rate(self, service: str, rank: tuple[int, int]) -> float:
        """Return the rate of a service that more urgent ranks leave to a rank, in pieces/s."""
        rate = self._service_rate(service)
        return rate * self._share_left(service, rank, rate, clock.now())

    def _share_left(self, service: str, rank: tuple[int, int], rate: float, now: float) -> float:
        """Return the share of a service's rate that more urgent ranks leave to a rank."""
        before = self._stage_owner.backlog.rate_before(service, rank, now)
        before += self._fleet.reported_rate_before(service, rank, now)
        return max(MIN_RATE_SHARE_LEFT, 1.0 - before / rate) if rate else 1.0

    def _service_rate(self, service: str) -> float:
        """Return the pieces per second that a service's workers complete with full batches."""
        capacity = self.service_capacity(service)
        workers = len(self._mirror.workers.usable_workers(service))
        if capacity is None or not workers:
            return 0.0
        return workers * capacity.pieces_a_second

    async def run_pieces(self, worker: WorkerRecord, work: StageWork) -> StageAnswer:
        """Send pieces to the owner of a worker and return its answer."""
        owner = self.owner_of(worker, clock.now())
        member = self._fleet.member(owner)
        if owner == self._fleet.local_name or member is None:
            return await self._stage_owner.run_pieces(work)
        sent = _SentPieces(clock.now(), len(work.pieces), work.urgency.rank)
        self._sent.setdefault(worker.worker_id, []).append(sent)
        return await self.owner_client.request_pieces(owner, member.heartbeat.address, work)

    def free_results(self, results: Iterable[tuple[str, WorkerRecord]]) -> None:
        """Free results, each given with the worker that stores it."""
        by_worker: dict[str, tuple[WorkerRecord, list[str]]] = {}
        for handle, worker in results:
            by_worker.setdefault(worker.worker_id, (worker, []))[1].append(handle)
        now = clock.now()
        for worker, handles in by_worker.values():
            owner = self.owner_of(worker, now)
            member = self._fleet.member(owner)
            if owner == self._fleet.local_name or member is None:
                self._stage_owner.free_results(worker.worker_id, handles)
                continue
            self.owner_client.free_results(
                member.heartbeat.address,
                worker.worker_id,
                tuple(handles),
                functools.partial(self._stage_owner.free_results, worker.worker_id, handles),
            )

    def _free_consumed_inputs(self, read: FreeResults) -> None:
        """Free results that a stage worker has read as inputs."""
        worker = self.get_worker(read.worker_id)
        if worker is not None:
            self.free_results([(handle, worker) for handle in read.handles])

    def _free_unused_answer(self, answer: StageAnswer) -> None:
        """Free the results of an answer to a cancelled question."""
        made = [(result.handle, self.get_worker(result.worker_id)) for result in answer.results]
        self.free_results(
            [(handle, maker) for handle, maker in made if handle and maker is not None]
        )

    def _recently_sent(self, worker_id: str, since: float, rank: Rank) -> int:
        """Return the pieces of this or more urgent ranks sent to a worker after ``since``."""
        sent = [item for item in self._sent.get(worker_id, ()) if item.at > since]
        if sent:
            self._sent[worker_id] = sent
        else:
            self._sent.pop(worker_id, None)
        return sum(item.pieces for item in sent if item.rank <= rank)
