"""The relay tree that distributes a zone's digest to every member.

A member forwards each digest once, to its children in the tree. If a child does not answer, its
parent sends to the child's children, until the zone's holder removes the child from the members.
"""

import asyncio

from corkcrank.links.peer_client import PeerClient
from corkcrank.links.peer_codec import encode_digest
from corkcrank.machines.member_view import MemberView
from corkcrank.zones.digest import MemberEntry, ZoneDigest, relay_targets
from corkcrank.zones.peer_messages import Enclosures

HOLDER_POSITION = -1
"""Position in the tree of the holder that publishes digests: above all members."""


class DigestRelay:
    """One member's node of the relay tree."""

    def __init__(self, member: str, view: MemberView, peers: PeerClient) -> None:
        self._member = member
        self._view = view
        self._peers = peers
        self._last_forwarded = (-1, -1)

    async def forward_digest(self, digest: ZoneDigest) -> None:
        """Send a digest to this member's children, once."""
        if digest.membership_hash != self._view.tables.membership_hash:
            return
        position = self._view.relay_position(self._member)
        if position is None or digest.order_key <= self._last_forwarded:
            return
        self._last_forwarded = digest.order_key
        await self.send_to_children(digest, position)

    async def send_to_children(self, digest: ZoneDigest, position: int) -> None:
        """Send a digest to the children of the member at ``position``."""
        members = self._view.tables.membership.members
        targets = relay_targets(members, position)
        if not targets:
            return
        bare = encode_digest(digest, self._view.tables, Enclosures())
        await asyncio.gather(
            *(self._send_to_child(digest, bare, members, target) for target in targets)
        )

    async def _send_to_child(
        self,
        digest: ZoneDigest,
        bare: bytes,
        members: tuple[MemberEntry, ...],
        target: int,
    ) -> None:
        entry = members[target]
        if entry.member == self._member:
            # This member is itself a child of the position that it sends for.
            await self.send_to_children(digest, target)
            return
        reply = await self._peers.push_digest(entry.address, bare)
        if reply is None:
            await self.send_to_children(digest, target)
            return
        missing = self._view.missing_enclosures(reply, digest)
        if missing.directory or missing.membership:
            complete = encode_digest(digest, self._view.tables, missing)
            await self._peers.push_digest(entry.address, complete)
