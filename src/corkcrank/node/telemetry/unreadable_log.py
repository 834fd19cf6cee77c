"""Logs and counts documents about workers and members that could not be decoded."""

from corkcrank.contracts.result_codes import ResultCode
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.unreadable_documents import DocumentKind, UnreadableDocument
from corkcrank.node.telemetry.metrics import NodeMetrics

_CODES = {
    DocumentKind.ENTRY: ResultCode.WORKER_ENTRY_UNREADABLE,
    DocumentKind.REPORT: ResultCode.WORKER_REPORT_UNREADABLE,
    DocumentKind.MEMBER: ResultCode.MEMBER_ROW_UNREADABLE,
}


class UnreadableLog:
    """Receives the unreadable rows and reports of one gateway: counts all, logs each once."""

    def __init__(self, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def record_unreadable(self, document: UnreadableDocument) -> None:
        """Record one document that was skipped."""
        self._metrics.unreadable_documents.labels(document.kind.value).inc()
        if document.repeated:
            return
        self._log.write(
            LogEvent.DOCUMENT_UNREADABLE,
            code=_CODES[document.kind].number,
            kind=document.kind.value,
            name=document.name,
            reason=document.reason,
        )
