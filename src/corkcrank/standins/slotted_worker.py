"""Base class of the stand-ins for plain and stage workers: slots, faults, load report."""

import asyncio

from aiohttp import web

from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.messages import LoadReport
from corkcrank.standins.faults import FaultSwitch, json_response
from corkcrank.standins.queueing import PrioritySemaphore


class SlottedWorker:
    """A worker that runs up to ``slots`` calls at once, ``service_seconds`` each."""

    def __init__(self, worker: WorkerId, slots: int, service_seconds: float) -> None:
        self.switch = FaultSwitch()
        self._worker = worker
        self._semaphore = PrioritySemaphore(slots)
        self._service_seconds = service_seconds

    async def _handle_load(self, request: web.Request) -> web.Response:
        return json_response(
            LoadReport(
                worker=self._worker,
                leaving=self.switch.faults.leaving,
                running=self._semaphore.running,
                waiting=self._semaphore.waiting,
                slots=self._semaphore.slots,
                boot=self.switch.faults.boot,
            )
        )

    async def _work(self, rank: int) -> float:
        """Wait for a slot, occupy it for one call, and return the call's time in seconds."""
        await self._semaphore.enter(rank)
        try:
            seconds = self._service_seconds * self.switch.faults.slow_factor
            await asyncio.sleep(seconds)
        finally:
            self._semaphore.leave()
        return seconds
