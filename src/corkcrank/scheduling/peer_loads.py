"""Sums the calls in flight at each worker that the other gateways report."""

from collections.abc import Iterable

from corkcrank.machines.heartbeat import CallLoad
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

_NO_LOAD = CallLoad("", 0)


class PeerLoads:
    """The latest load report of each peer; a new report replaces only that peer's old one."""

    def __init__(self, worker_statistics: WorkerStatisticsTable) -> None:
        self._worker_statistics = worker_statistics
        self._reported_by_peer: dict[str, dict[str, CallLoad]] = {}

    def apply_peer_report(self, peer: str, loads: Iterable[CallLoad]) -> None:
        """Replace a peer's previous load report.

        >>> worker_statistics = WorkerStatisticsTable(); peers = PeerLoads(worker_statistics)
        >>> peers.apply_peer_report("a", [CallLoad("w", 3, 70)])
        >>> peers.apply_peer_report("a", [CallLoad("w", 1)])
        >>> (
        ...     worker_statistics.get_or_create("w").peers_in_flight,
        ...     worker_statistics.get_or_create("w").peers_reading,
        ... )
        (1, 0)
        """
        reported = {load.worker_id: load for load in loads}
        before = self._reported_by_peer.get(peer, {})
        for worker_id in {**reported, **before}:
            new, old = reported.get(worker_id, _NO_LOAD), before.get(worker_id, _NO_LOAD)
            statistics = self._worker_statistics.get_or_create(worker_id)
            statistics.peers_in_flight += new.in_flight - old.in_flight
            statistics.peers_reading += new.reading - old.reading
        self._reported_by_peer[peer] = reported

    def remove_peer(self, peer: str) -> None:
        """Remove a peer that stopped sending heartbeats, and its load."""
        self.apply_peer_report(peer, ())
        del self._reported_by_peer[peer]

    def peers(self) -> list[str]:
        """Return the names of the peers whose load is included."""
        return list(self._reported_by_peer)
