"""The prompt queues that a gateway keeps as owner, by zone and service of the engines."""

from collections.abc import Callable, Collection

from corkcrank.contracts import clock
from corkcrank.machines.heartbeat import PromptLoad
from corkcrank.node.engines.engine_owner import EngineOwner
from corkcrank.node.engines.prompt_reports import PromptReports
from corkcrank.node.engines.zone_prompts import ZonePrompts
from corkcrank.node.peers.peer_protocol import (
    PrefillDone,
    PrefillGrant,
    PromptGrant,
    PromptRequest,
)
from corkcrank.scheduling.worker_pace import WorkerPaces

LOAD_REPORT_SECONDS = 5.0
"""Time after its last request for which a queue's load is reported."""


class PromptQueues:
    """Answers requests for engines: from a queue if prompts are queued, immediately otherwise.

    ``queues_prompts`` returns whether the prompts of a service are queued.
    """

    def __init__(
        self,
        owner: EngineOwner,
        paces: WorkerPaces,
        reports: PromptReports,
        queues_prompts: Callable[[str], bool],
    ) -> None:
        self.owner = owner
        self._paces = paces
        self._reports = reports
        self.queues_prompts = queues_prompts
        self._zones: dict[tuple[str, str], ZonePrompts] = {}
        self._used_at: dict[tuple[str, str], float] = {}

    async def grant_or_wait(self, request: PromptRequest) -> PrefillGrant | PromptGrant:
        """Grant, hold or refuse a request; ignore invalid terms."""
        terms = request.terms
        if terms is None or not self.queues_prompts(request.service):
            return self.owner.grant_request(request)
        if not terms.is_valid:
            self._reports.record_bad_terms(request.call_id, terms)
            return self.owner.grant_request(request)
        self.owner.apply_reports(request)
        zone = self._zone(request.service, request.zone)
        return await zone.grant_or_wait(request, terms)

    def record_done(self, message: PrefillDone) -> None:
        """Record that a prompt was read or withdrawn."""
        self.owner.apply_backoffs(message)
        self.owner.release_grant(message)
        for zone in self._zones.values():
            if zone.service == message.service:
                zone.record_done(message.call_id, read=message.read)

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the state of engines that are no longer listed."""
        for zone in self._zones.values():
            zone.engines.retain_only(worker_ids)

    def loads(self) -> tuple[PromptLoad, ...]:
        """Return the loads of the queues in use, for heartbeats."""
        now = clock.now()
        return tuple(
            self._zones[key].load(now)
            for key, used_at in self._used_at.items()
            if used_at + LOAD_REPORT_SECONDS > now
        )

    def load(self, service: str, zone: str) -> PromptLoad | None:
        """Return the load of one queue, ``None`` if this gateway has no queue for these engines."""
        queue = self._zones.get((service, zone))
        return queue.load(clock.now()) if queue is not None else None

    def zones(self) -> tuple[ZonePrompts, ...]:
        """Return the queues, for the state dump."""
        return tuple(self._zones.values())

    def _zone(self, service: str, zone: str) -> ZonePrompts:
        key = service, zone
        self._used_at[key] = clock.now()
        if key not in self._zones:
            self._zones[key] = ZonePrompts(
                service,
                zone,
                self.owner,
                lambda worker_id: self._paces.factor(worker_id, service, clock.now()),
                self._reports,
            )
        return self._zones[key]
