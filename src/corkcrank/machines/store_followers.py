"""Which gateways follow the platform's store, so that not all of them have to.

One gateway of each zone, and a few at least in all, hold the store's long polls and tell
the others what changed. Every heartbeat tells how long ago its sender last had the store's
answer. A gateway that hears of no recent answer follows the store itself until it does, so
no failure of the chosen ones has to be detected. Pure: the time is handed in.
"""

from dataclasses import dataclass

from corkcrank.contracts.rendezvous import rendezvous_weight
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.fleet_view import FleetView

LEAST_WATCHERS = 4
"""Gateways that follow the store at least, if the fleet has as many."""

STALE_SHARE = 0.6
"""Share of the shortest bound after which news of the store counts as old."""

LATER_STALE_FACTOR = 1.3
"""Gateways far down the order step in later than the next ones: not all step in at once."""

WATCH_SHARE = 0.5
"""Longest long poll as a share of the time until news is stale: each empty answer confirms what is
known."""

GATHER_SHARE = 0.1
"""Time for which changes gather before a follower asks for the next ones, as a share of the
shortest bound: workers that start, warm up or leave together change one after the other."""

RETRY_SECONDS = (0.1, 0.8)
"""Shortest and longest pause of a follower after a failed call; doubled each time."""

MOST_DOUBLINGS = 8
"""Doublings of a pause after which it is at its longest in any case; keeps the power finite."""

STAND_IN_CALLS_PER_SECOND = 40.0
"""Calls a second about one table with which all others together look whether an outage is
over, as long as that lets each ask once in the time after which news counts as old."""

_ORDER_KEY = "store"


@dataclass(frozen=True, slots=True)
class _WatchOrder:
    """The serving members that follow the store, the others, and who of them steps in first."""

    followers: frozenset[str] = frozenset()
    others: frozenset[str] = frozenset()
    next_ones: frozenset[str] = frozenset()


class StoreFollowerElection:
    """Decides at every moment whether this gateway follows the store itself."""

    def __init__(self, fleet: Fleet, shortest_bound: float) -> None:
        """Take the shortest time in seconds within which news must be acted upon."""
        self._fleet = fleet
        self.shortest_bound = shortest_bound
        self._weights: dict[str, int] = {}
        self._order_of: FleetView | None = None
        self._known_order = _WatchOrder()

    @property
    def _stale_seconds(self) -> float:
        return STALE_SHARE * self.shortest_bound

    @property
    def watch_seconds(self) -> float:
        """Return how long one question to the store may wait for a change."""
        return WATCH_SHARE * self._stale_seconds

    @property
    def gather_seconds(self) -> float:
        """Return how long a follower lets changes gather after it has heard of some."""
        return GATHER_SHARE * self.shortest_bound

    def watches(self, table: StoreTable, own_answer_at: float, now: float) -> bool:
        """Return whether to follow a table; ``own_answer_at`` is of the store's last answer."""
        order = self._order(now)
        own = self._fleet.own_name
        if own in order.followers:
            return True
        confirmed = max(own_answer_at, self._fleet.confirmed_at(table))
        factor = 1.0 if own in order.next_ones else LATER_STALE_FACTOR
        return now - confirmed > self._stale_seconds * factor

    def follows(self, now: float) -> bool:
        """Return whether this gateway is one of those that follow the store for the others."""
        return self._fleet.own_name in self._order(now).followers

    def retry_seconds(self, failures: int, now: float) -> float:
        """Return the longest pause after a number of failed calls in a row.

        Followers see the store's return first and tell the others. Those ask too, for the
        store may turn just the followers away, but seldom in a large fleet.
        """
        shortest, longest = RETRY_SECONDS
        pause = min(longest, shortest * 2.0 ** min(failures, MOST_DOUBLINGS))
        order = self._order(now)
        if self._fleet.own_name in order.followers:
            return pause
        shared = len(order.others) / STAND_IN_CALLS_PER_SECOND
        return max(pause, min(self._stale_seconds, shared))

    def _order(self, now: float) -> _WatchOrder:
        """Return who follows the store; worked out anew only when the members change."""
        view = self._fleet.view(now)
        if self._order_of is not view:
            self._order_of = view
            self._known_order = self._work_out_order(view)
        return self._known_order

    def _work_out_order(self, view: FleetView) -> _WatchOrder:
        names = sorted(view.all_serving, key=self._weight, reverse=True)
        followers = self._chosen(names)
        others = [name for name in names if name not in followers]
        next_ones = others[: len(followers)]
        return _WatchOrder(frozenset(followers), frozenset(others), frozenset(next_ones))

    def _chosen(self, order: list[str]) -> set[str]:
        """Return the first of each zone, and the first of all until there are enough."""
        first_of_zone: dict[str, str] = {}
        for name in order:
            first_of_zone.setdefault(self._fleet.zone_of(name), name)
        chosen = set(first_of_zone.values())
        for name in order:
            if len(chosen) >= LEAST_WATCHERS:
                break
            chosen.add(name)
        return chosen

    def _weight(self, name: str) -> int:
        weight = self._weights.get(name)
        if weight is None:
            weight = self._weights[name] = rendezvous_weight(_ORDER_KEY, name)
        return weight
