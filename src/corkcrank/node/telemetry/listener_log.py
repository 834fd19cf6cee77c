"""Logs and counts connections that were closed on the listeners for peers and health checks."""

from collections import Counter

from corkcrank.links.connection_listener import ConnectionPhase
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.listener_state import ListenerState
from corkcrank.node.telemetry.metrics import NodeMetrics


class ListenerLog:
    """Receives the events of one listener; ``listener`` names it in lines and metrics."""

    def __init__(self, log: DecisionLog, metrics: NodeMetrics, listener: str) -> None:
        self._log = log
        self._metrics = metrics
        self._listener = listener

    def record_closed(self, counts: Counter[ConnectionPhase], open_connections: int) -> None:
        """Record how many connections were closed to admit new ones, by phase."""
        self._record({phase.name.lower(): count for phase, count in counts.items()})

    def record_stalled(self, count: int) -> None:
        """Record how many connections were closed because their clients made no progress."""
        self._record({"stalled": count})

    def record_disconnected(self, count: int) -> None:
        """Record how many clients had disconnected before their connection was accepted."""
        self._record({"disconnected": count})

    def record_blocked(self, state: ListenerState) -> None:
        """Record that accepting has been blocked for longer than the limit."""
        self._log.write(
            LogEvent.LISTENER_BLOCKED,
            listener=self._listener,
            cause=state.blocked_by,
            open=state.open_connections,
            limit=state.connection_limit,
        )

    def record_accepting(self, state: ListenerState) -> None:
        """Record that accepting works again."""
        self._log.write(
            LogEvent.LISTENER_ACCEPTING,
            listener=self._listener,
            cause=state.blocked_by,
            seconds=round(state.blocked_seconds, 3),
        )

    def _record(self, counts: dict[str, int]) -> None:
        for cause, count in counts.items():
            self._metrics.listener_closed.labels(self._listener, cause).inc(count)
        self._log.write(LogEvent.LISTENER_CLOSED, listener=self._listener, **counts)
