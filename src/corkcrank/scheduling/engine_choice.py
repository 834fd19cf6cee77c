"""Choice of a model engine: cached prefix against load against failures.

Each gateway remembers which shared parts it sent where. A prompt whose parts it has not
seen goes to the engine with the highest rendezvous hash of its last shared part, so all
gateways choose the same one without a word. An engine above the load bound is passed over.
"""

from collections import OrderedDict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.contracts.rendezvous import weighted_rendezvous
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.worker_choice import StandingBook, WorkerStanding

LOAD_BOUND = 1.5
"""An engine above this multiple of the mean load, plus the margin, is passed over."""

LOAD_MARGIN = 3.0
"""Calls above the bounded mean that an engine may always have."""

FAILURE_LOAD = 8.0
"""Calls that one remembered failure counts as."""


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

    def cached_tokens(self, prompt: PromptShape) -> int:
        """Return the tokens of the leading parts that are kept."""
        tokens = 0
        for part in prompt.shared_parts:
            if part.part_id not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def touch(self, prompt: PromptShape, now: float) -> None:
        """Note that the engine reads this prompt now."""
        for part in prompt.shared_parts:
            known = self._parts.pop(part.part_id, None)
            if known is None:
                self._tokens += part.tokens
            self._parts[part.part_id] = _CachedPart(part.tokens, now)
        while self._tokens > self._capacity and self._parts:
            _, dropped = self._parts.popitem(last=False)
            self._tokens -= dropped.tokens


class EngineChooser:
    """Chooses engines for prompts and remembers what was sent where."""

    def __init__(self) -> None:
        self._memories: dict[str, PrefixMemory] = {}

    def rank(
        self,
        engines: Sequence[WorkerRecord],
        prompt: PromptShape,
        book: StandingBook,
        now: float,
        excluded: Collection[str],
        weights: Mapping[str, float],
    ) -> list[WorkerRecord]:
        """Return the usable engines, the preferred first, overloaded ones last.

        ``weights`` gives each engine's share of the prompts, by worker id.
        """
        usable = [
            engine
            for engine in engines
            if engine.worker_id not in excluded and not book.of(engine.worker_id).leaving
        ]
        if not usable:
            return []
        loads = {engine.worker_id: _load(book.of(engine.worker_id), now) for engine in usable}
        bound = LOAD_MARGIN + LOAD_BOUND * sum(loads.values()) / len(usable)
        affinity = _affinity(prompt)

        def order(engine: WorkerRecord) -> tuple[bool, float]:
            worker_id = engine.worker_id
            if not affinity:
                return False, loads[worker_id]
            weight = weights.get(worker_id, 1.0)
            score = weighted_rendezvous(affinity, worker_id, weight)
            overloaded = loads[worker_id] > bound
            return overloaded, loads[worker_id] if overloaded else -score

        return sorted(usable, key=order)

    def sent(self, engine: WorkerRecord, capacity: int, prompt: PromptShape, now: float) -> None:
        """Remember that an engine reads this prompt."""
        memory = self._memories.get(engine.worker_id)
        if memory is None:
            memory = self._memories[engine.worker_id] = PrefixMemory(capacity)
        memory.touch(prompt, now)

    def cached_tokens(self, engine: WorkerRecord, prompt: PromptShape) -> int:
        """Return the tokens of a prompt that an engine is believed to keep."""
        memory = self._memories.get(engine.worker_id)
        return memory.cached_tokens(prompt) if memory is not None else 0

    def forget_all_but(self, worker_ids: Collection[str]) -> None:
        """Drop the memory of engines that are no longer listed."""
        for worker_id in list(self._memories):
            if worker_id not in worker_ids:
                del self._memories[worker_id]


def _affinity(prompt: PromptShape) -> str:
    """Return the last shared part, which a session's prompts have in common."""
    if not prompt.parts:
        return ""
    return prompt.parts[max(0, len(prompt.parts) - 2)].part_id


def _load(standing: WorkerStanding, now: float) -> float:
    calls = standing.in_flight + standing.peers_in_flight
    avoided = FAILURE_LOAD if standing.avoid_until > now else 0.0
    return calls + avoided + FAILURE_LOAD * standing.recent_failures(now)
