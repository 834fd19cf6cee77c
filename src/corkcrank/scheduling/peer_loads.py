"""Calls in flight at workers as the other gateways tell them, added up."""

from collections.abc import Iterable

from corkcrank.machines.fleet import CallLoad
from corkcrank.scheduling.worker_choice import StandingBook


class PeerLoads:
    """Keeps each peer's last word, so that a new one replaces just that."""

    def __init__(self, book: StandingBook) -> None:
        self._book = book
        self._told: dict[str, dict[str, int]] = {}

    def take(self, peer: str, loads: Iterable[CallLoad]) -> None:
        """Replace what a peer told before.

        >>> book = StandingBook()
        >>> peers = PeerLoads(book)
        >>> peers.take("a", [CallLoad("w", 3)]); peers.take("a", [CallLoad("w", 1)])
        >>> book.of("w").peers_in_flight
        1
        """
        told = {load.worker_id: load.in_flight for load in loads}
        before = self._told.get(peer, {})
        for worker_id in told.keys() | before.keys():
            change = told.get(worker_id, 0) - before.get(worker_id, 0)
            self._book.of(worker_id).peers_in_flight += change
        self._told[peer] = told

    def forget(self, peer: str) -> None:
        """Drop a peer that is silent."""
        self.take(peer, ())
        del self._told[peer]

    def peers(self) -> list[str]:
        """Return the peers that are counted."""
        return list(self._told)
