"""Calls that many share: none gets a result that is older than its question."""

import asyncio
from dataclasses import dataclass, field

from corkcrank.links.shared_call import SharedCall

SECONDS = 0.02


@dataclass
class Source:
    """Returns the number of calls that had begun when it was asked."""

    begun: int = 0
    most: int = 0
    running: int = 0
    times: list[float] = field(default_factory=list)

    async def ask(self) -> int:
        self.begun += 1
        self.running += 1
        self.most = max(self.most, self.running)
        self.times.append(asyncio.get_running_loop().time())
        number = self.begun
        await asyncio.sleep(SECONDS)
        self.running -= 1
        return number


async def test_calls_at_the_same_time_share_one_result() -> None:
    source = Source()
    shared = SharedCall(source.ask, lambda: 0.0)
    assert await asyncio.gather(*(shared.run() for _ in range(50))) == [1] * 50


async def test_a_call_gets_no_result_that_was_under_way_before() -> None:
    source = Source()
    shared = SharedCall(source.ask, lambda: 0.0)
    first = asyncio.create_task(shared.run())
    await asyncio.sleep(SECONDS / 2)
    assert await asyncio.gather(*(shared.run() for _ in range(50))) == [2] * 50
    assert await first == 1
    assert source.most == 1


async def test_calls_keep_the_interval() -> None:
    source = Source()
    shared = SharedCall(source.ask, lambda: 4 * SECONDS)
    await shared.run()
    await shared.run()
    assert source.times[1] - source.times[0] >= 4 * SECONDS - 0.001


async def test_a_caller_that_leaves_does_not_end_the_call_of_the_others() -> None:
    source = Source()
    shared = SharedCall(source.ask, lambda: 0.0)
    leaver, other = asyncio.create_task(shared.run()), asyncio.create_task(shared.run())
    await asyncio.sleep(SECONDS / 2)
    leaver.cancel()
    assert await other == 1
