"""Connects those that exchange datagrams of their own to the link that heartbeats use."""

from corkcrank.node.membership.heartbeats import HeartbeatLoop
from corkcrank.node.origins.origin_directory import OriginDirectory
from corkcrank.node.returns.claim_keeper import ClaimKeeper


def connect_datagrams(
    heartbeats: HeartbeatLoop, origins: OriginDirectory, claims: ClaimKeeper
) -> None:
    """Have origins and claims sent, received and reported through the link of heartbeats."""

    def receive(data: bytes) -> None:
        if not claims.receive(data):
            origins.receive(data)

    heartbeats.on_other_datagram = receive
    heartbeats.claimed_backlogs = claims.backlogs
    origins.send = heartbeats.send_datagram
    claims.send = heartbeats.send_datagram
