"""Replicates the origins of streams to other gateways, and finds those of resumed streams.

A stream's holders are the members with the highest rendezvous hashes of its key; in a fleet of a
few machines these are all members. They receive the origin before the first event goes to the
caller, and again a little later, since datagrams can be lost. The gateway at which a caller resumes
a stream asks them for it, and looks in the store if none knows it. A stream whose origin nobody
knows must not be continued, unless one software alone can have begun it.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.contracts.stream_origin import StreamOrigin, stream_key
from corkcrank.links.decision_log import DecisionLog
from corkcrank.links.platform_ports import MetadataStore
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.members import Member
from corkcrank.machines.origin_reports import (
    OriginReport,
    decode_origin_reports,
    encode_origin_reports,
)
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.origins.origin_rows import OriginRows
from corkcrank.node.origins.origin_table import OriginTable
from corkcrank.node.origins.software_rows import SoftwareRows
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure, decode_answer
from corkcrank.node.peers.peer_protocol import (
    STREAM_ORIGIN_PATH,
    StreamOriginAnswer,
    StreamOriginRequest,
)
from corkcrank.scheduling.stream_origins import StreamOrigins

MAX_HOLDERS = 8
"""Maximum number of other gateways that keep the origin of a stream."""

RETENTION_SECONDS = 10.0
"""Time for which an origin is kept after the deadline of the attempt that began the stream."""

REPEAT_SECONDS = 0.5
"""Interval at which origins that were reported once are reported again."""

LOOKUP_TIMEOUT_SECONDS = 0.3
"""Timeout for the holders' answers about an origin."""


STORE_LOOKUP_TIMEOUT_SECONDS = 0.6
"""Time after which a lookup in the store is given up."""


class OriginDirectory:
    """The origins that this gateway keeps, and the way to those that others keep.

    ``send`` sends a datagram to a member's address.
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerClient,
        mirror: StoreMirror,
        store: MetadataStore,
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self.software = SoftwareRows(fleet, mirror, store, log)
        self.origins = StreamOrigins()
        self.rows = OriginRows(fleet, store, log, self.origins, self.software)
        self.table = OriginTable(fleet, store, log)
        self._to_repeat: list[OriginReport] = []
        self.send: Callable[[bytes, str], None] = lambda data, address: None

    def record(self, call: OpaqueCall, origin: StreamOrigin) -> None:
        """Keep the origin of the stream that a call begins, and report it to its holders."""
        now = clock.now()
        seconds = call.caller_end_at - now + RETENTION_SECONDS
        report = OriginReport(stream_key(call.tenant, call.call_id), origin, round(seconds, 1))
        self.origins.record(report.key, origin, seconds, now)
        self.rows.add(report.key)
        self._send_to_holders([report], now)
        self._to_repeat.append(report)

    async def find(self, call: OpaqueCall) -> StreamOrigin | None:
        """Return the origin of the stream that a call resumes, ``None`` if nobody knows it."""
        key = stream_key(call.tenant, call.envelope.resumed_attempt)
        if call.envelope.resumed_attempt:
            known = self.kept_origin(key) or await self._ask_holders(key)
            if known is not None:
                return known
        try:
            async with asyncio.timeout(STORE_LOOKUP_TIMEOUT_SECONDS):
                return await self._find_in_store(call, key)
        except TimeoutError:
            # A store that is slow tells no more than one that refuses.
            return None

    def kept_origin(self, key: bytes) -> StreamOrigin | None:
        """Return an origin that this gateway keeps."""
        return self.origins.find(key, clock.now())

    def receive(self, data: bytes) -> None:
        """Keep the origins of a datagram; ignore any other one."""
        now = clock.now()
        for report in decode_origin_reports(data):
            self.origins.record(report.key, report.origin, report.seconds, now)
            if report.written:
                self.rows.add(report.key)

    async def repeat_reports(self) -> None:
        """Report each origin a second time, until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_SECONDS)
            reports, self._to_repeat = self._to_repeat, []
            if reports:
                self._send_to_holders(reports, clock.now())

    async def _find_in_store(self, call: OpaqueCall, key: bytes) -> StreamOrigin | None:
        """Return an origin that no gateway knows any more, ``None`` if the store does not show it.

        The origins of a service's streams are in the store only while it has several versions.
        """
        named = bool(call.envelope.resumed_attempt)
        if not named or not self.software.has_several(call.service, clock.now()):
            only = await self.software.find_only_software(call)
            if only is not None or not named:
                return only
        found = await self.table.find(key)
        if found is None:
            return None
        now = clock.now()
        self.origins.record(key, found.origin, found.expires_at - now, now)
        return found.origin

    def _holders(self, key: bytes, now: float) -> list[Member]:
        members = self._fleet.live_members(now)
        if len(members) <= MAX_HOLDERS:
            return members
        text = key.hex()
        members.sort(key=lambda item: rendezvous_hash(text, item.heartbeat.name), reverse=True)
        return members[:MAX_HOLDERS]

    def _send_to_holders(self, reports: Iterable[OriginReport], now: float) -> None:
        by_address: dict[str, list[OriginReport]] = {}
        for report in reports:
            holders = self._holders(report.key, now)
            writer = int.from_bytes(report.key, "big") % max(1, len(holders))
            for number, member in enumerate(holders):
                told = msgspec.structs.replace(report, written=number == writer)
                by_address.setdefault(member.heartbeat.address, []).append(told)
        for address, items in by_address.items():
            for data in encode_origin_reports(items):
                self.send(data, address)

    async def _ask_holders(self, key: bytes) -> StreamOrigin | None:
        """Return the first origin that a holder knows; wait no longer than for all answers."""
        asking = {
            asyncio.create_task(self._ask(member.heartbeat.address, key))
            for member in self._holders(key, clock.now())
        }
        try:
            for answered in asyncio.as_completed(asking):
                origin = await answered
                if origin is not None:
                    return origin
        finally:
            for task in asking:
                task.cancel()
        return None

    async def _ask(self, address: str, key: bytes) -> StreamOrigin | None:
        body = await self._peers.request(
            address,
            STREAM_ORIGIN_PATH,
            msgspec.msgpack.encode(StreamOriginRequest(key)),
            timeout_seconds=LOOKUP_TIMEOUT_SECONDS,
        )
        answer = decode_answer(body, StreamOriginAnswer)
        return None if isinstance(answer, PeerFailure) else answer.origin
