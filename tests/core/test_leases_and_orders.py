"""Leases and fenced orders under pauses: a worker never obeys two holders at a time.

Clocks of different members differ. A member can pause between the check of its lease and the
arrival of its order, at most for the maximum transit time of an order.
"""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from corkcrank.contracts.configuration import Configuration, Placement
from corkcrank.contracts.identifiers import Address, MemberId, WorkerId
from corkcrank.contracts.messages import LoadReport, WorkerEntry
from corkcrank.links.back_ends import ORDER_TIMEOUT_SECONDS
from corkcrank.machines.leases import Lease, LeaseRow, WriteLease
from corkcrank.machines.orders import required_orders

MEMBERS = 3
STEPS = 250


@dataclass
class Flight:
    fence: int
    lands_at: float


@dataclass
class Member:
    lease: Lease
    clock_offset: float
    paused_until: float = 0.0
    next_tick: float = 0.0


@dataclass
class Simulation:
    source: random.Random
    checks_fence: bool
    lease_type: type[Lease] = Lease
    now: float = 0.0
    row: LeaseRow | None = None
    revision: int = 0
    flights: list[Flight] = field(default_factory=list)
    obeyed: list[int] = field(default_factory=list)
    worker_fence: int = 0

    def __post_init__(self) -> None:
        self.members = [
            Member(
                self.lease_type("zone", MemberId(f"m{number}"), Address("")),
                clock_offset=self.source.uniform(0.0, 1000.0),
            )
            for number in range(MEMBERS)
        ]

    def advance(self, seconds: float) -> None:
        self.now += seconds
        landing = sorted(
            (flight for flight in self.flights if flight.lands_at <= self.now),
            key=lambda flight: flight.lands_at,
        )
        self.flights = [flight for flight in self.flights if flight.lands_at > self.now]
        for flight in landing:
            self.land(flight)

    def land(self, flight: Flight) -> None:
        if self.checks_fence and flight.fence < self.worker_fence:
            return
        self.worker_fence = max(self.worker_fence, flight.fence)
        self.obeyed.append(flight.fence)
        assert self.obeyed == sorted(self.obeyed), "an older holder was obeyed after a newer one"

    def tick(self, member: Member) -> None:
        if member.paused_until > self.now:
            return
        if self.source.random() < 0.1:
            member.paused_until = self.now + self.source.choice((0.5, 5.0, 60.0))
            return
        clock = self.now + member.clock_offset
        if self.source.random() < 0.8:
            member.lease.record_row(self.row, self.revision, clock)
        write = member.lease.next_write(clock)
        if write is not None:
            self.write(member, write, clock)
        self.order(member)

    def write(self, member: Member, write: WriteLease, sent_at: float) -> None:
        fate = self.source.random()
        if fate < 0.1:
            return
        if write.expected_revision != self.revision:
            member.lease.record_row(self.row, self.revision, sent_at)
            return
        self.row, self.revision = write.row, self.revision + 1
        if fate < 0.2:
            return
        # The answer may be read late, so the lease counts from the time before the send.
        member.lease.record_write(write, self.revision, sent_at)

    def order(self, member: Member) -> None:
        clock = self.now + member.clock_offset
        if not member.lease.holds(clock, margin=ORDER_TIMEOUT_SECONDS):
            return
        flight = self.source.uniform(0.0, ORDER_TIMEOUT_SECONDS)
        self.flights.append(Flight(member.lease.fence, self.now + flight))


def run_simulation(simulation: Simulation) -> None:
    for _ in range(STEPS):
        simulation.advance(simulation.source.choice((0.05, 0.3, 1.0)))
        simulation.tick(simulation.source.choice(simulation.members))


@settings(max_examples=200)
@given(seed=st.integers(0, 1 << 32), checks_fence=st.booleans())
def test_two_holders_are_never_both_obeyed(seed: int, checks_fence: bool) -> None:
    run_simulation(Simulation(random.Random(seed), checks_fence))


class ImpatientLease(Lease):
    """Faulty on purpose: takes over as soon as it reads a row of another holder."""

    def next_write(self, now: float) -> WriteLease | None:
        if self.row is not None and self.row.holder != self.member:
            return self._claim(fence=self.row.fence + 1)
        return super().next_write(now)


class TrustingLease(Lease):
    """Faulty on purpose: never lets its lease expire."""

    def holds(self, now: float, margin: float = 0.0) -> bool:
        return self.row is not None and self.row.holder == self.member


@pytest.mark.parametrize("broken", [ImpatientLease, TrustingLease])
def test_the_simulation_detects_faulty_leases(broken: type[Lease]) -> None:
    @settings(max_examples=200, phases=[Phase.generate], report_multiple_bugs=False)
    @given(seed=st.integers(0, 1 << 32))
    def search(seed: int) -> None:
        run_simulation(Simulation(random.Random(seed), checks_fence=False, lease_type=broken))

    with pytest.raises(AssertionError, match="older holder"):
        search()


def test_a_released_lease_is_claimed_at_once_with_a_higher_fence() -> None:
    lease = Lease("zone", MemberId("next"), Address(""))
    lease.record_row(LeaseRow(MemberId(""), Address(""), fence=4, renewal=9), revision=7, now=0.0)
    write = lease.next_write(0.0)
    assert write is not None
    assert (write.row.fence, write.expected_revision) == (5, 7)


def test_orders_state_the_wanted_models_of_reported_workers_only() -> None:
    workers = [WorkerEntry(WorkerId(name), "llm", "a", "1.1.1.1:1") for name in ("x", "y", "z")]
    configuration = Configuration(
        version=1,
        placements=tuple(Placement(worker.worker, ("m1", "m2")) for worker in workers),
    )
    reports = [
        LoadReport(WorkerId("x"), False, 0, 0, 8, models=("m2", "m1")),
        LoadReport(WorkerId("y"), False, 0, 0, 8, models=("m1",)),
    ]
    orders = required_orders(configuration, workers, reports, fence=3)
    assert [(order.worker, order.fence, order.models) for order in orders] == [
        ("y", 3, ("m1", "m2"))
    ]
