"""Counts the pieces that running calls will request next, and the rate at which calls begin."""

from collections.abc import Iterator
from contextlib import contextmanager

from corkcrank.contracts.urgency import DownstreamOrder, downstream_rank
from corkcrank.machines.owner_use import OwnerUse
from corkcrank.node.peers.peer_protocol import StageWork
from corkcrank.scheduling.stage_backlog import StageBacklog


class DownstreamBacklog(StageBacklog):
    """The later pieces of calls whose pieces run at this owner.

    Owners report these counts instead of the gateways that received the calls. The few owners send
    heartbeats more often, so admission uses more recent counts.
    """

    def __init__(self) -> None:
        super().__init__()
        self.use = OwnerUse()
        """Time of the last use by a caller; other gateways then rely on reports of these queues."""
        self.order = DownstreamOrder.DUE
        """The order in which the following stages serve the counted pieces."""

    @contextmanager
    def count_following(self, work: StageWork, now: float) -> Iterator[None]:
        """Count the pieces that follow the given work until the work has ended."""
        rank = work.urgency.rank
        later_rank = downstream_rank(rank, self.order)
        self.use.record_use(now)
        if work.begins:
            self.record_requested(work.service, rank, len(work.pieces), now)
        for later in work.following:
            self.add_expected(later.service, later_rank, later.pieces)
            if work.begins:
                self.record_requested(later.service, later_rank, later.pieces, now)
        try:
            yield
        finally:
            for later in work.following:
                self.subtract_expected(later.service, later_rank, later.pieces)
