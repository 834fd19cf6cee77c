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

DOUBT_SHARE = 0.6
"""Share of the shortest bound after which news of the store counts as old."""

LATER_DOUBT_FACTOR = 1.3
"""Gateways far down the order doubt later than the next ones: not all step in at once."""

WATCH_SHARE = 0.5
"""Longest long poll as a share of the doubt: each empty answer confirms what is known."""

_ORDER_KEY = "store"


@dataclass(frozen=True, slots=True)
class _WatchOrder:
    """The serving members that follow the store, and those that doubt first without it."""

    watchers: frozenset[str] = frozenset()
    next_ones: frozenset[str] = frozenset()


class StoreDuty:
    """Decides at every moment whether this gateway follows the store itself."""

    def __init__(self, fleet: Fleet, shortest_bound: float) -> None:
        """Take the shortest time in seconds within which news must be acted upon."""
        self._fleet = fleet
        self.shortest_bound = shortest_bound
        self._weights: dict[str, int] = {}
        self._order_of: FleetView | None = None
        self._known_order = _WatchOrder()

    @property
    def _doubt_seconds(self) -> float:
        return DOUBT_SHARE * self.shortest_bound

    @property
    def watch_seconds(self) -> float:
        """Return how long one question to the store may wait for a change."""
        return WATCH_SHARE * self._doubt_seconds

    def watches(self, table: StoreTable, own_answer_at: float, now: float) -> bool:
        """Return whether to follow a table; ``own_answer_at`` is of the store's last answer."""
        order = self._order(now)
        own = self._fleet.own_name
        if own in order.watchers:
            return True
        confirmed = max(own_answer_at, self._fleet.confirmed_at(table))
        factor = 1.0 if own in order.next_ones else LATER_DOUBT_FACTOR
        return now - confirmed > self._doubt_seconds * factor

    def _order(self, now: float) -> _WatchOrder:
        """Return who follows the store; worked out anew only when the members change."""
        view = self._fleet.view(now)
        if self._order_of is not view:
            self._order_of = view
            self._known_order = self._work_out_order(view)
        return self._known_order

    def _work_out_order(self, view: FleetView) -> _WatchOrder:
        names = sorted(view.all_serving, key=self._weight, reverse=True)
        watchers = self._chosen(names)
        others = [name for name in names if name not in watchers]
        return _WatchOrder(frozenset(watchers), frozenset(others[: len(watchers)]))

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
