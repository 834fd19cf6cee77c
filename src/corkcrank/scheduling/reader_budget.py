"""Bounds the bytes that a gateway buffers for callers that do not read their answers.

Several hundred callers may stop reading long streams at one gateway with 160 MiB of memory. Other
callers must still be served in time, and no worker may cut a stream.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

from corkcrank.contracts.memory import BYTES_PER_MB, IDLE_MEMORY_MB
from corkcrank.links.kept_memory import KeptMemory

READER_MEMORY_SHARE = 0.2
"""Share of the memory above ``IDLE_MEMORY_MB`` that answers to slow readers may use.

Connections may use half of the whole memory, which leaves 24 MiB at 160 MiB, and an answer needs
more memory than its bytes."""

MIN_READERS_BYTES = 2 * BYTES_PER_MB
"""Minimum bound of a gateway with little memory: a dozen slow readers at a time."""

UNREAD_SECONDS = 2.0
"""Time without a read after which a caller loses an answer that its worker cannot continue to send.

Workers cut an answer that is unread for some seconds, at least three. While memory suffices, the
worker may first send more bytes ``MAX_READ_AHEADS`` times, and each time restarts this timeout."""

READ_AHEAD_BYTES = 98_304
"""Bytes that a worker may send at a time for a caller without a visible read. The gateway's kernel
also reopens its receive window in steps, so a worker may not notice fewer bytes (64 KiB on
loopback)."""

MAX_READ_AHEADS = 4
"""Maximum number of consecutive read-aheads for a caller without a visible read.

A slow read becomes visible only when the caller's kernel reopens the receive window, after up to
128 KiB: 6.5 s at 20 KB/s. The timeout ``UNREAD_SECONDS`` passes once for each read-ahead, and once
more after the worker begins to wait."""

MAX_READ_AHEAD_BYTES = BYTES_PER_MB
"""Buffered bytes of one caller above which its worker gets no read-ahead."""

READ_AHEAD_SHARE = 0.5
"""Share of the gateway's bound up to which read-aheads are allowed."""

MIN_UNREAD_SECONDS = 0.25
"""Minimum time without a read before a caller loses its answer: twice the time in which the next
bytes reach a distant reader."""

MAX_OBSERVATION_GAP_SECONDS = 0.5
"""Longest gap between two observations that counts in full: two intervals of the sweep. During a
longer gap the process was paused and could not observe reads."""

Reader = TypeVar("Reader", bound=Hashable)


class CutCause(StrEnum):
    """Why a caller loses its answer."""

    UNREAD = "unread"
    """The caller read nothing for ``UNREAD_SECONDS`` while its worker could not send."""
    MEMORY = "memory"
    """The gateway's bound was exceeded, and the caller had the largest byte-seconds unread."""


@dataclass(frozen=True, slots=True)
class Observation:
    """The bytes buffered for a caller at one time.

    ``read_mark`` changes whenever the caller reads. ``worker_waits`` is set while the worker cannot
    send the rest of the answer.
    """

    kept_bytes: int
    read_mark: int
    worker_waits: bool = False


@dataclass(frozen=True, slots=True)
class ReaderCut(Generic[Reader]):
    """A caller that loses its answer, with its buffered bytes and its time without a read."""

    reader: Reader
    cause: CutCause
    kept_bytes: int
    unread_seconds: float


@dataclass(slots=True)
class _Account:
    seen: Observation
    unread_since: float
    waits_since: float | None
    read_aheads: int = 0


class ReaderBudget(Generic[Reader]):
    """The callers that have not read all of their answers; times are in seconds.

    ``bound_bytes`` is the gateway's bound, 0 for none. ``memory`` sums all accounts of the gateway.
    """

    def __init__(self, bound_bytes: int = 0) -> None:
        self.bound_bytes = bound_bytes
        self.kept_bytes = 0
        self.memory = KeptMemory()
        self._accounts: dict[Reader, _Account] = {}
        self._observed_at: float | None = None

    def __len__(self) -> int:
        return len(self._accounts)

    def readers(self) -> list[Reader]:
        """Return the callers with buffered bytes."""
        return list(self._accounts)

    @property
    def exceeded(self) -> bool:
        """Return whether the buffered bytes, or those of all accounts, exceed their bound."""
        return 0 < self.bound_bytes < self.kept_bytes or self.memory.exceeded

    def observe(self, reader: Reader, seen: Observation, now: float) -> None:
        """Record the buffered bytes of a caller; remove the caller if there are none."""
        self._skip_gap(now)
        account = self._accounts.get(reader)
        if seen.kept_bytes <= 0:
            self.remove(reader)
            return
        if account is None:
            waits_since = now if seen.worker_waits else None
            self._accounts[reader] = _Account(seen, now, waits_since)
            self.kept_bytes += seen.kept_bytes
            return
        self.kept_bytes += seen.kept_bytes - account.seen.kept_bytes
        if seen.read_mark != account.seen.read_mark:
            account.unread_since = now
            account.read_aheads = 0
        if not seen.worker_waits:
            account.waits_since = None
        elif account.waits_since is None:
            account.waits_since = now
        account.seen = seen

    def remove(self, reader: Reader) -> None:
        """Remove a caller that has read everything, has left or was cut."""
        account = self._accounts.pop(reader, None)
        if account is not None:
            self.kept_bytes -= account.seen.kept_bytes

    def read_aheads(self, now: float) -> list[Reader]:
        """Return the callers for which to read ``READ_AHEAD_BYTES`` more from their workers.

        A worker that waits too long cuts the answer, even if the caller reads slowly.
        """
        self._skip_gap(now)
        room = int((self.bound_bytes or MIN_READERS_BYTES) * READ_AHEAD_SHARE) - self.kept_bytes
        chosen = []
        for reader, account in self._accounts.items():
            if room < READ_AHEAD_BYTES:
                break
            if self._may_read_ahead(account, now):
                account.read_aheads += 1
                account.waits_since = now
                room -= READ_AHEAD_BYTES
                chosen.append(reader)
        return chosen

    def unread_cuts(self, now: float) -> list[ReaderCut[Reader]]:
        """Remove and return the callers whose workers would soon cut their answers."""
        self._skip_gap(now)
        overdue = [
            reader
            for reader, account in self._accounts.items()
            if account.waits_since is not None
            and now - max(account.unread_since, account.waits_since) >= UNREAD_SECONDS
        ]
        return [self._cut(reader, CutCause.UNREAD, now) for reader in overdue]

    def memory_cuts(self, now: float) -> list[ReaderCut[Reader]]:
        """Remove and return callers until the bound holds, most byte-seconds first.

        Callers that have read within ``MIN_UNREAD_SECONDS`` keep their answers, each within the
        bound of its own connection.
        """
        self._skip_gap(now)
        if not self.exceeded:
            return []
        idle = [
            reader
            for reader, account in self._accounts.items()
            if now - account.unread_since >= MIN_UNREAD_SECONDS
        ]
        idle.sort(key=lambda reader: self._held(reader, now))
        cuts = []
        while self.exceeded and idle:
            cuts.append(self._cut(idle.pop(), CutCause.MEMORY, now))
        return cuts

    def _may_read_ahead(self, account: _Account, now: float) -> bool:
        return (
            account.waits_since is not None
            and now - account.waits_since >= UNREAD_SECONDS
            and account.read_aheads < MAX_READ_AHEADS
            and account.seen.kept_bytes + READ_AHEAD_BYTES <= MAX_READ_AHEAD_BYTES
        )

    def _held(self, reader: Reader, now: float) -> float:
        """Return the buffered bytes of a caller times the seconds without a read."""
        account = self._accounts[reader]
        return account.seen.kept_bytes * (now - account.unread_since)

    def _cut(self, reader: Reader, cause: CutCause, now: float) -> ReaderCut[Reader]:
        account = self._accounts[reader]
        cut = ReaderCut(reader, cause, account.seen.kept_bytes, now - account.unread_since)
        self.remove(reader)
        return cut

    def _skip_gap(self, now: float) -> None:
        """Exclude the time in which the process was paused from all waits."""
        previous, self._observed_at = self._observed_at, now
        gap = 0.0 if previous is None else now - previous - MAX_OBSERVATION_GAP_SECONDS
        if gap <= 0:
            return
        for account in self._accounts.values():
            account.unread_since = min(now, account.unread_since + gap)
            if account.waits_since is not None:
                account.waits_since = min(now, account.waits_since + gap)


def readers_bound_bytes(memory_mb: float) -> int:
    """Return the bound of one gateway for slow readers, 0 if its memory is unknown.

    >>> readers_bound_bytes(160.0) // BYTES_PER_MB, readers_bound_bytes(0.0)
    (20, 0)
    >>> readers_bound_bytes(40.0) // BYTES_PER_MB
    2
    """
    if memory_mb <= 0:
        return 0
    shared = (memory_mb - IDLE_MEMORY_MB) * READER_MEMORY_SHARE * BYTES_PER_MB
    return max(MIN_READERS_BYTES, int(shared))
