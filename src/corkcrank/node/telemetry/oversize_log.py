"""Logs and counts messages of peers that were dropped because they exceed a bound."""

from functools import partial

from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.received_bytes import OversizedMessage, Purpose, ReceivedBytes
from corkcrank.node.telemetry.metrics import NodeMetrics


class OversizeLog:
    """Receives the dropped messages of one gateway, of all purposes."""

    def __init__(self, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def record_dropped(self, message: OversizedMessage) -> None:
        """Record one message that was dropped."""
        self._metrics.oversized_messages.labels(message.purpose.value).inc()
        self._log.write(
            LogEvent.MESSAGE_OVERSIZED,
            kind=message.purpose.value,
            peer=message.peer,
            bytes=message.message_bytes,
            limit=message.limit_bytes,
            kept=message.kept_bytes,
            bound=message.bound_bytes,
        )


def account_received_bytes(
    limits: NodeLimitSettings, log: DecisionLog, metrics: NodeMetrics
) -> ReceivedBytes:
    """Return the account of a gateway, whose bounds follow the limits of the process."""
    received = ReceivedBytes()
    received.apply_limits(limits)
    received.on_oversize = OversizeLog(log, metrics).record_dropped
    for purpose in Purpose:
        gauge = metrics.received_bytes.labels(purpose.value)
        gauge.set_function(partial(received.kept.__getitem__, purpose))
    return received
