"""Simulates the batch of a model engine: the running sequences and the time of each step."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from corkcrank.contracts.messages import GenerateCall
from corkcrank.standins import outputs

STEP_SECONDS = 0.012
"""Base time of one decoding step, without any sequence."""

STEP_SECONDS_PER_SEQUENCE = 0.0008
"""Time that each running sequence adds to a step."""

PREFILL_SECONDS_PER_BYTE = 0.00002
"""Time to prefill each prompt byte that is not in the prefix cache."""

CACHE_BLOCK_BYTES = 64
"""Prompt bytes in one block of the prefix cache."""


@dataclass(slots=True)
class Sequence:
    """One call in the engine, waiting or running."""

    call: GenerateCall
    prompt_hash: int
    next_index: int
    queue: "asyncio.Queue[tuple[int, str] | None]" = field(default_factory=asyncio.Queue)
    cancelled: bool = False
    busy_seconds: float = 0.0


class PrefixCache:
    """A cache of prompt blocks, salted by tenant, with least-recently-used eviction."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.hits = 0
        self.misses = 0

    def missing_bytes(self, salt: str, prompt: str) -> int:
        """Return the number of bytes to prefill, and add the prompt's blocks to the cache."""
        missing = 0
        known = True
        for end in range(CACHE_BLOCK_BYTES, len(prompt) + 1, CACHE_BLOCK_BYTES):
            block = xxhash.xxh3_64_intdigest(f"{salt}\x00{prompt[:end]}".encode())
            known = known and block in self._blocks
            missing += 0 if known else CACHE_BLOCK_BYTES
            self._insert(block)
        self.hits += missing == 0
        self.misses += missing > 0
        return missing

    def blocks(self) -> tuple[int, ...]:
        """Return the cached blocks, least recently used first."""
        return tuple(self._blocks)

    def put(self, blocks: tuple[int, ...]) -> None:
        """Add imported blocks to the cache."""
        for block in blocks:
            self._insert(block)

    def _insert(self, block: int) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)


class EngineBatch:
    """Continuous batching: every step yields a token to each running sequence."""

    def __init__(self, slots: int, cache: PrefixCache) -> None:
        self.slots = slots
        self.cache = cache
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.slow_factor = 1.0
        self.tokens = 0
        self._wake = asyncio.Event()

    def submit(self, call: GenerateCall) -> Sequence:
        """Queue a call; its tokens appear on the sequence's queue, then ``None``."""
        sequence = Sequence(call, xxhash.xxh3_64_intdigest(call.prompt.encode()), call.offset)
        self.waiting.append(sequence)
        self._wake.set()
        return sequence

    def cancel(self, attempt: str) -> None:
        """Cancel a sequence; it is removed at the next step."""
        for sequence in (*self.running, *self.waiting):
            if sequence.call.attempt == attempt:
                sequence.cancelled = True

    async def run(self) -> None:
        """Run decoding steps until the task is cancelled."""
        while True:
            if not self.running and not self.waiting:
                self._wake.clear()
                await self._wake.wait()
            seconds = self._admit() + self._step_seconds()
            await asyncio.sleep(seconds * self.slow_factor)
            self._emit(seconds * self.slow_factor)

    def _step_seconds(self) -> float:
        return STEP_SECONDS + STEP_SECONDS_PER_SEQUENCE * len(self.running)

    def _admit(self) -> float:
        self.waiting = [sequence for sequence in self.waiting if not sequence.cancelled]
        self.waiting.sort(key=lambda sequence: sequence.call.rank)
        free = max(0, self.slots - len(self.running))
        admitted, self.waiting = self.waiting[:free], self.waiting[free:]
        self.running += admitted
        missing = sum(
            self.cache.missing_bytes(sequence.call.cache_salt, sequence.call.prompt)
            for sequence in admitted
        )
        return missing * PREFILL_SECONDS_PER_BYTE

    def _emit(self, seconds: float) -> None:
        share = seconds / max(1, len(self.running))
        for sequence in self.running:
            sequence.busy_seconds += share
            if sequence.next_index < sequence.call.max_tokens:
                text = outputs.token(sequence.prompt_hash, sequence.next_index)
                sequence.queue.put_nowait((sequence.next_index, text))
                sequence.next_index += 1
                self.tokens += 1
            if sequence.next_index >= sequence.call.max_tokens:
                sequence.queue.put_nowait(None)
        self.running = [
            sequence
            for sequence in self.running
            if not sequence.cancelled and sequence.next_index < sequence.call.max_tokens
        ]
