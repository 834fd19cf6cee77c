"""Choice of a model engine by what it would have to read before the call's first event.

The cost of an engine is the prompt tokens that it still has to read for calls sent before,
and those of the new prompt that it does not keep. Gateways tell each other which shared
parts they sent where and what is still unread, so the view is the fleet's, some hundred
milliseconds old. Ties go to the highest rendezvous hash, the same one in every gateway.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from corkcrank.contracts.opaque_call import PrefixPart, PromptShape
from corkcrank.contracts.rendezvous import weighted_rendezvous
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.worker_choice import WorkerStatistics, WorkerStatisticsTable

READ_AGAIN_FACTOR = 4.0
"""Tokens that another engine keeps, and this one would read again, count this much more."""

KEPT_ELSEWHERE_SECONDS = 10.0
"""Time for which a part that another engine read counts as kept there."""

FAILURE_TOKENS = 6_000.0
"""Tokens that one remembered failure counts as."""

EJECTED_TOKENS = 12_000.0
"""Tokens that an ejection counts as: about a prompt of the longest kind. A longer queue at the
others outweighs it, so calls do not herd on the few that are left."""

EXCESS_TOKENS = 12_000.0
"""Tokens of an engine that is expected to fail all of its calls while the others fail none: a
failed call's prompt is read by another engine, while what its stages made waits."""

DISTURBANCE_FACTOR = 5.0
"""A token that is read in a row beyond what the engine's streams bear counts as this many more."""

CALL_TOKENS = 60.0
"""Tokens that each call in flight counts as: every step takes longer with it."""

TIE_TOKENS = 400.0
"""Costs that differ by less are equal; the hash decides."""


@dataclass(slots=True)
class _CachedPart:
    tokens: int
    used_at: float


class PrefixMemory:
    """Shared parts that were sent to one engine, least recently used first."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._parts: OrderedDict[str, _CachedPart] = OrderedDict()
        self._tokens = 0

    def cached_tokens(self, parts: Iterable[PrefixPart]) -> int:
        """Return the tokens of the leading parts that are kept."""
        tokens = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def used_since(self, part_id: str, since: float) -> bool:
        """Return whether a part was sent after a time."""
        known = self._parts.get(part_id)
        return known is not None and known.used_at >= since

    def touch(self, parts: Iterable[PrefixPart], now: float) -> None:
        """Note that the engine reads these parts now."""
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
    """What a choice depends on beside the engines' own state.

    ``weights`` gives each engine's share of new prompts, ``penalties`` tokens that count
    against it, both by worker id. ``reading`` gives the tokens being read, where an owner
    knows them; otherwise what this gateway and its peers told counts. ``calm_tokens`` is how much
    an engine may read in a row before its streams are late. A ``repeatable`` call may be the probe
    of a half-open engine.
    """

    prompt: PromptShape
    excluded: Collection[str] = ()
    weights: Mapping[str, float] = field(default_factory=dict)
    penalties: Mapping[str, float] = field(default_factory=dict)
    reading: Mapping[str, int] | None = None
    calm_tokens: float = float("inf")
    repeatable: bool = False


class EngineChooser:
    """Ranks engines for prompts and remembers what was sent where."""

    def __init__(self) -> None:
        self._memories: dict[str, PrefixMemory] = {}

    def rank(
        self,
        engines: Sequence[WorkerRecord],
        question: EngineQuestion,
        worker_statistics: WorkerStatisticsTable,
        now: float,
    ) -> list[WorkerRecord]:
        """Return the usable engines, the cheapest first."""
        usable = [
            engine
            for engine in engines
            if engine.worker_id not in question.excluded
            and not worker_statistics.of(engine.worker_id).out_of_use(now)
        ]
        affinity = _affinity(question.prompt)
        kept = self._kept_somewhere(usable, question.prompt, now)

        def order(engine: WorkerRecord) -> tuple[int, float]:
            cost = self._cost(engine, kept, question, worker_statistics.of(engine.worker_id), now)
            weight = question.weights.get(engine.worker_id, 1.0)
            return int(cost / TIE_TOKENS), -weighted_rendezvous(affinity, engine.worker_id, weight)

        return sorted(usable, key=order)

    def unread_tokens(self, worker_id: str, prompt: PromptShape) -> int:
        """Return the tokens of a prompt that an engine is believed not to keep."""
        memory = self._memories.get(worker_id)
        kept = memory.cached_tokens(prompt.shared_parts) if memory is not None else 0
        return max(0, prompt.whole_tokens - kept)

    def sent(self, worker_id: str, capacity: int, parts: Iterable[PrefixPart], now: float) -> None:
        """Remember that an engine reads these shared parts."""
        memory = self._memories.get(worker_id)
        if memory is None:
            memory = self._memories[worker_id] = PrefixMemory(capacity)
        memory.touch(parts, now)

    def forget_all_but(self, worker_ids: Collection[str]) -> None:
        """Drop the memory of engines that are no longer listed."""
        for worker_id in list(self._memories):
            if worker_id not in worker_ids:
                del self._memories[worker_id]

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
        cost = reading + unread + CALL_TOKENS * calls
        if calls:
            # Guards the streams that are written there: what was read in a row by two or three
            # prompts made a tenth of the most urgent route's streams late, beside idle engines.
            cost += DISTURBANCE_FACTOR * max(0.0, reading + unread - question.calm_tokens)
        if kept:
            cost += READ_AGAIN_FACTOR * self._kept_elsewhere(engine, kept, now)
        cost += FAILURE_TOKENS * statistics.recent_failures(now)
        if statistics.avoid_until > now:
            cost += FAILURE_TOKENS
        cost += EXCESS_TOKENS * statistics.excess
        if statistics.set_aside(repeatable=question.repeatable):
            cost += EJECTED_TOKENS
        return cost + question.penalties.get(engine.worker_id, 0.0)

    def _kept_somewhere(
        self, engines: Iterable[WorkerRecord], prompt: PromptShape, now: float
    ) -> tuple[PrefixPart, ...]:
        """Return the shared parts that any of the engines has read lately."""
        since = now - KEPT_ELSEWHERE_SECONDS
        found = (self._memories.get(engine.worker_id) for engine in engines)
        memories = [memory for memory in found if memory is not None]
        return tuple(
            part
            for part in prompt.shared_parts
            if any(memory.used_since(part.part_id, since) for memory in memories)
        )

    def _kept_elsewhere(self, engine: WorkerRecord, kept: Sequence[PrefixPart], now: float) -> int:
        """Return the tokens that this engine would read again after another one did."""
        since = now - KEPT_ELSEWHERE_SECONDS
        own = self._memories.get(engine.worker_id)
        return sum(
            part.tokens for part in kept if own is None or not own.used_since(part.part_id, since)
        )


def _affinity(prompt: PromptShape) -> str:
    """Return the last shared part, which a session's prompts have in common."""
    if not prompt.parts:
        return ""
    return prompt.parts[max(0, len(prompt.parts) - 2)].part_id
