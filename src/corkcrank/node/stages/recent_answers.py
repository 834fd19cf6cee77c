"""Answers recently sent to other gateways, which may still withdraw their question.

Pure: callers pass the time.
"""

from collections import OrderedDict

from corkcrank.node.peers.peer_client import PEER_CONNECT_TIMEOUT_SECONDS, PEER_SILENCE_SECONDS
from corkcrank.node.peers.peer_protocol import StageAnswer

MAX_WITHDRAWAL_SECONDS = PEER_SILENCE_SECONDS + 2 * PEER_CONNECT_TIMEOUT_SECONDS
"""Time for which an answer can be withdrawn: the message that withdraws it needs a new connection
and, if no reply arrives, is sent once more on another one."""

MAX_RECENT_ANSWERS = 1024
"""The oldest answers are removed first. 0.7 MB with two results each, by counted allocations. The
worker frees the results of a removed answer on expiry, as those of any answer lost in transit."""


class RecentAnswers:
    """Questions answered or withdrawn within the last second, by question number."""

    def __init__(self) -> None:
        self._entries: OrderedDict[int, tuple[float, StageAnswer | None]] = OrderedDict()

    def record_answer(self, question: int, answer: StageAnswer, now: float) -> bool:
        """Record an answer that is about to be sent; return whether its asker still wants it."""
        self._prune(now)
        _, taken_back = self._entries.pop(question, (now, answer))
        if taken_back is None:
            return False
        self._entries[question] = (now, answer)
        return True

    def withdraw_question(self, question: int, now: float) -> StageAnswer | None:
        """Withdraw a question; return its answer if that was already sent."""
        self._prune(now)
        _, answer = self._entries.pop(question, (now, None))
        if answer is None:
            self._entries[question] = (now, None)
        return answer

    def _prune(self, now: float) -> None:
        while self._entries:
            at, _ = next(iter(self._entries.values()))
            if now - at <= MAX_WITHDRAWAL_SECONDS and len(self._entries) < MAX_RECENT_ANSWERS:
                return
            self._entries.popitem(last=False)
