"""Which engine of a zone reads the next prompt, decided by one gateway for all.

A prompt is read within some hundred milliseconds, less than news travels between gateways,
so gateways that choose by each other's news send prompts to one engine at the same time:
they wait for each other, and every stream that the engine writes pauses meanwhile. The
owner of a zone's engines knows each prompt from its grant until its first event.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.engine_choice import EngineChooser, EngineQuestion
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

LONGEST_PREFILL_SECONDS = 2.0
"""A prompt counts as read after this time, if its end was not told."""


@dataclass(frozen=True, slots=True)
class _Grant:
    """A prompt's engine, its unread tokens and those that were to be read before them."""

    worker_id: str
    tokens: int
    ahead: int
    granted_at: float

    @property
    def ends_at(self) -> float:
        """Return when the prompt counts as read, whatever is told."""
        return self.granted_at + LONGEST_PREFILL_SECONDS


class PrefillGrants:
    """The prompts that were granted an engine and are not known to be read."""

    def __init__(self, chooser: EngineChooser, worker_statistics: WorkerStatisticsTable) -> None:
        self._chooser = chooser
        self._worker_statistics = worker_statistics
        self._grants: dict[str, _Grant] = {}

    def grant(
        self,
        call_id: str,
        engines: Sequence[WorkerRecord],
        question: EngineQuestion,
        capacity: int,
        now: float,
    ) -> WorkerRecord | None:
        """Return the engine that reads a call's prompt next, or ``None`` if there is none.

        ``capacity`` is the engines' prompt cache in tokens.
        """
        self.done(call_id)
        reading = self.reading(now)
        question = replace(question, reading=reading)
        ranked = self._chooser.rank(engines, question, self._worker_statistics, now)
        if not ranked:
            return None
        engine = ranked[0]
        tokens = self._chooser.unread_tokens(engine.worker_id, question.prompt)
        ahead = reading.get(engine.worker_id, 0)
        self._grants[call_id] = _Grant(engine.worker_id, tokens, ahead, now)
        self._chooser.sent(engine.worker_id, capacity, question.prompt.shared_parts, now)
        return engine

    def done(self, call_id: str) -> tuple[int, float] | None:
        """Note that a prompt was read, or will not be.

        Return the tokens that its engine had to read until then and the time of the grant,
        ``None`` for a prompt without a grant.
        """
        grant = self._grants.pop(call_id, None)
        return None if grant is None else (grant.ahead + grant.tokens, grant.granted_at)

    def reading(self, now: float) -> Mapping[str, int]:
        """Return the tokens being read by engine; drops grants that took too long."""
        for call_id in [key for key, grant in self._grants.items() if grant.ends_at <= now]:
            del self._grants[call_id]
        reading: Counter[str] = Counter()
        for grant in self._grants.values():
            reading[grant.worker_id] += grant.tokens
        return reading
