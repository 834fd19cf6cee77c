"""Tracks reading, memory and capacity for prompts of one zone's engines of a service."""

from collections.abc import Callable, Collection

from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.engines.engine_owner import EngineOwner, GrantCandidates
from corkcrank.node.peers.peer_protocol import PromptRequest
from corkcrank.scheduling.engine_memory import EngineMemory
from corkcrank.scheduling.prompt_queue import LOOKAHEAD_SECONDS, ReadingRoom
from corkcrank.scheduling.prompt_reading import PromptReading

FULL_ENGINE_SECONDS = 1.0
"""Assumed time until an engine without memory or slots has room: streams end every few seconds."""


class ZoneEngines:
    """The engines of one zone that serve its prompt queue."""

    def __init__(
        self, service: str, zone: str, owner: EngineOwner, factor: Callable[[str], float]
    ) -> None:
        self.memory = EngineMemory()
        self.reading = PromptReading(owner.tokens_per_second(service), factor)
        self._service = service
        self._zone = zone
        self._owner = owner
        self._factor = factor

    def open_ids(self, now: float) -> list[str]:
        """Return the ids of the engines that accept prompts now."""
        return self._owner.open_engines(self._service, self._zone, now)

    def that_can_begin(self, now: float) -> list[str]:
        """Return the ids of the engines that can begin to read a prompt now."""
        left = self.reading.seconds_left
        return [engine for engine in self.open_ids(now) if left(engine, now) <= LOOKAHEAD_SECONDS]

    def reading_tokens(self, now: float) -> dict[str, int]:
        """Return the remaining tokens that each engine reads, in tokens of a mean engine."""
        left, pace = self.reading.seconds_left, self.reading.tokens_per_second
        return {engine: round(left(engine, now) * pace) for engine in self.open_ids(now)}

    def fits(self, engine: WorkerRecord, prompt: PromptShape, capacity: int, now: float) -> bool:
        """Return whether an engine has memory and a slot for a prompt's request."""
        return self.memory.fits(engine.worker_id, prompt, capacity, engine.slots, now)

    def record_grant(
        self, request: PromptRequest, worker_id: str, unread_tokens: int, now: float
    ) -> None:
        """Count the reading and memory of a granted prompt at its engine."""
        terms = request.terms
        stream_seconds = terms.stream_seconds if terms is not None else 0.0
        self.reading.record_grant(request.call_id, worker_id, unread_tokens, now)
        self.memory.hold(request.call_id, worker_id, request.prompt, stream_seconds, now)

    def record_done(self, call_id: str, now: float, *, read: bool) -> None:
        """Record that a prompt was read or withdrawn."""
        self.reading.record_end(call_id, now, read=read)
        if read:
            self.memory.record_read(call_id, now)
        else:
            self.memory.release(call_id)

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the state of engines that are no longer listed."""
        self.reading.retain_only(worker_ids)
        self.memory.retain_only(worker_ids)

    def room(self, now: float) -> ReadingRoom:
        """Return the reading state of all engines, for a prompt that fits each of them."""
        free = tuple(self.reading.seconds_left(engine, now) for engine in self.open_ids(now))
        return self._room_of(free or (0.0,), now)

    def room_for(self, candidates: GrantCandidates, now: float) -> ReadingRoom:
        """Return the reading state of the engines that may read one prompt."""
        prompt, capacity = candidates.question.prompt, candidates.capacity
        free = tuple(
            self.reading.seconds_left(engine.worker_id, now)
            if self.fits(engine, prompt, capacity, now)
            else FULL_ENGINE_SECONDS
            for engine in candidates.available
            if engine.worker_id not in candidates.question.excluded
        )
        return self._room_of(free or (FULL_ENGINE_SECONDS,), now)

    def seconds_until_turn(self, now: float) -> list[float]:
        """Return the seconds until each busy engine can begin its next prompt."""
        left = (self.reading.seconds_left(engine, now) for engine in self.open_ids(now))
        return [item - LOOKAHEAD_SECONDS for item in left if item > LOOKAHEAD_SECONDS]

    def _room_of(self, free: tuple[float, ...], now: float) -> ReadingRoom:
        return ReadingRoom(free, self._seconds_per_token(now), self.reading.delay_seconds)

    def _seconds_per_token(self, now: float) -> float:
        """Return the mean time of the engines per token, in seconds."""
        paces = [1.0 / self._factor(engine) for engine in self.open_ids(now)] or [1.0]
        return len(paces) / (sum(paces) * self.reading.tokens_per_second)
