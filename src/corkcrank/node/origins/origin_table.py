"""Finds origins of streams in the rows of all gateways.

The gateways that wrote an origin may be gone, or start later than the one that is asked. While
lookups wait, the whole table is read, once for all of them.
"""

from corkcrank.contracts import clock
from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.links.decision_log import DecisionLog
from corkcrank.links.platform_ports import MetadataStore, StoreFailure, StoreTable
from corkcrank.links.shared_call import SharedCall
from corkcrank.machines.fleet import Fleet
from corkcrank.node.origins.origin_rows import OriginGroup, decode_groups
from corkcrank.scheduling.stream_origins import KeptOrigin

MIN_INTERVAL_SECONDS = 1.0
"""Minimum interval of a gateway's reads of the table."""

MAX_READS_PER_SECOND = 40.0
"""Reads of all gateways together, each of which returns the rows of all."""


class OriginTable:
    """The rows of all gateways as they were last read."""

    def __init__(self, fleet: Fleet, store: MetadataStore, log: DecisionLog) -> None:
        self._fleet = fleet
        self._store = store
        self._log = log
        self._groups: tuple[OriginGroup, ...] = ()
        self._store_clock_offset = 0.0
        self._read_shared = SharedCall(self._read, self._interval)
        self.failures = 0

    async def find(self, key: bytes) -> KeptOrigin | None:
        """Return the origin of a stream, ``None`` if no row has it."""
        found = self._search(key)
        if found is None and await self._read_shared.run():
            found = self._search(key)
        return found

    def _interval(self) -> float:
        return max(MIN_INTERVAL_SECONDS, self._fleet.known_member_count() / MAX_READS_PER_SECOND)

    async def _read(self) -> bool:
        """Read the rows; return whether the store answered."""
        rows = await self._store.read(StoreTable.ORIGINS)
        if isinstance(rows, StoreFailure):
            self.failures += 1
            return False
        groups: list[OriginGroup] = []
        for row in rows.rows:
            groups += decode_groups(row, self._log)
        self._groups = tuple(groups)
        self._store_clock_offset = clock.now() - rows.store_time
        return True

    def _search(self, key: bytes) -> KeptOrigin | None:
        """Return the origin of a stream; its version is unknown if the rows have several."""
        found: KeptOrigin | None = None
        for group in self._groups:
            expires_at = group.expires_at + self._store_clock_offset
            if expires_at <= clock.now() or not group.holds(key):
                continue
            origin = StreamOrigin(group.service, group.version)
            if found is not None:
                expires_at = max(expires_at, found.expires_at)
                if found.origin != origin:
                    origin = StreamOrigin(group.service, "")
            found = KeptOrigin(origin, expires_at)
        return found
