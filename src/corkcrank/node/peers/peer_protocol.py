"""Messages between gateways: pieces for the owner of a stage worker, results given up.

MessagePack by msgspec over HTTP; the types are these, so nothing is generated.
"""

import msgspec

from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.contracts.opaque_configuration import OpaqueConfiguration
from corkcrank.contracts.urgency import Urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import PieceResult
from corkcrank.machines.worker_changes import WorkerChangeBatch
from corkcrank.scheduling.crash_reports import CrashReport
from corkcrank.scheduling.stated_limits import ReportedLimit

PIECES_PATH = "/peer/pieces"
FREE_PATH = "/peer/free"
WITHDRAW_PATH = "/peer/withdraw"
CONFIGURATION_PATH = "/peer/configuration"
WORKERS_PATH = "/peer/workers"
PREFILL_REQUEST_PATH = "/peer/engine-turn"
PREFILL_DONE_PATH = "/peer/engine-done"
LIMIT_GRANT_PATH = "/peer/limit-grant"
CRASHES_PATH = "/peer/crashes"


class FollowingPieces(msgspec.Struct, frozen=True, array_like=True):
    """Pieces that a call will ask of a stage service once the present stage has ended."""

    service: str
    pieces: int


class FreeResults(msgspec.Struct, frozen=True):
    """Results of one worker that nobody reads any more."""

    worker_id: str
    handles: tuple[str, ...]


class StageWork(msgspec.Struct, frozen=True):
    """Pieces of one stage of one call, for one stage worker.

    ``following`` are those of its later stages, told with the stage that they wait for.
    ``begins`` says that the call asks for its first pieces, so that all of them count as newly
    asked for. ``alone`` says that a worker ended under the call's request, so that its pieces
    share no batch with those of others.
    ``start_by`` and ``remaining`` are seconds from the moment of sending, since clocks of
    machines are not compared.
    ``last_reads`` are results that nobody but these pieces reads, by the worker that holds them.
    ``question`` is a random number by which the asker may take the work back; 0 is none.
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


class StageAnswer(msgspec.Struct, frozen=True):
    """The results in the order of the pieces, and the wait forecast for a new one.

    ``inputs_freed`` says that the results which the pieces were the last to read are given up,
    ``short_of_room`` that pieces wait for the room that these results hold.
    """

    results: tuple[PieceResult, ...]
    start_seconds: float = 0.0
    detail: str = ""
    inputs_freed: bool = False
    short_of_room: bool = False


class WithdrawnQuestion(msgspec.Struct, frozen=True):
    """Work whose asker reads no answer any more, by its number."""

    question: int


class PrefillRequest(msgspec.Struct, frozen=True):
    """A call whose stages have ended asks which engine of a zone reads its prompt."""

    call_id: str
    service: str
    zone: str
    prompt: PromptShape
    excluded: tuple[str, ...]
    long: bool
    repeatable: bool = False
    limits: tuple[ReportedLimit, ...] = ()


class PrefillGrant(msgspec.Struct, frozen=True):
    """The engine that reads the prompt next; empty if there is none.

    ``limited`` says that there are some, each of which has been given what it takes; one takes
    more in ``wait`` seconds.
    """

    worker_id: str
    limited: bool = False
    wait: float = 0.0


class PrefillDone(msgspec.Struct, frozen=True):
    """The prompt of a call to a service was read, or will not be: ``read`` says which."""

    call_id: str
    service: str = ""
    read: bool = False


class LimitGrantRequest(msgspec.Struct, frozen=True):
    """A call asks the owner of a service's workers in a zone which limited one takes it.

    ``workers`` are the candidates, the best first. ``limits`` are what the asker has heard of
    them, so that an owner knows of a limit as soon as anybody who asks it does. ``begins`` says
    that the call only begins: its inputs are made first, and it asks again before it is sent.
    """

    call_id: str
    service: str
    zone: str
    workers: tuple[str, ...]
    limits: tuple[ReportedLimit, ...] = ()
    begins: bool = False


class LimitGrant(msgspec.Struct, frozen=True):
    """The worker that takes the call; empty if none does before ``wait`` seconds are over.

    ``rate`` is how many a second all candidates take together.
    """

    worker_id: str
    wait: float = 0.0
    rate: float = 0.0


class WorkersQuestion(msgspec.Struct, frozen=True):
    """Asks for what changed in the list of workers after a revision."""

    since: int


class WorkersAnswer(msgspec.Struct, frozen=True):
    """A gateway's list of workers: ``changes`` since the revision asked for, else all of it."""

    revision: int
    records: tuple[WorkerRecord, ...]
    changes: WorkerChangeBatch | None = None


class CrashesAnswer(msgspec.Struct, frozen=True):
    """Every worker's end that a gateway remembers."""

    reports: tuple[CrashReport, ...]


class ConfigurationAnswer(msgspec.Struct, frozen=True):
    """A gateway's configuration, if it has one."""

    configuration: OpaqueConfiguration | None
