"""Messages exchanged with back ends and callers as JSON bodies."""

import msgspec

from corkcrank.contracts.bounded_values import Revision, WholeNumber
from corkcrank.contracts.identifiers import (
    AttemptId,
    RequestId,
    TenantName,
    WorkerId,
)


class Passage(msgspec.Struct, frozen=True):
    """A retrieved text with the tenant that owns it."""

    tenant: TenantName
    text: str
    score: float = 0.0


class StageCall(msgspec.Struct, frozen=True):
    """A call to an encoder, retriever or reranker; the answer must repeat its identifiers."""

    request: RequestId
    stage: int
    attempt: AttemptId
    tenant: TenantName
    text: str
    passages: tuple[Passage, ...] = ()
    rank: int = 0


class StageAnswer(msgspec.Struct, frozen=True):
    """The answer to a :class:`StageCall`; ``busy_seconds`` is the back end's processing time."""

    request: RequestId
    stage: int
    attempt: AttemptId
    tenant: TenantName
    text: str = ""
    passages: tuple[Passage, ...] = ()
    busy_seconds: float = 0.0


class GenerateCall(msgspec.Struct, frozen=True):
    """A call to an engine; ``offset`` is the index of the first requested token."""

    request: RequestId
    stage: int
    attempt: AttemptId
    tenant: TenantName
    model: str
    prompt: str
    cache_salt: str
    max_tokens: int
    offset: int = 0
    rank: int = 0


class TokenChunk(msgspec.Struct, frozen=True):
    """One line of an engine's stream.

    The final line has ``last`` set, no token, and ``index`` equal to the number of tokens.
    """

    attempt: AttemptId
    index: WholeNumber
    token: str = ""
    last: bool = False
    busy_seconds: float = 0.0


class PlainCall(msgspec.Struct, frozen=True):
    """A call to a plain service."""

    request: RequestId
    attempt: AttemptId
    tenant: TenantName
    operation: str
    key: str
    body: str


class PlainAnswer(msgspec.Struct, frozen=True):
    """The answer of a plain service."""

    request: RequestId
    attempt: AttemptId
    tenant: TenantName
    body: str
    busy_seconds: float = 0.0


class LoadReport(msgspec.Struct, frozen=True):
    """A back end's report of its load and its loaded models.

    ``boot`` is the same incarnation as in the platform's machine list.
    """

    worker: WorkerId
    leaving: bool
    running: WholeNumber
    waiting: WholeNumber
    slots: WholeNumber
    boot: str = ""
    models: tuple[str, ...] = ()
    fence: Revision = 0


class WorkerEntry(msgspec.Struct, frozen=True):
    """One back end in the platform's machine list; ``boot`` changes at each restart."""

    worker: WorkerId
    service: str
    zone: str
    address: str
    boot: str = ""
    leaving: bool = False


class MachineList(msgspec.Struct, frozen=True):
    """The platform's list of back ends; ``version`` increases with each change."""

    version: Revision
    workers: tuple[WorkerEntry, ...]


class ModelOrder(msgspec.Struct, frozen=True):
    """An order, fenced by ``fence``, that lists the models an engine must have loaded."""

    service: str
    worker: WorkerId
    fence: int
    models: tuple[str, ...]


class PipelineRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a caller's pipeline request."""

    input: str
    max_tokens: int | None = None


class PipelineAnswer(msgspec.Struct, frozen=True):
    """The final answer to a pipeline request."""

    request: RequestId
    code: int
    ran: str
    text: str
    tokens: int
    passages: tuple[Passage, ...]
    stage_costs: dict[str, float]


class FailureAnswer(msgspec.Struct, frozen=True):
    """The body of every answer that is not ``OK``."""

    request: RequestId
    code: int
    name: str
    ran: str
    detail: str
    retry_after_seconds: float | None = None


class PlainResult(msgspec.Struct, frozen=True):
    """The final answer to a plain call."""

    request: RequestId
    code: int
    ran: str
    body: str
