"""Logs and counts documents about workers and members that could not be decoded."""

from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.unreadable_documents import UnreadableDocument
from corkcrank.node.telemetry.metrics import NodeMetrics


class UnreadableLog:
    """Receives the unreadable rows and reports of one gateway; the log limits its own rate."""

    def __init__(self, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def record_unreadable(self, document: UnreadableDocument) -> None:
        """Record one document that was skipped."""
        self._metrics.unreadable_documents.labels(document.kind.value).inc()
        self._log.write(
            LogEvent.DOCUMENT_UNREADABLE,
            kind=document.kind.value,
            name=document.name,
            reason=document.reason,
        )
