"""News of the store passed on at random: nearly all hear it, at a cost that is each one's."""

import random

import pytest

from corkcrank.node.membership.heartbeats import NEWS_MEMBERS

LOST_SHARE = 0.025
SEEDS = range(30)


def spread(members: int, first: int, source: random.Random) -> tuple[int, int]:
    """Return how many members hear news, and after how many steps the last one does."""
    heard = set(range(first))
    telling, steps = list(heard), 0
    while telling:
        told: set[int] = set()
        for member in telling:
            others = [other for other in range(members) if other != member]
            for other in source.sample(others, min(NEWS_MEMBERS, len(others))):
                if source.random() >= LOST_SHARE:
                    told.add(other)
        telling = sorted(told - heard)
        heard |= told
        steps += 1
    return len(heard), steps


@pytest.mark.parametrize("members", [7, 74, 350, 1000])
def test_nearly_all_hear_news_within_a_few_steps(members: int) -> None:
    results = [spread(members, min(4, members), random.Random(seed)) for seed in SEEDS]
    assert min(heard for heard, _ in results) >= 0.99 * members
    assert max(steps for _, steps in results) <= 7


def test_a_list_of_workers_is_put_in_order_once_for_many_changes() -> None:
    from corkcrank.contracts.worker_records import WorkerList, WorkerRecord

    ordered = 0

    class CountedList(WorkerList):
        def _reindex(self) -> None:
            nonlocal ordered
            ordered += 1
            super()._reindex()

    workers = CountedList()
    for number in range(1, 671):
        workers.apply_row(f"w{number}", WorkerRecord(f"w{number}", "s", "", "z"), number)
    assert len(workers.usable("s")) == 670
    assert len(workers.usable("s")) == 670
    assert ordered == 1
