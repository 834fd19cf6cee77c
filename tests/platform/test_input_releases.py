"""Input results are freed once a worker has read them, not when the reading stage has ended.

Guards against refusals for lack of result memory. In a simulated burst the workers of a stage with
large results had memory for 101 results and stored each for 0.9 s, 0.36 s of that after the
next stage had read it. They sent batches of 30 for 47 pieces while 125 waited; 620 calls were
refused.
"""

import asyncio
from collections import deque

from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_owners import acquainted

from corkcrank.load.loopback import loopback_address

RESULT_BYTES = 4_000_000
"""Two results of a call fill the 10 MB of result memory, so that a second call waits."""

ENCODE = {"service": "encode", "since_revision": [], "byte_length": RESULT_BYTES}
RERANK = {"service": "rerank", "since_revision": [0], "byte_length": 500}
ROUTES = [
    route("chain", "stream", "model", stages=[ENCODE, RERANK]),
    route("fork", "stream", "model", stages=[ENCODE, RERANK, RERANK]),
]
PIECES = {"X-Corkcrank-Segments": "2,3,3", "X-Corkcrank-Segment-Key": "abcd"}


class Chain:
    """One worker for each stage and the model; calls of the second stage wait for ``gate``."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.encode = StandinStageWorker()
        self.rerank = StandinStageWorker(gate=self.gate)
        self.model = StandinWorker(events=2)

    def served(self) -> dict[str, tuple[StandinWorker | StandinStageWorker, str]]:
        return {
            "encode": (self.encode, "encode"),
            "rerank": (self.rerank, "rerank"),
            "model": (self.model, "model"),
        }

    async def all_freed(self) -> None:
        await until(lambda: not self.encode.held and not self.rerank.held)


async def status(running: World, path: str = "/chain/x", number: int = 0) -> int:
    response = await running.call(path, headers=PIECES, number=number)
    await response.read()
    return response.status


def two_calls(
    running: World, path: str = "/chain/x", numbers: tuple[int, int] = (0, 0)
) -> list[asyncio.Task[int]]:
    return [asyncio.create_task(status(running, path, number)) for number in numbers]


async def test_inputs_are_freed_for_the_next_call_while_their_reader_is_running() -> None:
    chain = Chain()
    async with world(configuration(1, ROUTES), chain.served()) as running:
        calls = two_calls(running)
        await until(lambda: len(chain.rerank.calls) == 1)
        await until(lambda: len(chain.encode.calls) == 2)
        assert len(chain.rerank.calls) == 1
        chain.gate.set()
        assert await asyncio.gather(*calls) == [200, 200]
        await chain.all_freed()


async def test_inputs_are_freed_if_another_gateway_owns_the_workers() -> None:
    chain = Chain()
    async with (
        world(configuration(1, ROUTES), chain.served()) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        calls = two_calls(running, numbers=(0, 1))
        await until(lambda: len(chain.rerank.calls) == 1)
        await until(lambda: len(chain.encode.calls) == 2)
        chain.gate.set()
        assert await asyncio.gather(*calls) == [200, 200]
        await chain.all_freed()


async def test_inputs_are_kept_until_the_stage_ends_if_no_piece_waits_for_memory() -> None:
    """An early release would gain nothing, and a worker failure would rerun all stages."""
    chain = Chain()
    chain.rerank.faults = deque(["reset-at-work"])
    async with world(configuration(1, ROUTES), chain.served()) as running:
        call = asyncio.create_task(status(running))
        await until(lambda: bool(chain.rerank.calls))
        await asyncio.sleep(0.2)
        assert chain.encode.held == chain.encode.made
        chain.gate.set()
        assert await call == 200
        assert len(chain.encode.calls) == 1
        await chain.all_freed()


async def test_inputs_of_two_stages_are_kept_for_the_second_reader() -> None:
    chain = Chain()
    async with world(configuration(1, ROUTES), chain.served()) as running:
        calls = two_calls(running, "/fork/x")
        await until(lambda: bool(chain.rerank.calls))
        await asyncio.sleep(0.2)
        assert chain.encode.held == chain.encode.made
        assert len(chain.encode.calls) == 1
        chain.gate.set()
        assert await asyncio.gather(*calls) == [200, 200]
        await chain.all_freed()


async def test_worker_failure_after_the_release_reruns_the_stages() -> None:
    chain = Chain()
    chain.rerank.faults = deque(["reset-at-work"])
    async with world(configuration(1, ROUTES), chain.served()) as running:
        calls = two_calls(running)
        await until(lambda: len(chain.encode.calls) == 2)
        chain.gate.set()
        assert await asyncio.gather(*calls) == [200, 200]
        assert len(chain.encode.calls) == 3
        for pieces in chain.rerank.calls:
            assert all(set(piece["inputs"]) <= chain.encode.made for piece in pieces)
        await chain.all_freed()


async def test_rejected_pieces_do_not_rerun_the_earlier_stage() -> None:
    chain = Chain()
    chain.rerank.faults = deque(["full", "full"])
    chain.gate.set()
    async with world(configuration(1, ROUTES), chain.served()) as running:
        assert await asyncio.gather(*two_calls(running)) == [200, 200]
        assert len(chain.encode.calls) == 2
        await chain.all_freed()


async def test_cancelled_calls_free_all_results() -> None:
    chain = Chain()
    async with world(configuration(1, ROUTES), chain.served()) as running:
        calls = two_calls(running)
        await until(lambda: len(chain.encode.calls) == 2)
        for call in calls:
            call.cancel()
        chain.gate.set()
        await chain.all_freed()
