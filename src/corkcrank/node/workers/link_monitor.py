"""Checks this gateway's links to workers after connection failures, and logs the results."""

import asyncio
import random
from collections.abc import Callable, Sequence
from enum import StrEnum

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.worker_probe import ProbeResult, probe_worker
from corkcrank.scheduling.link_health import LinkCheck, LinkHealth, sample_workers

PROBE_TIMEOUT_SECONDS = 0.3
"""Timeout of a connection attempt in a check: many round trips within a region."""

SAMPLE_WORKERS = 3
"""Number of workers in the sample of a check."""

CONFIRMATION_WORKERS = 6
"""Number of additional workers in a check that reached none, before it reports a partition. The
first workers may have failed at the same time."""

MIN_CHECK_INTERVAL_SECONDS = 1.0
"""Minimum interval of checks while no link is known to have failed."""

RECHECK_INTERVAL_SECONDS = 0.3
"""Interval of checks while a link is known to have failed."""

MAX_TIMER_LAG_SECONDS = 0.1
"""Maximum delay of a timer. If a check exceeds its timeouts by more, the event loop was delayed,
and the check is inconclusive."""

MAX_LOGGED_WORKERS = 8
"""Maximum number of workers in one log line."""


class LinkFailure(StrEnum):
    """The cause of a check."""

    NOT_CONNECTED = "not-connected"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"


class LinkMonitor:
    """Checks links on request, applies the results to :class:`LinkHealth`, and logs changes.

    ``on_partition`` is called when a partition begins or ends.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        health: LinkHealth,
        log: DecisionLog,
        metrics: NodeMetrics,
        random_source: random.Random,
    ) -> None:
        self._mirror = mirror
        self._log = log
        self._metrics = metrics
        self._random = random_source
        self._check_requested = asyncio.Event()
        self._cause = ""
        self.health = health
        self.on_partition: Callable[[], None] = lambda: None

    def record_failure(self, worker_id: str, failure: LinkFailure) -> None:
        """Request a check because a connection to a worker failed or is silent."""
        self._cause = f"{failure.value} {worker_id}"
        self._check_requested.set()

    def record_failed_link(self, worker: WorkerRecord, peer: str) -> None:
        """Record that a peer reaches a worker to which this gateway could not connect."""
        if self.health.record_failed_link(worker.worker_id, clock.now()):
            self._log.write(
                LogEvent.LINK_FAILED,
                worker=worker.worker_id,
                service=worker.service,
                zone=worker.zone,
                reached_by=peer,
            )
        self._check_requested.set()

    def record_unreachable_for_peers(self, worker_id: str) -> None:
        """Record that a peer cannot reach a worker either, so that the link has not failed."""
        self.health.record_link(worker_id)

    async def check_links(self) -> None:
        """Check links when requested, and repeatedly while a link is known to have failed."""
        while True:
            await self._check_requested.wait()
            self._check_requested.clear()
            await self._check()
            if self.health.partitioned or self.health.failed_links:
                self._check_requested.set()
                await asyncio.sleep(RECHECK_INTERVAL_SECONDS)
            else:
                await asyncio.sleep(MIN_CHECK_INTERVAL_SECONDS)

    async def _check(self) -> None:
        listed = {record.worker_id for record in self._mirror.workers.records()}
        self.health.retain_only(listed)
        check = await self._connect_to_sample()
        if check is None:
            self._check_requested.set()
            return
        for worker_id in check.reached:
            if self.health.record_link(worker_id):
                self._log.write(LogEvent.LINK_RESTORED, worker=worker_id)
        since = self.health.partitioned_since
        if self.health.apply_check(check, clock.now()):
            self._record_change(check, since)

    def _record_change(self, check: LinkCheck, since: float | None) -> None:
        partitioned = self.health.partitioned
        self._metrics.partitions.labels("begun" if partitioned else "ended").inc()
        self._log.write(
            LogEvent.WORKERS_UNREACHABLE if partitioned else LogEvent.WORKERS_REACHABLE,
            reached=len(check.reached),
            unreached=len(check.unreached),
            workers=(check.unreached or check.reached)[:MAX_LOGGED_WORKERS],
            cause=self._cause,
            seconds=0.0 if since is None else round(clock.now() - since, 3),
        )
        self.on_partition()

    async def _connect_to_sample(self) -> LinkCheck | None:
        """Connect to a sample of workers; return ``None`` if the event loop stalled."""
        records = self._mirror.workers.records()
        usable = [record for record in records if self._mirror.workers.accepts_work(record)]
        failed = set(self.health.failed_links)
        first = sample_workers(usable, SAMPLE_WORKERS, self._random)
        first += [item for item in usable if item.worker_id in failed and item not in first][
            :SAMPLE_WORKERS
        ]
        check = await self._connect(first)
        if check is None or check.reached or self.health.partitioned:
            return check
        others = [item for item in usable if item not in first]
        confirmation = await self._connect(
            sample_workers(others, CONFIRMATION_WORKERS, self._random)
        )
        if confirmation is None:
            return None
        return LinkCheck(confirmation.reached, check.unreached + confirmation.unreached)

    async def _connect(self, workers: Sequence[WorkerRecord]) -> LinkCheck | None:
        started = clock.loop_time()
        results = await asyncio.gather(
            *(probe_worker(worker.address, PROBE_TIMEOUT_SECONDS) for worker in workers)
        )
        if clock.loop_time() - started > PROBE_TIMEOUT_SECONDS + MAX_TIMER_LAG_SECONDS:
            return None
        connected = {
            worker.worker_id
            for worker, result in zip(workers, results, strict=True)
            if result is ProbeResult.CONNECTED
        }
        ids = [worker.worker_id for worker in workers]
        return LinkCheck(
            tuple(item for item in ids if item in connected),
            tuple(item for item in ids if item not in connected),
        )
