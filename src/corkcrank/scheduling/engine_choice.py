"""Choice of the model engine for a prompt, by the tokens to prefill before the first event.

The cost of an engine is its backlog of unread prompt tokens, plus the tokens of the new prompt that
its prefix cache does not hold. Gateways report to each other the shared parts sent to each engine
and the unread tokens. The costs therefore cover the whole fleet, with a lag of some hundred
milliseconds. Ties go to the engine with the highest rendezvous hash, which is the same in every
gateway.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from corkcrank.contracts.opaque_call import PrefixPart, PromptShape
from corkcrank.contracts.rendezvous import weighted_rendezvous_score
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.worker_choice import WorkerStatistics, WorkerStatisticsTable

REREAD_COST_FACTOR = 4.0
"""Extra cost of each token that another engine has cached and this one would read again."""

CACHED_ELSEWHERE_SECONDS = 10.0
"""Time for which a part counts as cached at the engine that read it."""

FAILURE_COST_TOKENS = 6_000.0
"""Cost of one recent failure, in tokens."""

EJECTION_COST_TOKENS = 12_000.0
"""Cost of an ejection in tokens: about one long prompt. Longer queues at the other engines outweigh
it, so that calls do not pile up on the few remaining engines."""

PEERS_BACKOFF_COST_TOKENS = 12_000.0
"""Cost in tokens of an engine that requested a backoff from another gateway."""

EXCESS_FAILURE_COST_TOKENS = 12_000.0
"""Cost in tokens of an excess failure rate of 1. The prompt of a failed call is read again by
another engine, and its stage results occupy memory meanwhile."""

STREAM_DELAY_COST_FACTOR = 5.0
"""Extra cost of each token read in a row beyond the limit that delays the engine's streams."""

IN_FLIGHT_CALL_COST_TOKENS = 60.0
"""Cost of each call in flight, in tokens: each call makes every engine step longer."""

COST_TIE_TOKENS = 400.0
"""Costs are compared in units of this many tokens; the hash breaks ties."""


@dataclass(slots=True)
class _CachedPart:
    tokens: int
    used_at: float


class PrefixCache:
    """Shared parts that one engine's prefix cache probably holds, least recently used first."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._parts: OrderedDict[str, _CachedPart] = OrderedDict()
        self._tokens = 0

    def cached_tokens(self, parts: Iterable[PrefixPart]) -> int:
        """Return the number of tokens in the leading parts that are cached."""
        tokens = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def used_since(self, part_id: str, since: float) -> bool:
        """Return whether a part was sent at or after a time."""
        known = self._parts.get(part_id)
        return known is not None and known.used_at >= since

    def touch(self, parts: Iterable[PrefixPart], now: float) -> None:
        """Record that the engine reads these parts now; evicts the least recently used ones."""
        for part in parts:
            known = self._parts.pop(part.part_id, None)
            if known is None:
                self._tokens += part.tokens
            self._parts[part.part_id] = _CachedPart(part.tokens, now)
        while self._tokens > self._capacity and self._parts:
            _, dropped = self._parts.popitem(last=False)
            self._tokens -= dropped.tokens


@dataclass(frozen=True, slots=True)
class EngineQuestion:
    """Inputs of a choice, without the state of the engines.

    ``weights`` gives each engine's share of new prompts and ``penalties`` its extra cost in
    tokens, both by worker id. ``reading`` gives the tokens being read, if an owner knows them;
    otherwise the counts of this gateway and the reports of its peers apply.
    ``max_consecutive_tokens`` is the number of tokens that an engine may read in a row before its
    streams are late. A ``repeatable`` call may serve as the probe of a half-open engine. Owners
    set ``ignore_backoffs`` when they choose for another gateway: a backoff applies to a single
    gateway, and that gateway passes its own backoffs in ``excluded``. ``factors`` gives the pace
    of engines relative to the mean, 1.0 by default.
    """

    prompt: PromptShape
    excluded: Collection[str] = ()
    weights: Mapping[str, float] = field(default_factory=dict)
    penalties: Mapping[str, float] = field(default_factory=dict)
    reading: Mapping[str, int] | None = None
    max_consecutive_tokens: float = float("inf")
    repeatable: bool = False
    ignore_backoffs: bool = False
    factors: Mapping[str, float] = field(default_factory=dict)


class EngineChooser:
    """Ranks engines for prompts and tracks which shared parts were sent to which engine."""

    def __init__(self) -> None:
        self._prefix_caches: dict[str, PrefixCache] = {}

    def rank(
        self,
        engines: Sequence[WorkerRecord],
        question: EngineQuestion,
        worker_statistics: WorkerStatisticsTable,
        now: float,
    ) -> list[WorkerRecord]:
        """Return the usable engines, cheapest first."""
        is_excluded = (
            worker_statistics.has_left
            if question.ignore_backoffs
            else worker_statistics.is_unavailable
        )
        usable = [
            engine
            for engine in engines
            if engine.worker_id not in question.excluded and not is_excluded(engine.worker_id, now)
        ]
        notices = worker_statistics.notices
        affinity = _affinity_key(question.prompt)
        kept = self._recently_read_parts(usable, question.prompt, now)

        def order(engine: WorkerRecord) -> tuple[int, float]:
            cost = self._cost(
                engine, kept, question, worker_statistics.get_or_create(engine.worker_id), now
            )
            if notices.peers_in_backoff(engine.worker_id, now):
                cost += PEERS_BACKOFF_COST_TOKENS
            weight = question.weights.get(engine.worker_id, 1.0)
            return int(cost / COST_TIE_TOKENS), -weighted_rendezvous_score(
                affinity, engine.worker_id, weight
            )

        return sorted(usable, key=order)

    def unread_tokens(self, worker_id: str, prompt: PromptShape) -> int:
        """Return the number of tokens of a prompt that an engine probably has not cached."""
        cache = self._prefix_caches.get(worker_id)
        kept = cache.cached_tokens(prompt.shared_parts) if cache is not None else 0
        return max(0, prompt.total_tokens - kept)

    def record_sent(
        self, worker_id: str, capacity: int, parts: Iterable[PrefixPart], now: float
    ) -> None:
        """Record that these shared parts were sent to an engine; ``capacity`` is in tokens."""
        cache = self._prefix_caches.get(worker_id)
        if cache is None:
            cache = self._prefix_caches[worker_id] = PrefixCache(capacity)
        cache.touch(parts, now)

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the prefix caches of engines that are no longer listed."""
        for worker_id in list(self._prefix_caches):
            if worker_id not in worker_ids:
                del self._prefix_caches[worker_id]

    def _cost(
        self,
        engine: WorkerRecord,
        kept: Sequence[PrefixPart],
        question: EngineQuestion,
        statistics: WorkerStatistics,
        now: float,
    ) -> float:
        calls = statistics.in_flight + statistics.peers_in_flight
        reading = statistics.reading + statistics.peers_reading
        if question.reading is not None:
            reading = question.reading.get(engine.worker_id, 0)
        unread = self.unread_tokens(engine.worker_id, question.prompt)
        factor = question.factors.get(engine.worker_id, 1.0)
        cost = factor * (reading + unread + IN_FLIGHT_CALL_COST_TOKENS * calls)
        if calls:
            # An engine's streams pause while it reads a prompt, so consecutive prompts make them
            # late. The extra cost moves prompts to idle engines.
            cost += STREAM_DELAY_COST_FACTOR * max(
                0.0, factor * (reading + unread) - question.max_consecutive_tokens
            )
        if kept:
            cost += REREAD_COST_FACTOR * self._reread_tokens(engine, kept, now)
        cost += FAILURE_COST_TOKENS * statistics.recent_failures(now)
        if statistics.avoid_until > now:
            cost += FAILURE_COST_TOKENS
        cost += EXCESS_FAILURE_COST_TOKENS * statistics.excess
        if statistics.is_last_resort(repeatable=question.repeatable):
            cost += EJECTION_COST_TOKENS
        return cost + question.penalties.get(engine.worker_id, 0.0)

    def _recently_read_parts(
        self, engines: Iterable[WorkerRecord], prompt: PromptShape, now: float
    ) -> tuple[PrefixPart, ...]:
        """Return the shared parts that any of the engines has read recently."""
        since = now - CACHED_ELSEWHERE_SECONDS
        found = (self._prefix_caches.get(engine.worker_id) for engine in engines)
        caches = [cache for cache in found if cache is not None]
        return tuple(
            part
            for part in prompt.shared_parts
            if any(cache.used_since(part.part_id, since) for cache in caches)
        )

    def _reread_tokens(self, engine: WorkerRecord, kept: Sequence[PrefixPart], now: float) -> int:
        """Return the tokens that another engine has cached and this one would read again."""
        since = now - CACHED_ELSEWHERE_SECONDS
        own = self._prefix_caches.get(engine.worker_id)
        return sum(
            part.tokens for part in kept if own is None or not own.used_since(part.part_id, since)
        )


def _affinity_key(prompt: PromptShape) -> str:
    """Return the id of the last shared part, which all prompts of a session contain."""
    if not prompt.parts:
        return ""
    return prompt.parts[max(0, len(prompt.parts) - 2)].part_id
