"""Calls that began at a worker before it was known as brittle, and so without a lease.

Guards against a cap that a rejection lowers to the calls with a lease: a worker that keeps three
calls was given one at a time for seconds.
"""

from types import SimpleNamespace
from typing import Any

import pytest

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.peers.peer_protocol import LeaseRelease
from corkcrank.scheduling.concurrency_caps import UNKNOWN_CALLS_SECONDS
from corkcrank.scheduling.stated_limits import StatedLimits
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

TOLERATED_REJECTIONS = 3.0
SLOTS = 8
WORKER = WorkerRecord(
    name="w",
    service="llm",
    address="10.200.0.1:80",
    zone="a",
    slots=SLOTS,
    revision=1,
)


class Owner:
    """An owner of one worker, with the calls that gateways report there."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        patch.setattr(clock, "now", lambda: self.now)
        brittleness = StatedLimits()
        brittleness.record_answer(WORKER.worker_id, TOLERATED_REJECTIONS, self.now)
        table = WorkerStatisticsTable()
        self.statistics = table.get_or_create(WORKER.worker_id)
        mirror: Any = SimpleNamespace(warming=SimpleNamespace(any_warming=lambda now: False))
        fleet: Any = SimpleNamespace(local_name="n")
        self.limits = WorkerLimits(mirror, fleet, StatedLimits(), brittleness, table)

    def grant(self, call_id: str) -> None:
        """Grant a call, which is reported at once."""
        assert self.limits.grant_lease(WORKER, call_id, 10.0, self.now)
        self.statistics.in_flight += 1

    def end(self, call_id: str, *, rejected: bool) -> None:
        """Release a call's lease while the call is still reported."""
        self.limits.release_lease(LeaseRelease(WORKER.worker_id, call_id, rejected))
        self.statistics.in_flight -= 1

    @property
    def places(self) -> int | None:
        return self.limits.caps.places(WORKER.worker_id)


@pytest.mark.parametrize(("own", "of_peers"), [(3, 0), (0, 3), (1, 2)])
def test_a_rejection_leaves_places_for_the_calls_that_began_without_a_lease(
    own: int, of_peers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner = Owner(monkeypatch)
    owner.statistics.in_flight = own
    owner.statistics.peers_in_flight = of_peers
    owner.grant("rejected")
    owner.now += 0.01
    owner.end("rejected", rejected=True)
    assert owner.places == own + of_peers


def test_the_rejected_call_is_not_among_those_that_the_worker_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    owner = Owner(monkeypatch)
    for call_id in ("kept", "kept too", "rejected"):
        owner.grant(call_id)
    owner.end("rejected", rejected=True)
    assert owner.places == 2


def test_reports_do_not_keep_a_cap_at_what_the_worker_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Reports of peers are late and may still count calls that have ended."""
    owner = Owner(monkeypatch)
    owner.statistics.peers_in_flight = 2 * SLOTS
    for number in range(3):
        owner.grant(f"{number}")
        owner.end(f"{number}", rejected=True)
        assert owner.places == SLOTS - 1 - number


def test_leases_alone_count_once_no_call_without_one_can_be_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    owner = Owner(monkeypatch)
    owner.grant("first")
    owner.end("first", rejected=False)
    owner.statistics.peers_in_flight = 3
    owner.now += UNKNOWN_CALLS_SECONDS
    owner.grant("rejected")
    owner.end("rejected", rejected=True)
    assert owner.places == 1
