"""Stores recent answers to other gateways, which may still withdraw their requests.

Pure: callers pass the time.
"""

from collections import OrderedDict

from corkcrank.node.peers.peer_client import PEER_CONNECT_TIMEOUT_SECONDS, PEER_SILENCE_SECONDS
from corkcrank.node.peers.peer_protocol import StageAnswer

MAX_WITHDRAWAL_SECONDS = PEER_SILENCE_SECONDS + 2 * PEER_CONNECT_TIMEOUT_SECONDS
"""Time for which an answer can be withdrawn. The withdrawal needs a new connection and, without a
reply, is sent once more on another one."""

MAX_RECENT_ANSWERS = 1024
"""Maximum number of stored answers, 0.7 MB with two results each; the oldest are removed first. The
worker's expiry frees the results of a removed answer, as those of an answer lost in transit."""


class RecentAnswers:
    """Recently answered or withdrawn requests, by question number."""

    def __init__(self) -> None:
        self._entries: OrderedDict[int, tuple[float, StageAnswer | None]] = OrderedDict()

    def record_answer(self, question: int, answer: StageAnswer, now: float) -> bool:
        """Record an answer that is about to be sent; return whether it was not withdrawn."""
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
