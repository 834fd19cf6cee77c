"""Election of the gateways that follow the platform's store on behalf of all gateways.

At least one gateway of each zone, and a minimum number in all, hold long polls at the store and
report changes to the others. Every heartbeat carries the time since the sender's newest answer of
the store. A gateway without a recent answer follows the store itself until it receives one, so
failures of the elected followers need no detection. Has no clock: callers pass the time.
"""

from dataclasses import dataclass

from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.fleet_view import FleetView

MIN_FOLLOWERS = 4
"""Minimum number of gateways that follow the store, if the fleet has that many."""

STALE_SHARE = 0.6
"""Time after which an answer of the store counts as stale, as a share of the shortest time within
which an update must take effect."""

LATE_STAND_IN_STALE_FACTOR = 1.3
"""Factor on the stale time for gateways that are neither followers nor next in the order after
them. They start to follow the store later than those next ones, so that not all start at once."""

LONG_POLL_SHARE = 0.5
"""Maximum duration of a long poll as a share of the stale time: an empty answer confirms the known
state before it becomes stale."""

CHANGE_BATCHING_SHARE = 0.1
"""Time that a follower waits after changes before it asks for more, as a share of the shortest
time within which an update must take effect: workers that start, warm up or leave together change
one after the other."""

RETRY_PAUSE_RANGE_SECONDS = (0.1, 0.8)
"""Minimum and maximum pause of a follower after a failed call; doubles with each failure."""

MAX_RETRY_PAUSE_DOUBLINGS = 8
"""Maximum doublings of the pause, which has reached its maximum by then; keeps the power of 2
finite."""

MAX_STAND_IN_CALLS_PER_SECOND = 40.0
"""Maximum calls a second for one table by which all non-followers together check whether an outage
is over, as long as each can then ask once in the stale time."""

_ORDER_KEY = "store"


@dataclass(frozen=True, slots=True)
class _FollowOrder:
    """The serving members by role: followers, the others, and those that stand in first."""

    followers: frozenset[str] = frozenset()
    non_followers: frozenset[str] = frozenset()
    first_stand_ins: frozenset[str] = frozenset()


class StoreFollowerElection:
    """Decides whether this gateway follows the store."""

    def __init__(self, fleet: Fleet, shortest_bound: float) -> None:
        """Set the fleet, and the shortest time in seconds within which updates must take effect."""
        self._fleet = fleet
        self.shortest_bound = shortest_bound
        self._weights: dict[str, int] = {}
        self._ordered_view: FleetView | None = None
        self._cached_order = _FollowOrder()

    @property
    def _stale_seconds(self) -> float:
        return STALE_SHARE * self.shortest_bound

    @property
    def long_poll_seconds(self) -> float:
        """Return the maximum duration of a long poll in seconds."""
        return LONG_POLL_SHARE * self._stale_seconds

    @property
    def change_batching_seconds(self) -> float:
        """Return the seconds that a follower waits after changes before the next poll."""
        return CHANGE_BATCHING_SHARE * self.shortest_bound

    def should_follow_table(self, table: StoreTable, local_answer_at: float, now: float) -> bool:
        """Return whether to follow a table.

        ``local_answer_at`` is the time of the store's last answer to this gateway.
        """
        order = self._follow_order(now)
        own = self._fleet.local_name
        if own in order.followers:
            return True
        confirmed = max(local_answer_at, self._fleet.store_confirmed_at(table))
        factor = 1.0 if own in order.first_stand_ins else LATE_STAND_IN_STALE_FACTOR
        return now - confirmed > self._stale_seconds * factor

    def is_elected_follower(self, now: float) -> bool:
        """Return whether this gateway is elected to follow the store for the others."""
        return self.is_elected(self._fleet.local_name, now)

    def is_elected(self, member: str, now: float) -> bool:
        """Return whether a member is elected to follow the store for the others."""
        return member in self._follow_order(now).followers

    def max_retry_pause_seconds(self, failures: int, now: float) -> float:
        """Return the maximum pause in seconds after a number of consecutive failed calls.

        Followers detect the store's return first and report it to the others. The others also
        ask, since the store may refuse only the followers, but rarely in a large fleet.
        """
        min_pause, max_pause = RETRY_PAUSE_RANGE_SECONDS
        pause = min(max_pause, min_pause * 2.0 ** min(failures, MAX_RETRY_PAUSE_DOUBLINGS))
        order = self._follow_order(now)
        if self._fleet.local_name in order.followers:
            return pause
        shared = len(order.non_followers) / MAX_STAND_IN_CALLS_PER_SECOND
        return max(pause, min(self._stale_seconds, shared))

    def _follow_order(self, now: float) -> _FollowOrder:
        """Return the order of followers; recomputed only when the members change."""
        view = self._fleet.view(now)
        if self._ordered_view is not view:
            self._ordered_view = view
            self._cached_order = self._compute_order(view)
        return self._cached_order

    def _compute_order(self, view: FleetView) -> _FollowOrder:
        names = sorted(view.all_serving, key=self._weight, reverse=True)
        followers = self._elect_followers(names)
        others = [name for name in names if name not in followers]
        first_stand_ins = others[: len(followers)]
        return _FollowOrder(frozenset(followers), frozenset(others), frozenset(first_stand_ins))

    def _elect_followers(self, order: list[str]) -> set[str]:
        """Return the first member of each zone, then the first of the order up to the minimum."""
        first_of_zone: dict[str, str] = {}
        for name in order:
            first_of_zone.setdefault(self._fleet.zone_of(name), name)
        chosen = set(first_of_zone.values())
        for name in order:
            if len(chosen) >= MIN_FOLLOWERS:
                break
            chosen.add(name)
        return chosen

    def _weight(self, name: str) -> int:
        weight = self._weights.get(name)
        if weight is None:
            weight = self._weights[name] = rendezvous_hash(_ORDER_KEY, name)
        return weight
