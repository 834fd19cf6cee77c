"""Logs and counts connections that were dropped because the other side stopped responding."""

from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.silence import SilentConnection
from corkcrank.node.telemetry.metrics import NodeMetrics


class SilenceLog:
    """Receives the dropped connections of one gateway, of all kinds."""

    def __init__(self, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def record_dropped(self, connection: SilentConnection) -> None:
        """Record one connection that was dropped."""
        self._metrics.silent_connections.labels(connection.kind.value).inc()
        self._log.write(
            LogEvent.CONNECTION_SILENT,
            kind=connection.kind.value,
            peer=connection.peer,
            waited=round(connection.waited, 3),
            idle_dropped=connection.idle_dropped,
        )
