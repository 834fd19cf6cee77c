"""Calls in flight at workers as the other gateways tell them, added up."""

from collections.abc import Iterable

from corkcrank.machines.heartbeat import CallLoad
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

_NOTHING = CallLoad("", 0)


class PeerLoads:
    """Keeps each peer's last word, so that a new one replaces just that."""

    def __init__(self, worker_statistics: WorkerStatisticsTable) -> None:
        self._worker_statistics = worker_statistics
        self._told: dict[str, dict[str, CallLoad]] = {}

    def take(self, peer: str, loads: Iterable[CallLoad]) -> None:
        """Replace what a peer told before.

        >>> worker_statistics = WorkerStatisticsTable()
        >>> peers = PeerLoads(worker_statistics)
        >>> peers.take("a", [CallLoad("w", 3, 70)]); peers.take("a", [CallLoad("w", 1)])
        >>> worker_statistics.of("w").peers_in_flight, worker_statistics.of("w").peers_reading
        (1, 0)
        """
        told = {load.worker_id: load for load in loads}
        before = self._told.get(peer, {})
        for worker_id in {**told, **before}:
            new, old = told.get(worker_id, _NOTHING), before.get(worker_id, _NOTHING)
            statistics = self._worker_statistics.of(worker_id)
            statistics.peers_in_flight += new.in_flight - old.in_flight
            statistics.peers_reading += new.reading - old.reading
        self._told[peer] = told

    def forget(self, peer: str) -> None:
        """Drop a peer that is silent."""
        self.take(peer, ())
        del self._told[peer]

    def peers(self) -> list[str]:
        """Return the peers that are counted."""
        return list(self._told)
