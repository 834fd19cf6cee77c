"""The failures that a gateway keeps while another worker is tried stay within its memory limit.

Guards against complete answers that no account counts: each call that may be sent again keeps the
last failure of a worker until another worker has answered.
"""

import asyncio

import endless_answers
import pytest
from endless_answers import Endless, EndlessPeer, _EndlessServer
from node_world import route
from process_world import exchange, process_world, request_bytes

from corkcrank.contracts.memory import BYTES_PER_MB
from corkcrank.links.received_bytes import received_bound_bytes

DESCRIPTORS = 1_024
MEMORY_MB = 160.0
USED_SHARE = 0.6
NEAR_BOUND = 0.9
WORKERS = 30
CALLS = 40
GAP_SECONDS = 0.08
SECONDS = 5.0
"""Time in which a call is answered; its deadline is 4 s."""

ROUTES = [
    route("safe", "safe", "plain"),
    route("repeated", "safe", "model", max_attempts=2),
    route("talk", "stream", "model", max_attempts=2, stream_resume=True),
]


class FailingOnce(_EndlessServer):
    """Answers the first attempt of each call with a large failure, and the second one never."""

    attempted: set[bytes]

    async def _send_endlessly(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ids: bytes
    ) -> None:
        call = ids.partition(b"\r\n")[0]
        if call in self.attempted:
            await reader.read()
            return
        self.attempted.add(call)
        await super()._send_endlessly(reader, writer, ids)


@pytest.mark.parametrize("path", ["/repeated/x", "/talk/x"])
async def test_kept_failures_leave_a_gateway_within_its_memory(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endless_answers, "OK", b"HTTP/1.1 500 Failed\r\n")
    monkeypatch.setattr(FailingOnce, "attempted", set(), raising=False)
    monkeypatch.setattr(endless_answers, "_EndlessServer", FailingOnce)
    size = int(received_bound_bytes(MEMORY_MB) * NEAR_BOUND)
    others = [(EndlessPeer(Endless.CHUNKS, ends_after=size), "model") for _ in range(WORKERS)]
    limits = {"memory_mb": MEMORY_MB}
    async with process_world(DESCRIPTORS, limits=limits, routes=ROUTES, others=others) as running:

        async def call(number: int) -> int:
            await asyncio.sleep(GAP_SECONDS * number)
            request = request_bytes(close=True, path=path)
            return await exchange(running.caller_address, request, SECONDS)

        statuses = await asyncio.gather(*[call(number) for number in range(CALLS)])
        assert 0 not in statuses
        assert running.peak_bytes < USED_SHARE * MEMORY_MB * BYTES_PER_MB
