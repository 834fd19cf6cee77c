"""Requests for engines that the queue of prompts holds, and their timeouts."""

import asyncio
from dataclasses import dataclass

from corkcrank.node.peers.peer_protocol import PromptGrant, PromptRequest
from corkcrank.scheduling.prompt_queue import QueuedPrompt

HOLD_SECONDS = 0.2
"""Time for which a request is held before its gateway must repeat it. The repetition shows the
gateway that the owner is alive, and the owner that the caller is connected. A wait of half a second
costs three requests."""

ASK_AGAIN_SECONDS = 0.15
"""Time within which the gateway of a held request must repeat it, as for any reply."""


def hold_seconds(request: PromptRequest) -> float:
    """Return the seconds for which a request may be held, at most until its call's deadline."""
    return max(0.0, min(HOLD_SECONDS, request.seconds))


@dataclass(slots=True, eq=False)
class HeldPrompt:
    """A waiting prompt; ``answered`` is set while its gateway waits for an answer."""

    prompt: QueuedPrompt
    request: PromptRequest
    answered: asyncio.Future[PromptGrant] | None = None

    @property
    def awaited(self) -> bool:
        """Return whether its gateway waits for an answer now."""
        return self.answered is not None and not self.answered.done()

    def answer(self, grant: PromptGrant) -> None:
        """Send the answer to the gateway if it waits."""
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(grant)
