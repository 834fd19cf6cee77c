"""Logs and counts events of the listener for callers' connections."""

from collections import Counter

from corkcrank.links.connection_listener import ConnectionPhase
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.listener_state import ListenerState
from corkcrank.node.telemetry.metrics import NodeMetrics


class NodeListenerReport:
    """Writes one log line for each group of closed connections and each change of readiness."""

    def __init__(self, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def record_closed(self, counts: Counter[ConnectionPhase], open_connections: int) -> None:
        """Record how many connections were closed to admit new ones, by phase."""
        by_name = {phase.name.lower(): count for phase, count in counts.items()}
        for name, count in by_name.items():
            self._metrics.connections_closed.labels(name).inc(count)
        self._log.write(LogEvent.CONNECTIONS_CLOSED, **by_name, open=open_connections)

    def record_disconnected(self, count: int) -> None:
        """Record how many callers had disconnected before their connection was accepted."""
        self._metrics.callers_disconnected.inc(count)
        self._log.write(LogEvent.CALLERS_DISCONNECTED, count=count)

    def record_stalled(self, count: int) -> None:
        """Ignore stalled clients: the server of callers records them itself."""

    def record_blocked(self, state: ListenerState) -> None:
        """Record that accepting has been blocked for longer than the limit."""
        self._log.write(
            LogEvent.NOT_READY,
            cause=state.blocked_by,
            open=state.open_connections,
            limit=state.connection_limit,
        )

    def record_accepting(self, state: ListenerState) -> None:
        """Record that accepting works again.

        ``state`` still holds the start of the block, from which its duration is computed.
        """
        self._log.write(
            LogEvent.READY,
            cause=state.blocked_by,
            seconds=round(state.blocked_seconds, 3),
            open=state.open_connections,
        )
