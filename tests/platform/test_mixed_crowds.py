"""Crowds that do several things at once do not end a gateway: all that it keeps has one bound.

The crowd of each test uses up every account: bodies and heads whose calls wait, answers that are
not read or read slowly, and answers of a worker that never end.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from client_crowd import (
    ANSWER_BYTES,
    MAX_BODY_BYTES,
    Crowd,
    LargeWorker,
    crowded_world,
    head,
    ordinary_calls,
)

DESCRIPTORS = 1_638
"""Descriptors of the machines with the least memory."""

BODY_CLIENTS = 40
BODY_BYTES = 1_000_000
HEAD_CLIENTS = 60
FIELDS = [f"X-Filler-{number}: " + "f" * 40 for number in range(110)]
LARGE_CLIENTS = 40
MIDDLE_CLIENTS = 300
MIDDLE_BYTES = 65_000
SLOW_CLIENTS = 20
SLOW_BYTES_PER_SECOND = 100_000.0
ENDLESS_CLIENTS = 40
AHEAD = 6


@dataclass
class MixedWorker(LargeWorker):
    """A worker whose answer depends on the path; it holds some calls, and some never end."""

    gate: asyncio.Event = field(default_factory=asyncio.Event)

    async def _answer(self, request: Any, fault: str) -> Any:
        if request.path == "/crowd/held":
            await self.gate.wait()
        self.chunked = request.path == "/crowd/endless"
        self.answer_bytes = {
            "/crowd/middle": MIDDLE_BYTES,
            "/crowd/slow": MAX_BODY_BYTES,
            "/crowd/endless": 16 * MAX_BODY_BYTES,
        }.get(request.path, ANSWER_BYTES)
        return await super()._answer(request, fault)


async def join_all(crowd: Crowd) -> None:
    """Let clients of every kind join, the ones that keep room longest first."""
    body = b"b" * BODY_BYTES
    await crowd.join(BODY_CLIENTS, [head("/crowd/held", length=BODY_BYTES), body] * AHEAD)
    await crowd.join(HEAD_CLIENTS, [head("/crowd/held", *FIELDS)] * AHEAD)
    await crowd.join_readers(SLOW_CLIENTS, head("/crowd/slow"), SLOW_BYTES_PER_SECOND)
    await crowd.join(LARGE_CLIENTS, [head("/crowd/large")] * AHEAD)
    await crowd.join(ENDLESS_CLIENTS, [head("/crowd/endless")] * AHEAD)
    await crowd.join(MIDDLE_CLIENTS, [head("/crowd/middle")] * AHEAD)


async def test_clients_that_use_up_every_account_at_once_stay_within_the_memory() -> None:
    """Guards against accounts that each keep their bound and together exceed the memory."""
    async with crowded_world(MixedWorker(), DESCRIPTORS) as crowd:
        await join_all(crowd)
        await ordinary_calls(crowd.world)
