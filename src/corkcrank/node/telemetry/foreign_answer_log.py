"""Logs and counts answers of workers that belong to other requests or to none."""

from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.foreign_answers import ForeignAnswer
from corkcrank.node.telemetry.metrics import NodeMetrics


class ForeignAnswerLog:
    """Receives the foreign answers of one gateway's workers."""

    def __init__(self, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def record(self, answer: ForeignAnswer) -> None:
        """Record one foreign answer; its connection is not used again."""
        self._metrics.foreign_answers.labels(answer.kind.value).inc()
        self._log.write(LogEvent.ANSWER_FOREIGN, kind=answer.kind.value, peer=answer.peer)
