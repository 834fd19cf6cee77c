"""Keeps successes of prompt parts in the store, so that they outlast the memory of all gateways.

A part that no gateway has seen succeed is quarantined after few crashes. Without these rows the
parts of most prompts would be such parts after all gateways have stopped. To spare the store, only
the gateways that follow it for the others save soon what many runs share, each in a row of its
own, and read all rows once after a start. They mark the successes in the crash reports that they
receive, so that the others need not read the rows. The others save their successes late, and read
only their own row before.
"""

import asyncio

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.request_fingerprint import FINGERPRINT_BYTES
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import (
    MetadataStore,
    StoreFailure,
    StoreRow,
    StoreRows,
    StoreTable,
    Unreadable,
)
from corkcrank.links.strict_json import decode_packed_strictly
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.heartbeat import Phase
from corkcrank.machines.own_row import OwnRow, OwnRowPace
from corkcrank.machines.store_contact import StoreContact, newest_contact
from corkcrank.machines.store_followers import StoreFollowerElection
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.scheduling.part_success_saves import (
    MAX_UNSAVED_BY_OTHERS_SECONDS,
    PartSuccessSaves,
)

READ_DELAY_SECONDS = 0.5
"""Delay of the first read after serving begins: two heartbeats of a small fleet, after which a
gateway knows whether others serve, and whether it is one of those that read the store."""

MAX_RETRY_SECONDS = 10.0
"""Time after a failed call for which this gateway waits until the store answers its feed."""

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
    """The row of one gateway, and what it reads of the others' rows."""

    def __init__(
        self,
        store: MetadataStore,
        mirror: StoreMirror,
        fleet: Fleet,
        election: StoreFollowerElection,
        crash_watch: CrashWatch,
        log: DecisionLog,
    ) -> None:
        super().__init__(store, fleet, StoreTable.PART_SUCCESSES, PACE)
        self._mirror = mirror
        self._election = election
        self._crash_watch = crash_watch
        self._log = log
        self._successes = crash_watch.quarantine.part_successes
        self._saves = PartSuccessSaves()
        self._serving_since: float | None = None
        self._failed_at = float("-inf")

    async def _keep(self) -> bool:
        now = clock.now()
        if self._serving_since is None and self._fleet.local_phase == Phase.SERVING:
            self._serving_since = now
        if not self._takes_part(now) or not self._may_call(now):
            return True
        accepted = await super()._keep()
        if not accepted:
            self._failed_at = clock.now()
        return accepted

    def _takes_part(self, now: float) -> bool:
        """Return whether this gateway has served long enough to read and write rows."""
        if self._serving_since is None:
            return False
        saves_for_others = self._election.is_elected_follower(now)
        delay = READ_DELAY_SECONDS if saves_for_others else MAX_UNSAVED_BY_OTHERS_SECONDS
        return now - self._serving_since >= delay

    def _may_call(self, now: float) -> bool:
        """Return whether the store may answer, for all that this gateway has seen."""
        answered_at = self._mirror.answered_at.get(StoreTable.WORKERS, float("-inf"))
        return answered_at > self._failed_at or now - self._failed_at >= MAX_RETRY_SECONDS

    def _interval(self) -> float:
        if self._serving_since is None or clock.now() - self._serving_since < READ_DELAY_SECONDS:
            return READ_DELAY_SECONDS
        return super()._interval()

    async def _read(self) -> StoreRows | StoreFailure:
        if self._election.is_elected_follower(clock.now()):
            return await self._store.read(self._table)
        return await super()._read()

    async def _restore(self, rows: StoreRows) -> None:
        """Restore the successes of all rows that were read; they need not be saved again."""
        read_at, saved = clock.now(), dict[str, int]()
        for row in rows.rows:
            times = self._decode(row)
            self._crash_watch.restore_part_successes(
                {part: read_at - max(0.0, rows.store_time - at) for part, at in times.items()}
            )
            saved |= {part: max(at, saved.get(part, at)) for part, at in times.items()}
            # Many rows of large fleets do not hold the event loop in one piece.
            await asyncio.sleep(0)
        self._saves.record_read(saved)

    def _decode(self, stored: StoreRow) -> dict[str, int]:
        """Return the times of a row's parts, none if it cannot be read."""
        value = stored.value if isinstance(stored.value, bytes) else b""
        row = decode_packed_strictly(value, PartSuccessRow)
        problem = row.reason if isinstance(row, Unreadable) else row.problem
        if isinstance(row, Unreadable) or problem:
            self._log.write(
                LogEvent.DOCUMENT_UNREADABLE,
                kind="part successes",
                key=stored.key,
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
        if not self._is_due(times, now):
            return True
        self._successes.reset_counts()
        if not await self._put(msgspec.msgpack.encode(PartSuccessRow.from_times(times))):
            self._saves.record_failure()
            return False
        self._saves.record_save(times, now)
        return True

    def _is_due(self, times: dict[str, int], now: float) -> bool:
        if self._election.is_elected_follower(now):
            return self._saves.is_due(times, self._successes.counts, now)
        return self._saves.is_due_late(times, now)
