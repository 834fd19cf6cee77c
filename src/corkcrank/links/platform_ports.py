"""Interfaces through which corkcrank uses the platform it runs on.

``corkcrank.platform`` implements them; no other package contains the platform's names.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import msgspec

from corkcrank.contracts.node_settings import NodeSchedulingSettings
from corkcrank.contracts.opaque_call import CallEnvelope, OpaqueCall
from corkcrank.contracts.opaque_configuration import OpaqueConfiguration
from corkcrank.contracts.scheduling_features import SchedulingFeatures
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.contracts.zone_evacuations import ZoneState
from corkcrank.links.received_bytes import ReceivedBytes
from corkcrank.links.silence import SilenceListener

HeaderList = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Fields from the head of a worker's answer.

    ``sealed`` means that the answer carries a worker's signature, ``not_run`` that the worker
    guarantees not to have run the request.
    """

    call_id: str
    sealed: bool
    not_run: bool
    worker_id: str
    encoded: bool


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A value that cannot be decoded; ``reason`` is a short text for logs."""

    reason: str


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """A worker's requests running and waiting, its slots, and how long work takes there now.

    ``pace`` is that time as a multiple of the usual one, ``None`` if not stated.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


MAX_STATED_COUNT = 999_999
"""Highest number of requests or slots that makes sense, far above what a machine serves."""

MAX_STATED_PACE = 100.0
"""Longest time that a worker may state, as a multiple of the usual one; more is an outage."""

USUAL_PACE_PERCENT = 100.0


def stated_load(figures: Sequence[str]) -> StatedLoad | None:
    """Return the load of which a worker states the figures, or ``None`` if they make no sense.

    The fourth, the pace in hundredths of the usual time, is optional.

    >>> stated_load(["3", "0", "6"])
    StatedLoad(running=3, waiting=0, slots=6, pace=None)
    >>> stated_load(["1", " 0", "64", "70"])
    StatedLoad(running=1, waiting=0, slots=64, pace=0.7)
    >>> stated_load(["3", "0"]), stated_load(["3", "0", "6", "0"]), stated_load(["3", "-1", "6"])
    (None, None, None)
    """
    counts = [_read_count(figure.strip()) for figure in figures]
    match counts:
        case [int(running), int(waiting), int(slots)]:
            return StatedLoad(running, waiting, slots)
        case [int(running), int(waiting), int(slots), int(percent)]:
            pace = percent / USUAL_PACE_PERCENT
            if 0 < pace <= MAX_STATED_PACE:
                return StatedLoad(running, waiting, slots, pace)
    return None


def _read_count(text: str) -> int | None:
    digits = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_STATED_COUNT))
    return int(text) if digits else None


@dataclass(frozen=True, slots=True)
class WorkerStatement:
    """What a worker reports about itself in the head of any answer.

    ``rate_limit`` is the number of requests a second that it accepts from all gateways
    together, ``None`` if not reported. ``tolerated_rejections`` is how many requests in a second it
    can reject for want of room without falling over, ``None`` if not reported. ``leaving`` says
    that the worker will end. ``retry_after`` is the number of seconds after which a rejected
    gateway may send requests again, ``None`` if not reported. ``unknown_headers`` are unrecognized
    names, in lower case. ``load`` is ``None`` if not reported.
    """

    rate_limit: float | Unreadable | None = None
    tolerated_rejections: float | Unreadable | None = None
    leaving: bool | Unreadable = False
    retry_after: float | Unreadable | None = None
    unknown_headers: tuple[str, ...] = ()
    load: StatedLoad | Unreadable | None = None


class PieceOutcome(StrEnum):
    """Outcome of one piece of a stage."""

    DONE = "done"
    LATE = "late"
    INPUT_GONE = "input-gone"
    NO_ROOM = "no-room"
    FAILED = "failed"
    BROKEN = "broken"
    """The worker closed the connection of the call that was to run the piece."""
    REFUSED = "refused"


class PieceOrder(msgspec.Struct, frozen=True):
    """One piece to run, for a stage of call ``call_id``, from a key or from inputs."""

    call_id: str
    stage: int
    piece: int
    key: str = ""
    inputs: tuple[str, ...] = ()
    remaining_seconds: float | None = None


class PieceResult(msgspec.Struct, frozen=True):
    """Result of a piece; ``handle`` identifies it at the worker ``worker_id``."""

    outcome: PieceOutcome
    handle: str = ""
    worker_id: str = ""


@dataclass(frozen=True, slots=True)
class StageWorkerReport:
    """What a stage worker reports about itself: ``free_bytes`` of result memory.

    ``born`` is the Unix time of its start in milliseconds, if reported.
    """

    free_bytes: float
    born: int | None = None


class StatementCodec(Protocol):
    """Decodes what workers report about themselves in their answers."""

    def read_statement(self, headers: Mapping[str, str]) -> WorkerStatement:
        """Return what the head of an answer of any kind reports about its worker."""


class CallCodec(Protocol):
    """Decodes and encodes the heads of calls."""

    def read_envelope(self, headers: Mapping[str, str]) -> CallEnvelope | str:
        """Return the fields of a caller's head, or what is wrong with it."""

    def worker_headers(
        self,
        call: OpaqueCall,
        worker: WorkerRecord,
        remaining_seconds: float,
        inputs: Sequence[str] | None,
        resume_after: str,
    ) -> HeaderList:
        """Return the head of the request to a worker."""

    def read_answer(self, headers: Mapping[str, str]) -> AnswerHead:
        """Return the fields of the head of a worker's answer."""

    def answer_headers(self, headers: Sequence[tuple[str, str]]) -> HeaderList:
        """Return the headers of a worker's answer that are forwarded to the caller."""


class StageCodec(Protocol):
    """Encodes and decodes the calls that run pieces and free results."""

    run_path: str
    free_path: str
    report_path: str

    def run_headers(self, worker: WorkerRecord) -> dict[str, str]:
        """Return the headers of a call to a stage worker."""

    def encode_run(self, pieces: Sequence[PieceOrder]) -> bytes:
        """Return the body of a request to run pieces, the smallest units of a stage's work."""

    def decode_run(self, body: bytes, count: int) -> list[PieceResult] | None:
        """Return the results in the order of the request, or ``None`` if malformed."""

    def encode_free(self, handles: Sequence[str]) -> bytes:
        """Return the body of a request to free results."""

    def is_free_answer(self, body: bytes) -> bool:
        """Return whether a body is that of the answer to a request to free results."""

    def decode_report(self, body: bytes) -> StageWorkerReport | Unreadable:
        """Return a stage worker's report, or why it cannot be decoded."""


@dataclass(frozen=True, slots=True)
class StoreRow:
    """One row of the platform's store; ``value`` is ``None`` if the row was removed.

    ``Unreadable`` stands for a value that exists but cannot be decoded.
    """

    key: str
    value: bytes | Unreadable | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoreRows:
    """Rows, or changes of rows, as of ``revision``.

    ``store_time`` is the time of the answer on the store's own clock, which never runs backwards,
    in seconds.
    ``unreadable_keys`` lists the errors of rows whose key cannot be decoded.
    """

    rows: tuple[StoreRow, ...]
    revision: int
    store_time: float = 0.0
    unreadable_keys: tuple[Unreadable, ...] = ()


class StoreFailureReason(StrEnum):
    """Reason why the store returned no rows."""

    REFUSED = "refused"
    SILENT = "silent"
    HISTORY_GONE = "history-gone"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failed store request; an unanswered write may still take effect.

    ``undecodable`` says that the same request would get the same answer, which cannot be read.
    """

    failure_reason: StoreFailureReason
    detail: str = ""
    undecodable: bool = False

    @property
    def needs_whole_read(self) -> bool:
        """Return whether changes cannot be read on from there, only the whole table."""
        return self.undecodable or self.failure_reason is StoreFailureReason.HISTORY_GONE


class StoreTable(StrEnum):
    """Tables that corkcrank reads or writes; the values are corkcrank's names for them."""

    CONFIGURATION = "configuration"
    WORKERS = "workers"
    MEMBERS = "members"
    QUARANTINE = "quarantine"
    SOFTWARE = "software"
    ORIGINS = "origins"
    PART_SUCCESSES = "part successes"


class MetadataStore(Protocol):
    """Operations of the platform's store; ``on_silence`` is called for dropped connections.

    ``received`` counts the bytes of its answers.
    """

    on_silence: SilenceListener
    received: ReceivedBytes

    def drop_all_idle(self) -> int:
        """Close all idle connections; return their number."""

    async def read(self, table: StoreTable, key: str = "") -> StoreRows | StoreFailure:
        """Return a consistent snapshot of all rows of a table, or of the row with a key."""

    async def watch(
        self, table: StoreTable, since: int, wait_seconds: float
    ) -> StoreRows | StoreFailure:
        """Return the changes after revision ``since``, or no rows if the wait expires."""

    async def put(self, table: StoreTable, key: str, value: bytes) -> int | StoreFailure:
        """Write one row unconditionally; return its revision."""

    async def remove(self, table: StoreTable, key: str) -> int | StoreFailure:
        """Remove one row if it exists; return the revision."""


class DocumentCodec(Protocol):
    """Decodes the documents in the store."""

    def configuration(self, rows: Sequence[StoreRow]) -> OpaqueConfiguration | str | None:
        """Return the configuration among rows, ``None`` if there is none, or what is wrong."""

    def zone_states(self, rows: Sequence[StoreRow]) -> tuple[ZoneState, ...]:
        """Return the last state of each zone that has an evacuation row among ``rows``.

        A row that exists evacuates its zone; a row that was removed restores it.
        """

    def worker(self, row: StoreRow) -> WorkerRecord | Unreadable | None:
        """Return the worker of a row, ``None`` if it was removed, or why it is unreadable."""


def no_features(settings: NodeSchedulingSettings) -> SchedulingFeatures:
    """Return no optional feature, whatever the settings are."""
    return SchedulingFeatures()


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """All interfaces to the platform that a node uses.

    ``features`` returns the optional scheduling features that settings call for.
    """

    calls: CallCodec
    statements: StatementCodec
    stages: StageCodec
    documents: DocumentCodec
    store: MetadataStore
    ready_path: str
    features: Callable[[NodeSchedulingSettings], SchedulingFeatures] = no_features
