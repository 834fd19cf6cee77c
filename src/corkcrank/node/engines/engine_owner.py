"""Prefill grants for a zone's engines, issued by their owner."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.owner_use import OwnerUse
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.peers.peer_protocol import PrefillDone, PrefillGrant, PrefillRequest
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.scheduling.engine_choice import EngineChooser, EngineQuestion
from corkcrank.scheduling.prefill_grants import PrefillGrants
from corkcrank.scheduling.prefill_isolation import PrefillIsolation
from corkcrank.scheduling.prefill_pace import PrefillPace
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable


@dataclass(frozen=True, slots=True)
class GrantCandidates:
    """Engines that may read a prompt now, the waits of all engines by id, and the comparison."""

    available: list[WorkerRecord]
    waits: dict[str, float]
    question: EngineQuestion
    capacity: int


class EngineOwner:
    """The owner's side of prefill grants.

    It serves requests even if it does not consider itself the owner: gateways may disagree about
    the owner for a short time.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        chooser: EngineChooser,
        worker_statistics: WorkerStatisticsTable,
        limits: WorkerLimits,
        statements: WorkerStatements,
        pace: PrefillPace,
    ) -> None:
        self._mirror = mirror
        self._worker_statistics = worker_statistics
        self._pace = pace
        self._limits = limits
        self._statements = statements
        self._chooser = chooser
        self._grants = PrefillGrants(chooser, worker_statistics)
        self._isolation = PrefillIsolation()
        self.use = OwnerUse()
        """Time of the last request for a grant."""

    def grant_request(self, request: PrefillRequest) -> PrefillGrant:
        """Grant an engine of a zone to a prompt."""
        self.apply_reports(request)
        now = clock.now()
        candidates = self.candidates(request, now)
        return self.grant_from(candidates.available, request, candidates, now)

    def apply_reports(self, request: PrefillRequest) -> None:
        """Apply the requester's reports of the engines' limits."""
        self._statements.apply_reports(request.limits, "asker")
        self._statements.apply_brittleness_reports(request.brittle, "asker")
        self.use.record_use(clock.now())

    def candidates(self, request: PrefillRequest, now: float) -> GrantCandidates:
        """Return the engines of a zone that may read a prompt.

        A rate-limited engine never exceeds its limit, even if it is preferred. Otherwise a zone
        whose engines warm up together would fail again immediately.
        """
        configuration = self._mirror.configuration
        engines = self._mirror.workers.usable_in_zone(request.service, request.zone)
        question = EngineQuestion(
            prompt=request.prompt,
            excluded=request.excluded,
            penalties=self._isolation.penalties(engines, long=request.long, now=now),
            max_consecutive_tokens=self._pace.max_consecutive_tokens_for_routes(
                configuration, request.service
            ),
            repeatable=request.repeatable,
            ignore_backoffs=True,
            factors=self._statements.paces.factors(
                [engine.worker_id for engine in engines], request.service, clock.now()
            ),
        )
        staying = [
            engine
            for engine in engines
            if request.version in ("", engine.version)
            and not self._worker_statistics.has_left(engine.worker_id, now)
        ]
        waits = {
            engine.worker_id: self._limits.seconds_until_grant(engine, now) for engine in staying
        }
        available = [engine for engine in staying if waits[engine.worker_id] <= 0]
        return GrantCandidates(available, waits, question, self.capacity(request.service))

    def open_engines(self, service: str, zone: str, now: float) -> list[str]:
        """Return the ids of a zone's engines that accept prompts now."""
        return [
            engine.worker_id
            for engine in self._mirror.workers.usable_in_zone(service, zone)
            if not self._worker_statistics.has_left(engine.worker_id, now)
            and self._limits.seconds_until_grant(engine, now) <= 0
        ]

    def capacity(self, service: str) -> int:
        """Return the tokens that one engine's memory holds, 0 if unknown."""
        profile = self._mirror.profile(service)
        return profile.engine.cache_tokens if profile and profile.engine else 0

    def rank(
        self, candidates: GrantCandidates, reading: Mapping[str, int], now: float
    ) -> list[WorkerRecord]:
        """Return the candidates for a prompt, best first, given the tokens being read."""
        question = replace(candidates.question, reading=reading)
        return self._chooser.rank(candidates.available, question, self._worker_statistics, now)

    def unread_tokens(self, worker_id: str, prompt: PromptShape) -> int:
        """Return the tokens of a prompt that an engine would have to read."""
        return self._chooser.unread_tokens(worker_id, prompt)

    def tokens_per_second(self, service: str) -> float:
        """Return the measured pace of a service's engines."""
        return self._pace.tokens_per_second(service)

    def grant_from(
        self,
        engines: Sequence[WorkerRecord],
        request: PrefillRequest,
        candidates: GrantCandidates,
        now: float,
    ) -> PrefillGrant:
        """Grant the best of ``engines``, which are among the candidates."""
        question, capacity = candidates.question, candidates.capacity
        engine = self._grants.grant(request.call_id, engines, question, capacity, now)
        if engine is None:
            deferred_waits = [wait for wait in candidates.waits.values() if wait > 0]
            return PrefillGrant("", bool(deferred_waits), min(deferred_waits, default=0.0))
        self._limits.record_grant(engine, now)
        leased = self._limits.grant_lease(engine, request.call_id, request.seconds, now)
        return PrefillGrant(engine.worker_id, leased=leased)

    def apply_backoffs(self, message: PrefillDone) -> None:
        """Apply the backoffs that engines requested after this owner granted them a call.

        Heartbeats report them too, but in a large fleet only after dozens of grants.
        """
        self._statements.apply_backoff_reports(message.backoffs, "asker")

    def release_grant(self, message: PrefillDone) -> None:
        """Release the grant of a prompt that was read or withdrawn."""
        granted = self._grants.release_grant(message.call_id)
        if granted is not None and message.read:
            tokens, granted_at = granted
            self._pace.observe_prefill(message.service, tokens, clock.now() - granted_at)
