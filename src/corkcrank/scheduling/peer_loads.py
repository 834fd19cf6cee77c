"""Calls in flight at workers as the other gateways tell them, added up."""

from collections.abc import Iterable

from corkcrank.machines.heartbeat import CallLoad
from corkcrank.scheduling.worker_choice import StandingBook

_NOTHING = CallLoad("", 0)


class PeerLoads:
    """Keeps each peer's last word, so that a new one replaces just that."""

    def __init__(self, book: StandingBook) -> None:
        self._book = book
        self._told: dict[str, dict[str, CallLoad]] = {}

    def take(self, peer: str, loads: Iterable[CallLoad]) -> None:
        """Replace what a peer told before.

        >>> book = StandingBook()
        >>> peers = PeerLoads(book)
        >>> peers.take("a", [CallLoad("w", 3, 70)]); peers.take("a", [CallLoad("w", 1)])
        >>> book.of("w").peers_in_flight, book.of("w").peers_reading
        (1, 0)
        """
        told = {load.worker_id: load for load in loads}
        before = self._told.get(peer, {})
        for worker_id in {**told, **before}:
            new, old = told.get(worker_id, _NOTHING), before.get(worker_id, _NOTHING)
            standing = self._book.of(worker_id)
            standing.peers_in_flight += new.in_flight - old.in_flight
            standing.peers_reading += new.reading - old.reading
        self._told[peer] = told

    def forget(self, peer: str) -> None:
        """Drop a peer that is silent."""
        self.take(peer, ())
        del self._told[peer]

    def peers(self) -> list[str]:
        """Return the peers that are counted."""
        return list(self._told)
