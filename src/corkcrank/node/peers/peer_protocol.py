"""Messages between gateways: stage work, grants, and pulls of shared state.

MessagePack over HTTP, encoded by msgspec from these types; no code is generated.
"""

import math

import msgspec

from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.contracts.opaque_configuration import OpaqueConfiguration
from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.contracts.urgency import Urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import PieceResult
from corkcrank.machines.worker_changes import WorkerChangeBatch
from corkcrank.scheduling.crash_reports import CrashReport
from corkcrank.scheduling.return_claims import ClaimState
from corkcrank.scheduling.stated_limits import ReportedLimit
from corkcrank.scheduling.worker_notices import ReportedBackoff

PIECES_PATH = "/peer/pieces"
FREE_PATH = "/peer/free"
WITHDRAW_PATH = "/peer/withdraw"
CONFIGURATION_PATH = "/peer/configuration"
WORKERS_PATH = "/peer/workers"
PREFILL_REQUEST_PATH = "/peer/engine-turn"
PREFILL_DONE_PATH = "/peer/engine-done"
LIMIT_GRANT_PATH = "/peer/limit-grant"
CRASHES_PATH = "/peer/crashes"
LEASE_RELEASE_PATH = "/peer/lease-release"
STREAM_ORIGIN_PATH = "/peer/stream-origin"
RETURN_CLAIM_PATH = "/peer/return-claim"

MAX_TERMS_SECONDS = 1e6
"""Highest valid time in the terms of a prompt: callers wait for a day at most."""


class FollowingPieces(msgspec.Struct, frozen=True, array_like=True):
    """Pieces that a call will request of a stage service after its current stage."""

    service: str
    pieces: int


class FreeResults(msgspec.Struct, frozen=True):
    """Results of one worker that are no longer needed."""

    worker_id: str
    handles: tuple[str, ...]


class StageWork(msgspec.Struct, frozen=True):
    """Pieces of one stage of one call, for one stage worker.

    ``following`` are the pieces of its later stages, sent with the stage that they wait for.
    ``begins`` says that these are the first pieces that the call requests: the owner then counts
    them and the ``following`` ones as newly requested. ``alone`` says that a worker crashed while
    it processed the call's request, so that its pieces share no batch with those of other calls.
    ``start_by`` and ``remaining`` are seconds from the time of sending, since clocks of
    machines are not compared.
    ``last_reads`` are results that only these pieces read, by the worker that holds them.
    ``question`` is a random number by which the requester may withdraw the work; 0 is none.
    ``final`` says that the pieces are not placed again if their worker is silent.
    """

    worker_id: str
    service: str
    call_id: str
    stage: int
    pieces: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    result_bytes: float
    urgency: Urgency
    start_by: float
    remaining: float
    following: tuple[FollowingPieces, ...] = ()
    begins: bool = False
    alone: bool = False
    question: int = 0
    last_reads: tuple[FreeResults, ...] = ()
    final: bool = False


class StageAnswer(msgspec.Struct, frozen=True):
    """The results in the order of the pieces, and the forecast wait of a new piece.

    ``inputs_freed`` says that the results that only these pieces read have been freed,
    ``short_of_room`` that pieces wait for the result memory that these results occupy.
    """

    results: tuple[PieceResult, ...]
    start_seconds: float = 0.0
    detail: str = ""
    inputs_freed: bool = False
    short_of_room: bool = False


class WithdrawRequest(msgspec.Struct, frozen=True):
    """A withdrawal of stage work, by its random number: the requester will not read the answer."""

    question: int


class PrefillRequest(msgspec.Struct, frozen=True):
    """A request for a zone's engine to read a prompt, sent after the stages of its call.

    ``version`` is the software version that the engine must run; empty for any.
    """

    call_id: str
    service: str
    zone: str
    prompt: PromptShape
    excluded: tuple[str, ...]
    long: bool
    repeatable: bool = False
    limits: tuple[ReportedLimit, ...] = ()
    brittle: tuple[ReportedLimit, ...] = ()
    seconds: float = 0.0
    version: str = ""


class PrefillGrant(msgspec.Struct, frozen=True):
    """The engine that reads the prompt next; empty if there is none.

    ``limited`` says that there are engines, but all are at their rate limits; one accepts more
    after ``wait`` seconds. ``leased`` says that the call holds a lease of a brittle engine, which
    the requester must release.
    """

    worker_id: str
    limited: bool = False
    wait: float = 0.0
    leased: bool = False


class PromptTerms(msgspec.Struct, frozen=True, array_like=True):
    """What the queue of prompts needs to know of a call; times are in seconds from now.

    ``objective`` is until its first event is due, ``patience`` for how long it waits for an engine:
    0 for a call that takes the best engine at once. A call that has ``begun`` is never refused.
    ``stream_seconds`` is the usual time of its stream.
    """

    tenant: str
    rank: tuple[int, int]
    objective: float
    patience: float
    begun: bool
    stream_seconds: float

    @property
    def is_valid(self) -> bool:
        """Return whether the terms make sense; any others must be ignored.

        Times until something are negative once it has passed. A long stream is valid, since a
        caller may state many output tokens; a request holds memory for a bounded time.

        >>> PromptTerms("t", (0, 1), -0.5, -0.1, begun=True, stream_seconds=1e7).is_valid
        True
        >>> PromptTerms("t", (0, 1), float("nan"), 1.0, begun=False, stream_seconds=2.0).is_valid
        False
        """
        return (
            min(self.rank) >= 0
            and abs(self.objective) <= MAX_TERMS_SECONDS
            and abs(self.patience) <= MAX_TERMS_SECONDS
            and math.isfinite(self.stream_seconds)
            and self.stream_seconds >= 0.0
        )


class PromptRequest(PrefillRequest, frozen=True):
    """A request for an engine that may wait in the queue of prompts, where that is on."""

    terms: PromptTerms | None = None


def encode_request(request: PromptRequest) -> bytes:
    """Encode a request; without terms it has the form that every release knows."""
    if request.terms is not None:
        return msgspec.msgpack.encode(request)
    fields = (getattr(request, name) for name in PrefillRequest.__struct_fields__)
    return msgspec.msgpack.encode(PrefillRequest(*fields))


class PromptGrant(PrefillGrant, frozen=True):
    """The answer of the queue of prompts.

    ``held`` says that the call keeps its place while the requester asks again at once; ``refused``
    that it cannot be served in time, and may be after ``wait`` seconds.
    """

    held: bool = False
    refused: bool = False


class PrefillDone(msgspec.Struct, frozen=True):
    """A report that the prompt of a call was read, or will not be: ``read`` says which.

    ``backoffs`` are those that the engines requested to which the call was sent, so that the owner
    grants them to no other call as long as there are others.
    """

    call_id: str
    service: str = ""
    read: bool = False
    backoffs: tuple[ReportedBackoff, ...] = ()


class LimitGrantRequest(msgspec.Struct, frozen=True):
    """A call's request to the owner of a zone's workers for a grant at a rate-limited one.

    ``workers`` are the candidates, the best first. ``limits`` are those that the requester has
    received from them, so that the owner knows a limit as soon as any of its requesters does.
    ``begins`` says that the grant only allows the call to start its stages, which compute its
    inputs; another grant is requested before the call is sent to a worker. ``brittle`` are the
    brittle workers known to the requester, ``seconds`` the time until the call must end, and
    ``patience`` the seconds for which it waits for a place at a brittle worker.
    """

    call_id: str
    service: str
    zone: str
    workers: tuple[str, ...]
    limits: tuple[ReportedLimit, ...] = ()
    begins: bool = False
    brittle: tuple[ReportedLimit, ...] = ()
    seconds: float = 0.0
    patience: float = 0.0


class LimitGrant(msgspec.Struct, frozen=True):
    """The worker that is granted the call; empty if none accepts it for ``wait`` seconds.

    ``rate`` is how many requests a second all candidates accept together. ``leased`` says that the
    call holds a lease of a brittle worker, which the requester must release.
    """

    worker_id: str
    wait: float = 0.0
    rate: float = 0.0
    leased: bool = False


class LeaseRelease(msgspec.Struct, frozen=True):
    """A call's lease of a brittle worker has ended; ``rejected`` for want of room there.

    ``unanswered`` says that the call was given up without an answer and may still be on its way.
    """

    worker_id: str
    call_id: str
    rejected: bool = False
    unanswered: bool = False


class WorkersRequest(msgspec.Struct, frozen=True):
    """A request for the changes of the list of workers after a revision."""

    since: int


class WorkersAnswer(msgspec.Struct, frozen=True):
    """A gateway's list of workers: ``changes`` since the requested revision, or all records."""

    revision: int
    records: tuple[WorkerRecord, ...]
    changes: WorkerChangeBatch | None = None


class StreamOriginRequest(msgspec.Struct, frozen=True):
    """A request for the origin of the stream with a key."""

    key: bytes


class StreamOriginAnswer(msgspec.Struct, frozen=True):
    """The origin of a stream, ``None`` if the gateway does not know it."""

    origin: StreamOrigin | None


class CrashesAnswer(msgspec.Struct, frozen=True):
    """All crash reports that a gateway has stored."""

    reports: tuple[CrashReport, ...]


class ConfigurationAnswer(msgspec.Struct, frozen=True):
    """A gateway's configuration, if it has one."""

    configuration: OpaqueConfiguration | None


class ReturnClaimRequest(msgspec.Struct, frozen=True):
    """A request to use the claim with a key, whose caller has returned."""

    key: bytes


class ReturnClaimAnswer(msgspec.Struct, frozen=True):
    """What the keeper knew of a claim that was asked for; one that is on time is now used."""

    state: ClaimState
