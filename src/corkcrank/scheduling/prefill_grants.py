"""Grants of a zone's engines to prompts, decided by one gateway for all gateways.

Reading a prompt takes some hundred milliseconds, less than an update needs to reach the other
gateways. Gateways that choose by each other's reports would send prompts to the same engine at the
same time. The prompts would queue, and every stream of that engine would pause. The owner of a
zone's engines therefore tracks each prompt from its grant until its first event.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.engine_choice import EngineChooser, EngineQuestion
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

MAX_PREFILL_SECONDS = 2.0
"""Time after which a prompt counts as read without a report."""


@dataclass(frozen=True, slots=True)
class _Grant:
    """The engine of a prompt, its unread tokens and the tokens queued ahead of them."""

    worker_id: str
    tokens: int
    tokens_ahead: int
    granted_at: float

    @property
    def expires_at(self) -> float:
        """Return the time at which the prompt counts as read without a report."""
        return self.granted_at + MAX_PREFILL_SECONDS


class PrefillGrants:
    """Prompts that were granted an engine and are not reported as read."""

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
        """Grant an engine to a call's prompt and return it, or ``None`` if no engine is usable.

        ``capacity`` is the size of each engine's prefix cache in tokens.
        """
        self.release_grant(call_id)
        reading = self.tokens_being_read(now)
        question = replace(question, reading=reading)
        ranked = self._chooser.rank(engines, question, self._worker_statistics, now)
        if not ranked:
            return None
        engine = ranked[0]
        tokens = self._chooser.unread_tokens(engine.worker_id, question.prompt)
        ahead = reading.get(engine.worker_id, 0)
        self._grants[call_id] = _Grant(engine.worker_id, tokens, ahead, now)
        self._chooser.record_sent(engine.worker_id, capacity, question.prompt.shared_parts, now)
        return engine

    def release_grant(self, call_id: str) -> tuple[int, float] | None:
        """Remove the grant of a prompt that was read or withdrawn.

        Returns the tokens that its engine had to read since the grant, and the time of the grant.
        The tokens include those of the prompt. Returns ``None`` for a prompt without a grant.
        """
        grant = self._grants.pop(call_id, None)
        return None if grant is None else (grant.tokens_ahead + grant.tokens, grant.granted_at)

    def tokens_being_read(self, now: float) -> Mapping[str, int]:
        """Return the tokens being read, by engine id; removes expired grants."""
        for call_id in [key for key, grant in self._grants.items() if grant.expires_at <= now]:
            del self._grants[call_id]
        reading: Counter[str] = Counter()
        for grant in self._grants.values():
            reading[grant.worker_id] += grant.tokens
        return reading
