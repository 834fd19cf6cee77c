"""Records of a call: the request as sent, its runs at workers, and the response."""

from collections.abc import Mapping
from dataclasses import dataclass, field

SILENT = "silent"
"""Trouble of a call whose connection stayed open without an answer in time."""


@dataclass(slots=True)
class Answer:
    """Response that a caller received; ``status`` is 0 if the connection ended without one."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    complete: bool
    at: float
    trouble: str = ""


@dataclass(slots=True)
class Run:
    """One run of a call at a worker.

    ``ended`` is set once the worker has answered or failed, and stays unset if the request's
    connection was closed before. ``hung`` is set if the worker will never answer it.
    """

    worker_id: str
    service: str
    begun_at: float
    sealed: str = ""
    status: int = 0
    broken_off: bool = False
    worker: object = None
    ended: bool = False
    hung: bool = False


@dataclass(slots=True)
class SentCall:
    """A call as its client sent it; ``pieces`` holds the number of pieces of each stage.

    A stream that a caller takes up keeps the ``stream_id`` of its first attempt; the caller has
    its events up to ``resume_after``, which engines of a software ``version`` wrote. Engines crash
    under ``bad_part``, a part of its prompt.
    """

    call_id: str
    route: str
    node: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    tenant: str
    repeatable: bool
    deadline: float
    events: int = 0
    pieces: tuple[int, ...] = ()
    sent_at: float = 0.0
    answer: Answer | None = None
    runs: list[Run] = field(default_factory=list)
    stage_runs: int = 0
    work_ends_at: float | None = None
    client: tuple[str, int] | None = None
    stream_id: str = ""
    resume_after: int = 0
    version: str = ""
    bad_part: str = ""

    def __post_init__(self) -> None:
        self.stream_id = self.stream_id or self.call_id

    @property
    def due_at(self) -> float:
        """Return when the client stops waiting."""
        return self.sent_at + self.deadline
