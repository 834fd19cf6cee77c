"""Random forwarding of store updates: nearly all members receive each, at a bounded cost."""

import random

import pytest

from corkcrank.node.membership.heartbeats import UPDATE_FANOUT

LOST_DATAGRAM_SHARE = 0.025
SEEDS = range(30)


def spread(members: int, first: int, source: random.Random) -> tuple[int, int]:
    """Return how many members receive an update, and the number of steps until the last."""
    received = set(range(first))
    senders, steps = list(received), 0
    while senders:
        recipients: set[int] = set()
        for member in senders:
            others = [other for other in range(members) if other != member]
            for other in source.sample(others, min(UPDATE_FANOUT, len(others))):
                if source.random() >= LOST_DATAGRAM_SHARE:
                    recipients.add(other)
        senders = sorted(recipients - received)
        received |= recipients
        steps += 1
    return len(received), steps


@pytest.mark.parametrize("members", [7, 74, 350, 1000])
def test_nearly_all_members_receive_an_update_within_a_few_steps(members: int) -> None:
    results = [spread(members, min(4, members), random.Random(seed)) for seed in SEEDS]
    assert min(received for received, _ in results) >= 0.99 * members
    assert max(steps for _, steps in results) <= 7


def test_a_list_of_workers_is_indexed_once_for_many_changes() -> None:
    from corkcrank.contracts.worker_records import WorkerList, WorkerRecord

    reindexed = 0

    class CountedList(WorkerList):
        def _reindex(self) -> None:
            nonlocal reindexed
            reindexed += 1
            super()._reindex()

    workers = CountedList()
    for number in range(1, 671):
        workers.apply_row(f"w{number}", WorkerRecord(f"w{number}", "s", "", "z"), number)
    assert len(workers.usable_workers("s")) == 670
    assert len(workers.usable_workers("s")) == 670
    assert reindexed == 1
