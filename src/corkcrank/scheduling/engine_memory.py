"""Tracks the engine memory that requests hold, in tokens, from grant to end of stream.

An engine that runs out of memory evicts its newest request in mid-stream and reads the prompt
again. A prompt part that several running requests share is stored once. Ends of streams are not
reported, so a request counts for the usual duration of its stream.
"""

import heapq
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from corkcrank.contracts.opaque_call import PromptShape

MAX_HOLD_SECONDS = 60.0
"""Maximum time for which a request counts without a report, in seconds."""


@dataclass(slots=True)
class _Hold:
    worker_id: str
    prompt: PromptShape
    stream_seconds: float
    until: float


@dataclass(slots=True)
class _EngineHolds:
    """Requests of one engine: count, unshared tokens, and number of holders of each shared part."""

    requests: int = 0
    own_tokens: int = 0
    shared_tokens: int = 0
    parts: Counter[str] | None = None


class EngineMemory:
    """Memory held by granted and running requests at a zone's engines of one service."""

    def __init__(self) -> None:
        self._holds: dict[str, _Hold] = {}
        self._engines: dict[str, _EngineHolds] = {}
        self._ends: list[tuple[float, str]] = []

    def hold(
        self, call_id: str, worker_id: str, prompt: PromptShape, stream_seconds: float, now: float
    ) -> None:
        """Count a request that was granted an engine."""
        self.release(call_id)
        self._holds[call_id] = _Hold(worker_id, prompt, stream_seconds, now + MAX_HOLD_SECONDS)
        heapq.heappush(self._ends, (now + MAX_HOLD_SECONDS, call_id))
        engine = self._engines.setdefault(worker_id, _EngineHolds(parts=Counter()))
        assert engine.parts is not None
        engine.requests += 1
        engine.own_tokens += _own_tokens(prompt)
        for part in prompt.shared_parts:
            if not engine.parts[part.part_id]:
                engine.shared_tokens += part.tokens
            engine.parts[part.part_id] += 1

    def record_read(self, call_id: str, now: float) -> None:
        """Record that a request's stream has begun; it counts for the usual stream duration."""
        hold = self._holds.get(call_id)
        if hold is not None:
            hold.until = min(now + hold.stream_seconds, hold.until)
            heapq.heappush(self._ends, (hold.until, call_id))

    def release(self, call_id: str) -> None:
        """Remove a request that no longer holds memory."""
        hold = self._holds.pop(call_id, None)
        if hold is None:
            return
        engine = self._engines[hold.worker_id]
        assert engine.parts is not None
        engine.requests -= 1
        engine.own_tokens -= _own_tokens(hold.prompt)
        for part in hold.prompt.shared_parts:
            engine.parts[part.part_id] -= 1
            if not engine.parts[part.part_id]:
                engine.shared_tokens -= part.tokens
                del engine.parts[part.part_id]
        if not engine.requests:
            del self._engines[hold.worker_id]

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the requests of engines that are no longer listed."""
        ended = [key for key, hold in self._holds.items() if hold.worker_id not in worker_ids]
        for call_id in ended:
            self.release(call_id)

    def held_tokens(self, worker_id: str, now: float) -> int:
        """Return the tokens that requests hold at an engine."""
        self._release_ended(now)
        engine = self._engines.get(worker_id)
        return engine.own_tokens + engine.shared_tokens if engine is not None else 0

    def fits(
        self, worker_id: str, prompt: PromptShape, capacity: int, slots: int, now: float
    ) -> bool:
        """Return whether an engine has memory and a slot for one more request.

        An idle engine takes any request. A ``capacity`` of 0 is unknown.

        >>> memory, prompt = EngineMemory(), PromptShape("m", 900, 100)
        >>> memory.hold("a", "e", prompt, 1.0, now=0.0)
        >>> memory.fits("e", prompt, 2_000, 8, 0.0), memory.fits("e", prompt, 1_900, 8, 0.0)
        (True, False)
        >>> memory.fits("e", prompt, 2_000, 1, 0.0), memory.fits("other", prompt, 500, 1, 0.0)
        (False, True)
        """
        self._release_ended(now)
        engine = self._engines.get(worker_id)
        if engine is None:
            return True
        assert engine.parts is not None
        new_parts = (
            part.tokens for part in prompt.shared_parts if part.part_id not in engine.parts
        )
        held = engine.own_tokens + engine.shared_tokens
        needed = _own_tokens(prompt) + sum(new_parts)
        return engine.requests < slots and (not capacity or held + needed <= capacity)

    def _release_ended(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, call_id = heapq.heappop(self._ends)
            hold = self._holds.get(call_id)
            if hold is not None and hold.until <= now:
                self.release(call_id)


def _own_tokens(prompt: PromptShape) -> int:
    """Return the tokens that no other request shares: the unshared prompt and the answer."""
    shared = sum(part.tokens for part in prompt.shared_parts)
    return max(0, prompt.total_tokens - shared) + max(0, prompt.tokens_out)
