"""What the calls at work at an owner will ask for next, and how fast calls begin."""

from collections.abc import Iterator
from contextlib import contextmanager

from corkcrank.contracts.urgency import begun_rank
from corkcrank.machines.owner_use import OwnerUse
from corkcrank.node.peers.peer_protocol import StageWork
from corkcrank.scheduling.stage_backlog import StageBacklog


class DownstreamBacklog(StageBacklog):
    """Counts what follows the pieces that are made here.

    Owners tell it, not the gateways whose calls they are: the few owners are heard oftener,
    and a call is decided by counts that are younger.
    """

    def __init__(self) -> None:
        super().__init__()
        self.use = OwnerUse()
        """When pieces were sent here: others decide by these queues."""

    @contextmanager
    def counted(self, work: StageWork, now: float) -> Iterator[None]:
        """Count what follows a piece of work until it has ended."""
        rank = work.urgency.rank
        later_rank = begun_rank(rank)
        self.use.note(now)
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
