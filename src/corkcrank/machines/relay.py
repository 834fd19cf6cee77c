"""The relay tree over which a zone's digest reaches every member.

A member passes each digest on once, to the members below its place. The members below one
that gives no answer are served from above it, until the holder drops it.
"""

import asyncio

from corkcrank.links.peer_client import PeerClient
from corkcrank.links.peer_codec import encode_digest
from corkcrank.machines.member_view import MemberView
from corkcrank.zones.digest import MemberEntry, ZoneDigest, relay_targets
from corkcrank.zones.peer_messages import Enclosures

ROOT = -1
"""Place of the holder as the one who publishes."""


class Relay:
    """One member's part in the relay tree."""

    def __init__(self, member: str, view: MemberView, peers: PeerClient) -> None:
        self._member = member
        self._view = view
        self._peers = peers
        self._last_passed_on = (-1, -1)

    async def pass_on(self, digest: ZoneDigest) -> None:
        """Send a digest to the members below this one, once."""
        if digest.membership_hash != self._view.tables.membership_hash:
            return
        position = self._view.position(self._member)
        if position is None or digest.order_key <= self._last_passed_on:
            return
        self._last_passed_on = digest.order_key
        await self.send_below(digest, position)

    async def send_below(self, digest: ZoneDigest, position: int) -> None:
        """Send a digest to the members below ``position``."""
        members = self._view.tables.membership.members
        targets = relay_targets(members, position)
        if not targets:
            return
        small = encode_digest(digest, self._view.tables, Enclosures())
        await asyncio.gather(*(self._push(digest, small, members, target) for target in targets))

    async def _push(
        self,
        digest: ZoneDigest,
        small: bytes,
        members: tuple[MemberEntry, ...],
        target: int,
    ) -> None:
        entry = members[target]
        if entry.member == self._member:
            # A place of its own right below the one it serves for.
            await self.send_below(digest, target)
            return
        reply = await self._peers.push_digest(entry.address, small)
        if reply is None:
            await self.send_below(digest, target)
            return
        missing = self._view.missing_from(reply, digest)
        if missing.directory or missing.membership:
            large = encode_digest(digest, self._view.tables, missing)
            await self._peers.push_digest(entry.address, large)
