"""Admits large request bodies before they are read; they wait unread while memory is short.

A body that waits holds up its sender, since its connection is not read. A body that finds no room
in time is refused: its call has not run.
"""

import asyncio
from dataclasses import dataclass, field

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.node.callers.refusals import Refusal
from corkcrank.scheduling.body_budget import BodyBudget, BodyClaim, bodies_bound_bytes

MAX_WAIT_SECONDS = 0.04
"""Maximum time for which a large body waits for room. Another gateway may have room, so the caller
learns early that this one has none."""


@dataclass(eq=False, slots=True)
class BodyTicket:
    """The room for the body of one call; released when the call ends."""

    granted: asyncio.Event = field(default_factory=asyncio.Event)


class BodyAdmission:
    """The large bodies of one gateway.

    Bodies in chunks take turns in ``chunked_turns``: a read resumes the parser, and small chunks
    cost it many times their bytes. Reads of many such bodies in one iteration of the event loop
    would hold up every other call.
    """

    def __init__(self) -> None:
        self.budget: BodyBudget[BodyTicket] = BodyBudget()
        self.chunked_turns = asyncio.Lock()

    def apply_limits(self, limits: NodeLimitSettings) -> None:
        """Set the bound that the settings of the process allow."""
        bound_bytes = bodies_bound_bytes(limits.memory_mb)
        self._wake(self.budget.set_bound(bound_bytes, clock.now()))

    async def admit(self, ticket: BodyTicket, claim: BodyClaim) -> Refusal | None:
        """Wait until the gateway has room for a body; return a refusal if it has none in time."""
        if self.budget.claim(ticket, claim, clock.now()):
            return None
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                await ticket.granted.wait()
        except TimeoutError:
            if not ticket.granted.is_set():
                return self._refusal(claim)
        finally:
            self._wake(self.budget.withdraw(ticket, clock.now()))
        return None

    def resize(self, ticket: BodyTicket, size: int) -> None:
        """Free the room that a body of unknown length did not need."""
        self._wake(self.budget.resize(ticket, size, clock.now()))

    def release(self, ticket: BodyTicket) -> None:
        """Free the room of a call that has ended."""
        self._wake(self.budget.release(ticket, clock.now()))

    def _refusal(self, claim: BodyClaim) -> Refusal:
        budget, memory = self.budget, self.budget.memory
        detail = f"{claim.size} bytes beside {budget.kept_bytes} of {budget.bound_bytes}"
        if not memory.has_room(claim.size):
            detail += f", {memory.kept_bytes} of {memory.bound_bytes} in all"
        return Refusal(
            ResultCode.MEMORY_SHORT,
            detail,
            retry_after=budget.retry_seconds(),
            close=True,
        )

    def _wake(self, tickets: list[BodyTicket]) -> None:
        for ticket in tickets:
            ticket.granted.set()
