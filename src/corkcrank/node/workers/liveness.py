"""Probes whether workers respond, with one probe for concurrent calls of a gateway."""

import asyncio
from http import HTTPStatus

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import StageCodec
from corkcrank.links.received_bytes import Purpose
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_request import SendFailure, WorkerRequest
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

PROBE_TIMEOUT_SECONDS = 0.3
"""Timeout of a probe: many round trips within a region."""

RECENT_SECONDS = 0.1
"""A worker that sent bytes within this time is not probed."""


class LivenessProbes:
    """Requests reports of workers, which need no slot. Concurrent calls share a request.

    A paused process accepts connections and requests but answers none.
    """

    def __init__(
        self, client: WorkerClient, codec: StageCodec, worker_statistics: WorkerStatisticsTable
    ) -> None:
        self._client = client
        self._codec = codec
        self._worker_statistics = worker_statistics
        self._probes: dict[str, asyncio.Task[bool]] = {}

    async def is_responsive(self, worker: WorkerRecord) -> bool:
        """Return whether a worker responds now or has sent bytes recently."""
        statistics = self._worker_statistics.get_or_create(worker.worker_id)
        if clock.now() - statistics.heard_at <= RECENT_SECONDS:
            return True
        probe = self._probes.get(worker.worker_id)
        if probe is None:
            probe = asyncio.create_task(self._probe(worker))
            self._probes[worker.worker_id] = probe
            probe.add_done_callback(lambda _: self._probes.pop(worker.worker_id, None))
        return await asyncio.shield(probe)

    async def close(self) -> None:
        """Cancel the probes in progress."""
        probes = list(self._probes.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    async def _probe(self, worker: WorkerRecord) -> bool:
        request = WorkerRequest(
            worker,
            "GET",
            self._codec.report_path,
            list(self._codec.run_headers(worker).items()),
            b"",
            PROBE_TIMEOUT_SECONDS,
            new_work=False,
        )
        statistics = self._worker_statistics.get_or_create(worker.worker_id)
        end_at = clock.now() + PROBE_TIMEOUT_SECONDS
        response = await self._client.send(request)
        if isinstance(response, SendFailure):
            statistics.unanswered_at = clock.now()
            return False
        left = max(0.0, end_at - clock.now())
        body = await self._client.read_body(response, left, purpose=Purpose.REPORT)
        if body is None:
            statistics.unanswered_at = clock.now()
            return False
        if response.status == HTTPStatus.MISDIRECTED_REQUEST:
            return False
        if response.status == HTTPStatus.OK:
            self._client.confirm(response)
        statistics.heard_at = clock.now()
        return True
