"""Watches callers that do not read their answers, and cuts those that the budget names."""

from collections.abc import Callable, Iterable

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.node.callers.caller_connection import CallerConnection
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.scheduling.reader_budget import (
    READ_AHEAD_BYTES,
    ReaderBudget,
    ReaderCut,
    readers_bound_bytes,
)


class ReaderWatch:
    """Keeps the account of every connection with unsent bytes.

    ``draining`` returns whether the gateway is stopping: then callers that do not read keep their
    streams until the end of the drain, unless memory is short.
    """

    def __init__(
        self,
        log: DecisionLog,
        metrics: NodeMetrics,
        draining: Callable[[], bool],
    ) -> None:
        self.budget: ReaderBudget[CallerConnection] = ReaderBudget()
        self._log = log
        self._metrics = metrics
        self._draining = draining
        metrics.unread_bytes.set_function(lambda: self.budget.kept_bytes)

    def apply_limits(self, limits: NodeLimitSettings) -> None:
        """Set the bound that the settings allow."""
        self.budget.bound_bytes = readers_bound_bytes(limits.memory_mb)

    def sweep(self, connections: Iterable[CallerConnection]) -> None:
        """Update every account, let workers send on, cut the callers that must lose their answers.

        All accounts are updated before any is cut, so that no old one is compared with a new one.
        """
        now = clock.now()
        open_connections = set(connections)
        known = set(self.budget.readers())
        for reader in known - open_connections:
            self.budget.remove(reader)
        for connection in open_connections:
            if connection in known or connection.unsent_bytes:
                self.budget.observe(connection, connection.observe_kept(), now)
        for reader in self.budget.read_aheads(now):
            reader.read_ahead(READ_AHEAD_BYTES)
        if not self._draining():
            self._cut_all(self.budget.unread_cuts(now))
        self._cut_all(self.budget.memory_cuts(now))

    def _cut_all(self, cuts: list[ReaderCut[CallerConnection]]) -> None:
        for cut in cuts:
            self._metrics.readers_cut.labels(cut.cause.value).inc()
            self._log.write(
                LogEvent.READER_CUT,
                call=cut.reader.call_id,
                caller=cut.reader.caller,
                cause=cut.cause.value,
                bytes=cut.kept_bytes,
                unread=round(cut.unread_seconds, 3),
                kept=self.budget.kept_bytes,
                bound=self.budget.bound_bytes,
            )
            cut.reader.cut_reader(cut.cause)
