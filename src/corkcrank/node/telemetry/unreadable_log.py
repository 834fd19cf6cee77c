"""Logs and counts the documents about workers that could not be read."""

from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.unreadable_documents import UnreadableDocument
from corkcrank.node.telemetry.metrics import NodeMetrics


class UnreadableLog:
    """Listens for entries and reports of one gateway; the log bounds its lines by itself."""

    def __init__(self, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def note(self, document: UnreadableDocument) -> None:
        """Take one document that was passed over."""
        self._metrics.unreadable_documents.labels(document.kind.value).inc()
        self._log.write(
            LogEvent.DOCUMENT_UNREADABLE,
            kind=document.kind.value,
            name=document.name,
            reason=document.reason,
        )
