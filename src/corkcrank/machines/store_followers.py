"""Election of the gateways that follow the platform's store on behalf of all gateways.

At least one gateway of each zone, and a minimum number in all, hold long polls at the store and
report changes to the others. Every heartbeat carries the time since the sender's newest answer of
the store. A gateway without a recent answer follows the store itself until it receives one, so
failures of the elected followers need no detection. Has no clock: callers pass the time.
"""

from dataclasses import dataclass

from corkcrank.contracts.rendezvous import rendezvous_weight
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.fleet_view import FleetView

LEAST_WATCHERS = 4
"""Minimum number of gateways that follow the store, if the fleet has that many."""

STALE_SHARE = 0.6
"""Time after which an answer of the store counts as stale, as a share of the shortest bound."""

LATER_STALE_FACTOR = 1.3
"""Factor on the stale time of gateways that are not the next in the order: keeps all gateways
from starting to follow the store at once."""

WATCH_SHARE = 0.5
"""Maximum duration of a long poll as a share of the stale time: an empty answer confirms the known
state before it becomes stale."""

GATHER_SHARE = 0.1
"""Time that a follower waits after changes before it asks for more, as a share of the shortest
bound: workers that start, warm up or leave together change one after the other."""

RETRY_SECONDS = (0.1, 0.8)
"""Minimum and maximum pause of a follower after a failed call; doubles with each failure."""

MOST_DOUBLINGS = 8
"""Maximum doublings of the pause, which has reached its maximum by then; keeps the power of 2
finite."""

STAND_IN_CALLS_PER_SECOND = 40.0
"""Maximum calls a second for one table by which all non-followers together check whether an outage
is over, as long as each can then ask once in the stale time."""

_ORDER_KEY = "store"


@dataclass(frozen=True, slots=True)
class _WatchOrder:
    """The serving members by role: followers, the others, and those that stand in first."""

    followers: frozenset[str] = frozenset()
    others: frozenset[str] = frozenset()
    next_ones: frozenset[str] = frozenset()


class StoreFollowerElection:
    """Decides whether this gateway follows the store."""

    def __init__(self, fleet: Fleet, shortest_bound: float) -> None:
        """Set the fleet, and the shortest time in seconds within which updates must take effect."""
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
        """Return the maximum duration of a long poll in seconds."""
        return WATCH_SHARE * self._stale_seconds

    @property
    def gather_seconds(self) -> float:
        """Return the seconds that a follower waits after changes before the next poll."""
        return GATHER_SHARE * self.shortest_bound

    def watches(self, table: StoreTable, own_answer_at: float, now: float) -> bool:
        """Return whether to follow a table.

        ``own_answer_at`` is the time of the store's last answer to this gateway.
        """
        order = self._order(now)
        own = self._fleet.local_name
        if own in order.followers:
            return True
        confirmed = max(own_answer_at, self._fleet.store_confirmed_at(table))
        factor = 1.0 if own in order.next_ones else LATER_STALE_FACTOR
        return now - confirmed > self._stale_seconds * factor

    def follows(self, now: float) -> bool:
        """Return whether this gateway is elected to follow the store for the others."""
        return self._fleet.local_name in self._order(now).followers

    def retry_seconds(self, failures: int, now: float) -> float:
        """Return the maximum pause in seconds after a number of consecutive failed calls.

        Followers detect the store's return first and report it to the others. The others also
        ask, since the store may refuse only the followers, but rarely in a large fleet.
        """
        min_pause, max_pause = RETRY_SECONDS
        pause = min(max_pause, min_pause * 2.0 ** min(failures, MOST_DOUBLINGS))
        order = self._order(now)
        if self._fleet.local_name in order.followers:
            return pause
        shared = len(order.others) / STAND_IN_CALLS_PER_SECOND
        return max(pause, min(self._stale_seconds, shared))

    def _order(self, now: float) -> _WatchOrder:
        """Return the order of followers; recomputed only when the members change."""
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
        """Return the first member of each zone, then the first of the order up to the minimum."""
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
