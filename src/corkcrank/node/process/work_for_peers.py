"""The work that a gateway does for others, as its drain waits for it."""

from dataclasses import dataclass

from corkcrank.node.relays.relay_server import RelayServer
from corkcrank.node.stages.stage_owner import StageOwner


@dataclass(frozen=True, slots=True)
class WorkForPeers:
    """The stage work and the relayed requests of other gateways."""

    stage_owner: StageOwner
    relays: RelayServer

    @property
    def busy(self) -> bool:
        """Return whether any piece is queued or running, or any request is being relayed."""
        return self.stage_owner.busy or self.relays.in_flight > 0

    def end_by(self, stop_at: float) -> None:
        """Accept only pieces that are expected to end before a time."""
        self.stage_owner.ends_by = stop_at

    def refuse_pieces(self) -> None:
        """Refuse queued and later pieces."""
        self.stage_owner.refuse_pieces()
