"""Keeps successes of prompt parts in the store, so that they outlast the memory of all gateways.

A part that no gateway has seen succeed is quarantined after few crashes. Without this row the parts
of most prompts would be such parts after all gateways have stopped. Each gateway writes one row,
with its recent successes, and reads it once after a start. It marks them in the crash reports that
it receives, so that the others need not read the row.
"""

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.request_fingerprint import FINGERPRINT_BYTES
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import MetadataStore, StoreRows, StoreTable, Unreadable
from corkcrank.links.strict_json import decode_packed_strictly
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.own_row import OwnRow, OwnRowPace
from corkcrank.machines.store_contact import StoreContact, newest_contact
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.scheduling.part_success_saves import PartSuccessSaves

WRITE_INTERVAL_SECONDS = 2.0
"""Minimum interval of writes: repeated successes of new parts since then are lost by a kill."""

PACE = OwnRowPace(WRITE_INTERVAL_SECONDS, max_writes_per_second=10.0, retry_seconds=1.0)

MAX_ROW_PARTS = 512
"""Maximum number of parts in a row, those with the latest successes."""

ROW_FORMAT = 1


class PartSuccessRow(msgspec.Struct, frozen=True, array_like=True):
    """The value of a row; its key is the name of the gateway that writes it.

    ``fingerprints`` holds the parts' fingerprints, one behind the other. ``times`` are the times of
    their latest successes on the store's clock, in whole seconds, rounded down.
    """

    format: int
    fingerprints: bytes
    times: tuple[int, ...]

    @classmethod
    def from_times(cls, times: dict[str, int]) -> "PartSuccessRow":
        """Build the row of some parts' times."""
        return cls(ROW_FORMAT, b"".join(map(bytes.fromhex, times)), tuple(times.values()))

    @property
    def problem(self) -> str:
        """Return why the row cannot be used, an empty text if it can."""
        if self.format != ROW_FORMAT:
            return f"format {self.format}"
        complete = len(self.fingerprints) == FINGERPRINT_BYTES * len(self.times)
        return "" if complete else "parts and times differ in number"

    def by_part(self) -> dict[str, int]:
        """Return the time of each part."""
        size = FINGERPRINT_BYTES
        return {
            self.fingerprints[number * size : (number + 1) * size].hex(): at
            for number, at in enumerate(self.times)
        }


class PartSuccessRows(OwnRow):
    """The row of one gateway."""

    def __init__(
        self,
        store: MetadataStore,
        mirror: StoreMirror,
        fleet: Fleet,
        crash_watch: CrashWatch,
        log: DecisionLog,
    ) -> None:
        super().__init__(store, fleet, StoreTable.PART_SUCCESSES, PACE)
        self._mirror = mirror
        self._crash_watch = crash_watch
        self._log = log
        self._successes = crash_watch.quarantine.part_successes
        self._saves = PartSuccessSaves()

    def _restore(self, rows: StoreRows) -> None:
        """Restore the successes that this gateway had written before it started again."""
        now = clock.now()
        for row in rows.rows:
            value = row.value if isinstance(row.value, bytes) else b""
            times = self._decode(value)
            self._crash_watch.restore_part_successes(
                {part: now - max(0.0, rows.store_time - at) for part, at in times.items()}
            )
            self._saves.record_read(times)

    def _decode(self, value: bytes) -> dict[str, int]:
        """Return the times of a row's parts, none if it cannot be read."""
        row = decode_packed_strictly(value, PartSuccessRow)
        problem = row.reason if isinstance(row, Unreadable) else row.problem
        if isinstance(row, Unreadable) or problem:
            self._log.write(
                LogEvent.DOCUMENT_UNREADABLE,
                kind="part successes",
                key=self._fleet.local_name,
                detail=problem,
            )
            return {}
        return row.by_part()

    async def _write(self) -> bool:
        """Write the row if it is due; return whether the store accepted it."""
        now = clock.now()
        own = self._mirror.store_contacts.get(StoreTable.WORKERS, StoreContact())
        contact = newest_contact(own, self._fleet.store_contact(StoreTable.WORKERS))
        if contact.received_at == float("-inf"):
            return True
        offset = contact.store_time - contact.received_at
        successes = self._successes.recent(MAX_ROW_PARTS, now)
        times = {part: int(at + offset) for part, at in successes.items()}
        if not self._saves.is_due(times, self._successes.counts, now):
            return True
        self._successes.reset_counts()
        if not await self._put(msgspec.msgpack.encode(PartSuccessRow.from_times(times))):
            self._saves.record_failure()
            return False
        self._saves.record_save(times, now)
        return True
