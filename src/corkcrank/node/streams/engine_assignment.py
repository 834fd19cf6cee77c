"""Counts a call and the unread tokens of its prompt in the load of its engine."""

from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.calls.services import CallServices
from corkcrank.scheduling.worker_choice import WorkerStatistics


class EngineAssignment:
    """Counts a call at one engine at most; heartbeats report the counts."""

    def __init__(self, call: OpaqueCall, services: CallServices) -> None:
        self._call = call
        self._services = services
        self._statistics: WorkerStatistics | None = None
        self._unread = 0

    def assign(self, engine: WorkerRecord) -> None:
        """Count the call at an engine instead of the previous one."""
        self.clear()
        statistics = self._services.worker_statistics.get_or_create(engine.worker_id)
        prompt = self._call.envelope.prompt
        self._unread = self._services.engines.unread_tokens(engine.worker_id, prompt)
        statistics.in_flight += 1
        statistics.reading += self._unread
        self._statistics = statistics

    def record_prompt_read(self) -> None:
        """Remove the prompt from the unread tokens; called at the first event."""
        if self._statistics is not None:
            self._statistics.reading -= self._unread
            self._unread = 0

    def count_tokens(self, engine: WorkerRecord) -> None:
        """Count the prompt's tokens that an engine has kept, and those that it will read."""
        prompt = self._call.envelope.prompt
        unread = self._services.engines.unread_tokens(engine.worker_id, prompt)
        tokens = self._services.metrics.prompt_tokens
        tokens.labels("read").inc(unread)
        tokens.labels("kept").inc(max(0, prompt.tokens_in - unread))

    def clear(self) -> None:
        """Remove the call from the load of its engine."""
        if self._statistics is not None:
            self.record_prompt_read()
            self._statistics.in_flight -= 1
            self._statistics = None
