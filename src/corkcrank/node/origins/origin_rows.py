"""Keeps origins of streams in the store, so that they outlast the memory of all gateways.

While a service has workers of several software versions, two gateways write each origin: the one
that began the stream, and a holder. Each writes one row, with its recent origins, and reads it once
after a start; others read it when a lookup finds no origin. With one version nothing is written.
"""

import asyncio
from collections import defaultdict

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.stream_origin import STREAM_KEY_BYTES, StreamOrigin
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import (
    MetadataStore,
    StoreRow,
    StoreRows,
    StoreTable,
    Unreadable,
)
from corkcrank.links.strict_json import decode_packed_strictly
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.own_row import OwnRow, OwnRowPace
from corkcrank.node.origins.software_rows import SoftwareRows
from corkcrank.scheduling.stream_origins import StreamOrigins

PACE = OwnRowPace(min_interval_seconds=0.15, max_writes_per_second=40.0, retry_seconds=0.5)
"""Origins of streams that began since the last write are lost by a kill. All gateways together take
a tenth of what a store of the design size takes."""

CHECK_SECONDS = 0.25
"""Interval of checks whether the row has changed otherwise than by a new stream."""

EXPIRY_STEP_SECONDS = 4.0
"""Step to which expiry times are rounded up, so that origins share one."""

MAX_ROW_ORIGINS = 4_000
"""Maximum number of origins in a row, those that expire last: half of a row's size limit."""

ROW_FORMAT = 1


class OriginGroup(msgspec.Struct, frozen=True, array_like=True):
    """Streams of one origin; ``expires_at`` is on the store's clock, in seconds.

    ``keys`` holds the streams' keys, one behind the other.
    """

    service: str
    version: str
    expires_at: float
    keys: bytes

    def holds(self, key: bytes) -> bool:
        """Return whether a stream is in the group.

        >>> group = OriginGroup("s", "v1", 5.0, b"11112222" + b"33334444")
        >>> group.holds(b"33334444"), group.holds(b"22223333")
        (True, False)
        """
        at = self.keys.find(key)
        while at >= 0 and at % STREAM_KEY_BYTES:
            at = self.keys.find(key, at + 1)
        return at >= 0


class OriginRow(msgspec.Struct, frozen=True, array_like=True):
    """The value of a row; its key is the name of the gateway that writes it."""

    format: int
    groups: tuple[OriginGroup, ...]


class OriginRows(OwnRow):
    """The row of one gateway. ``origins`` are those that the gateway keeps in memory."""

    def __init__(
        self,
        fleet: Fleet,
        store: MetadataStore,
        log: DecisionLog,
        origins: StreamOrigins,
        software: SoftwareRows,
    ) -> None:
        super().__init__(store, fleet, StoreTable.ORIGINS, PACE)
        self._log = log
        self._origins = origins
        self._software = software
        self._to_write: dict[bytes, None] = {}
        """Keys of the streams that this gateway writes, the newest last."""
        self._written: OriginRow | None = None
        self._paused_for: OriginRow | None = None
        self._woken = False
        self._added = asyncio.Event()

    def __len__(self) -> int:
        return len(self._to_write)

    def add(self, key: bytes) -> None:
        """Add a stream whose origin this gateway writes."""
        if key not in self._to_write:
            self._added.set()
        self._to_write.pop(key, None)
        self._to_write[key] = None

    async def _pause(self, *, accepted: bool) -> None:
        """Wait for the interval after a write, and then for a new stream; write that at once."""
        wrote, self._paused_for = self._written is not self._paused_for, self._written
        if wrote or self._woken or not accepted:
            await super()._pause(accepted=accepted)
        self._woken = accepted and await self._wait_for_stream()

    async def _wait_for_stream(self) -> bool:
        """Wait for a new stream, or until other changes are looked for; return whether one came.

        With one version nothing is to be written, so new streams don't end the wait.
        """
        if not self._software.any_several(clock.now()):
            await asyncio.sleep(CHECK_SECONDS)
            return False
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                return await self._added.wait()
        except TimeoutError:
            return False

    async def _restore(self, rows: StoreRows) -> None:
        """Keep the origins that this gateway had written before it started again."""
        now = clock.now()
        for row in rows.rows:
            for group in decode_groups(row, self._log):
                if group.expires_at > rows.store_time:
                    self._restore_group(group, group.expires_at - rows.store_time, now)

    def _restore_group(self, group: OriginGroup, seconds: float, now: float) -> None:
        for first in range(0, len(group.keys), STREAM_KEY_BYTES):
            key = group.keys[first : first + STREAM_KEY_BYTES]
            self._origins.record(key, StreamOrigin(group.service, group.version), seconds, now)
            self.add(key)

    async def _write(self) -> bool:
        """Write the row if it has changed; return whether the store accepted it."""
        now = clock.now()
        self._added.clear()
        self._remove_expired(now)
        store_time = self._software.store_time(now)
        if store_time is None or not self._software.any_several(now):
            return True
        row = self._build(now, store_time)
        if row is None or row == self._written:
            return True
        if not await self._put(msgspec.msgpack.encode(row)):
            return False
        self._written = row
        return True

    def _remove_expired(self, now: float) -> None:
        """Remove the oldest streams that are no longer kept."""
        while self._to_write:
            oldest = next(iter(self._to_write))
            if self._origins.kept(oldest, now) is not None:
                return
            del self._to_write[oldest]

    def _build(self, now: float, store_time: float) -> OriginRow | None:
        """Return the row with the origins of services of several versions, ``None`` without one."""
        several: dict[str, bool] = {}
        keys: dict[tuple[str, str, float], list[bytes]] = defaultdict(list)
        count = 0
        for key in reversed(list(self._to_write)):
            kept = self._origins.kept(key, now)
            if kept is None or count >= MAX_ROW_ORIGINS:
                del self._to_write[key]
                continue
            service = kept.origin.service
            if service not in several:
                several[service] = self._software.has_several(service, now)
            if several[service]:
                count += 1
                expires_at = _round_up(store_time + kept.expires_at - now)
                keys[service, kept.origin.version, expires_at].append(key)
        if not keys:
            return None
        groups = (OriginGroup(*group, b"".join(sorted(keys[group]))) for group in sorted(keys))
        return OriginRow(ROW_FORMAT, tuple(groups))


def decode_groups(stored: StoreRow, log: DecisionLog) -> tuple[OriginGroup, ...]:
    """Return the origins of a gateway's row, none if it cannot be read."""
    value = stored.value if isinstance(stored.value, bytes) else b""
    row = decode_packed_strictly(value, OriginRow)
    problem = row.reason if isinstance(row, Unreadable) else _find_problem(row)
    if isinstance(row, Unreadable) or problem:
        log.write(LogEvent.DOCUMENT_UNREADABLE, kind="origins", key=stored.key, detail=problem)
        return ()
    return row.groups


def _find_problem(row: OriginRow) -> str:
    """Return why a row cannot be used, an empty text if it can."""
    if row.format != ROW_FORMAT:
        return f"format {row.format}"
    incomplete = any(len(group.keys) % STREAM_KEY_BYTES for group in row.groups)
    return "incomplete key" if incomplete else ""


def _round_up(seconds: float) -> float:
    """Return a time rounded up to the next step.

    >>> _round_up(8.0), _round_up(8.1)
    (8.0, 12.0)
    """
    return -(-seconds // EXPIRY_STEP_SECONDS) * EXPIRY_STEP_SECONDS
