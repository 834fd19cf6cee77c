"""Exports metrics that are computed from the state of a gateway at each scrape."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from corkcrank.contracts import clock
from corkcrank.links.platform_ports import StoreTable
from corkcrank.node.calls.services import CallServices
from corkcrank.node.stages.stage_owner import StageOwner
from corkcrank.scheduling.request_quarantine import RequestState


class StateCollector(Collector):
    """Collects store calls and ages, repeats left, quarantined requests, limits and queues.

    Computing them at a scrape adds no cost to calls. Label values are names of the
    configuration, of tables and of workers.
    """

    def __init__(self, services: CallServices, stage_owner: StageOwner) -> None:
        self._services = services
        self._stage_owner = stage_owner

    def describe(self) -> list[Metric]:
        """Return nothing: the label values are known only once there are samples."""
        return []

    def collect(self) -> Iterator[Metric]:
        """Return the current values."""
        now = clock.now()
        yield self._store_calls()
        yield self._store_ages(now)
        yield self._repeats_left(now)
        yield self._requests(now)
        yield self._prompt_parts(now)
        yield self._evacuated_zones()
        yield self._warming_workers(now)
        yield self._limited_workers(now)
        yield self._worker_paces(now)
        yield from self._queues()

    def _store_calls(self) -> Metric:
        family = CounterMetricFamily(
            "corkcrank_store_calls", "Calls to the store.", labels=("table", "answer")
        )
        for key, count in self._services.mirror.call_counts.items():
            table, _, answer = key.partition(":")
            family.add_metric((table, answer), count)
        return family

    def _store_ages(self, now: float) -> Metric:
        family = GaugeMetricFamily(
            "corkcrank_store_age_seconds",
            "Time since the store last answered this gateway or a peer that sends it updates.",
            labels=("table",),
        )
        for table in (StoreTable.CONFIGURATION, StoreTable.WORKERS):
            age = self._services.mirror.answer_age(table, now)
            reported_age = now - self._services.fleet.store_confirmed_at(table)
            family.add_metric((table.value,), min(age, reported_age))
        return family

    def _repeats_left(self, now: float) -> Metric:
        family = GaugeMetricFamily(
            "corkcrank_repeats_left", "Repeats that this gateway may send now.", labels=("service",)
        )
        for service, left in self._services.repeats_left(now).items():
            family.add_metric((service,), left)
        return family

    def _requests(self, now: float) -> Metric:
        family = GaugeMetricFamily(
            "corkcrank_requests_that_crash",
            "Requests suspected of crashing workers, by state of the quarantine.",
            labels=("state",),
        )
        quarantine = self._services.crash_watch.quarantine
        states = Counter(
            quarantine.state(request, now) for request in quarantine.records.requests()
        )
        for state in (RequestState.SUSPECTED, RequestState.QUARANTINED, RequestState.PROBATION):
            family.add_metric((state.value,), states[state])
        return family

    def _prompt_parts(self, now: float) -> Metric:
        family = GaugeMetricFamily(
            "corkcrank_prompt_parts_that_crash",
            "Prompt parts under which workers crash, by state of the quarantine.",
            labels=("state",),
        )
        quarantine = self._services.crash_watch.quarantine
        states = Counter(quarantine.state(part, now) for part in quarantine.blamed_parts(now))
        for state in (RequestState.QUARANTINED, RequestState.PROBATION):
            family.add_metric((state.value,), states[state])
        return family

    def _evacuated_zones(self) -> Metric:
        zones = len(self._services.mirror.workers.evacuated)
        return GaugeMetricFamily(
            "corkcrank_evacuated_zones", "Zones whose workers get no calls.", value=zones
        )

    def _warming_workers(self, now: float) -> Metric:
        family = GaugeMetricFamily(
            "corkcrank_warming_workers",
            "Workers whose call rate is limited while they warm up, by service.",
            labels=("service",),
        )
        services = Counter(worker.service for worker in self._services.limits.warming(now))
        for service, count in services.items():
            family.add_metric((service,), count)
        return family

    def _limited_workers(self, now: float) -> Metric:
        """Return how many workers state a rate limit in their responses to gateways, by service."""
        family = GaugeMetricFamily(
            "corkcrank_limited_workers",
            "Workers that state a limit of requests per second, by service.",
            labels=("service",),
        )
        services: Counter[str] = Counter()
        for worker_id, limit in self._services.statements.limits:
            worker = self._services.mirror.workers.get(worker_id)
            if worker is not None and limit.rate_at(now) is not None:
                services[worker.service] += 1
        for service, count in services.items():
            family.add_metric((service,), count)
        return family

    def _worker_paces(self, now: float) -> Metric:
        """Return the pace of the workers that state one; at most as many as are listed."""
        family = GaugeMetricFamily(
            "corkcrank_worker_pace",
            "How long work takes at a worker now, relative to the mean of its service.",
            labels=("worker",),
        )
        paces = self._services.paces
        for worker in self._services.mirror.workers.records():
            if paces.stated(worker.worker_id) is not None:
                factor = paces.factor(worker.worker_id, worker.service, now)
                family.add_metric((worker.worker_id,), round(factor, 3))
        return family

    def _queues(self) -> Iterator[Metric]:
        labels = ("worker",)
        waiting = GaugeMetricFamily(
            "corkcrank_stage_pieces_waiting", "Pieces waiting for a stage worker.", labels=labels
        )
        used = GaugeMetricFamily(
            "corkcrank_stage_room_used_bytes", "Result memory in use or reserved.", labels=labels
        )
        wanted = GaugeMetricFamily(
            "corkcrank_stage_room_wanted_bytes",
            "Result memory that waiting pieces need.",
            labels=labels,
        )
        for worker_id, queue in self._stage_owner.queues():
            waiting.add_metric((worker_id,), queue.waiting)
            used.add_metric((worker_id,), queue.room_used)
            wanted.add_metric((worker_id,), queue.room_wanted)
        yield from (waiting, used, wanted)
