"""Messages that the gateways send each other about their state, several times a second."""

from enum import IntEnum

import msgspec

from corkcrank.contracts.zone_evacuations import ZoneState
from corkcrank.machines.store_contact import ReportedStoreContact
from corkcrank.machines.worker_changes import WorkerChangeBatch
from corkcrank.scheduling.crash_reports import CrashReport, TrialReport
from corkcrank.scheduling.forecast_bias import ForecastRatio
from corkcrank.scheduling.stated_limits import ReportedLimit
from corkcrank.scheduling.worker_notices import ReportedBackoff, ReportedLeave
from corkcrank.scheduling.worker_outcomes import ReportedOutcomes
from corkcrank.scheduling.worker_pace import ReportedPace

MAX_START_SECONDS = 1e6
"""Highest valid time in the load of a queue of prompts: callers wait for a day at most."""


class Phase(IntEnum):
    """State of a member process."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2


class StageLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one stage worker, as its owner reports it.

    ``free_seconds`` is when a piece ahead of all waiting pieces would start. ``starts`` gives
    for each waiting rank when a piece queued last of that rank would start. ``ahead`` gives the
    pieces before such a piece and the room that their results leave: first of a piece ahead of
    all, then for each of ``starts``. A sender of an older release reports only the totals of all
    ranks, ``waiting`` and ``room_free``.
    """

    worker_id: str
    free_seconds: float
    starts: tuple[tuple[tuple[int, int], float], ...]
    waiting: int
    room_free: float
    ahead: tuple[tuple[int, int], ...] = ()

    def start_seconds(self, rank: tuple[int, int], *, first: bool = False) -> float:
        """Return when a new piece of a rank would start, or the ``first`` one of the rank.

        >>> load = StageLoad("w", 0.1, (((0, 0), 0.4), ((0, 2), 0.9)), 7, 0.0)
        >>> load.start_seconds((0, 1)), load.start_seconds((0, 2))
        (0.4, 0.9)
        >>> load.start_seconds((0, 2), first=True)
        0.4
        """
        before = [start for _, start in self.starts[: self._ranks_before(rank, first=first)]]
        return max(before, default=self.free_seconds)

    def pieces_and_room(self, rank: tuple[int, int], *, first: bool = False) -> tuple[int, float]:
        """Return the pieces before a new piece of a rank, and the room that they leave to it.

        >>> starts = (((0, 0), 0.4), ((0, 2), 0.9))
        >>> load = StageLoad("w", 0.1, starts, 7, -20.0, ((0, 50), (2, 30), (7, -20)))
        >>> load.pieces_and_room((0, 1)), load.pieces_and_room((0, 2))
        ((2, 30), (7, -20))
        >>> StageLoad("w", 0.1, starts, 7, -20.0).pieces_and_room((0, 1))
        (7, -20.0)
        """
        place = self._ranks_before(rank, first=first)
        return self.ahead[place] if place < len(self.ahead) else (self.waiting, self.room_free)

    def _ranks_before(self, rank: tuple[int, int], *, first: bool) -> int:
        """Return how many of the waiting ranks go before a new piece of a rank."""
        return sum(waiting < rank or (waiting == rank and not first) for waiting, _ in self.starts)


class CallLoad(msgspec.Struct, frozen=True, array_like=True):
    """Calls of one member in flight at one worker, and their unread prompt tokens."""

    worker_id: str
    in_flight: int
    reading: int = 0


class SentPrefix(msgspec.Struct, frozen=True, array_like=True):
    """Shared parts of a prompt that a member sent to an engine, as pairs of id and tokens."""

    worker_id: str
    parts: tuple[tuple[str, int], ...]


class ServiceBacklog(msgspec.Struct, frozen=True, array_like=True):
    """Pieces that a member's admitted calls will still request from a stage service.

    ``rate`` is the number of pieces per second that it admitted recently, ``claimed`` the number
    that refused callers will request whose claims the member keeps.
    """

    service: str
    rank: tuple[int, int]
    pieces: int
    rate: float = 0.0
    claimed: int = 0


class PromptLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a zone's engines of one service, as the owner of their prompt queue reports it.

    ``free_seconds`` is when a prompt ahead of all waiting ones would begin to be read. ``starts``
    gives for each waiting rank when a prompt queued last of that rank would. ``waiting`` is the
    number of waiting prompts, ``tokens_per_second`` the rate at which all engines together read.
    """

    service: str
    zone: str
    free_seconds: float
    starts: tuple[tuple[tuple[int, int], float], ...]
    waiting: int
    tokens_per_second: float

    @property
    def is_valid(self) -> bool:
        """Return whether the times make sense; any other load must be ignored.

        >>> PromptLoad("s", "z", 0.1, (((0, 0), 0.4),), 7, 9e3).is_valid
        True
        >>> PromptLoad("s", "z", 0.1, (((0, 0), float("nan")),), 7, 9e3).is_valid
        False
        """
        times = (self.free_seconds, *(start for _, start in self.starts))
        return all(0.0 <= time <= MAX_START_SECONDS for time in times)

    def start_seconds(self, rank: tuple[int, int]) -> float:
        """Return when a new prompt of a rank would begin to be read."""
        before = [start for waiting, start in self.starts if waiting <= rank]
        return max(before, default=self.free_seconds)


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """State that a member sends to the others; ``address`` is where it accepts peers' calls.

    The contacts are the newest answers of the store about each table that the sender knows.
    ``probe`` asks the receiver for its heartbeat. ``strength`` is the processor capacity that
    the sender may use, in standard processors of the platform; 0 if unknown. ``outcomes`` are
    those of its calls at workers that failed some calls. ``trials`` are the attempts of requests
    on probation. ``zone_states`` lists the zones that were ever evacuated. ``limits`` are the
    rates that workers state. ``crashes`` are the workers that crashed, each with all requests it
    had. ``leaves`` are the workers whose answers announce a leave that their entries do not state,
    ``backoffs`` those that workers requested of the sender. ``partitioned`` says that the sender
    reaches no worker: it owns nothing, and what it believes of workers is ignored. ``brittle`` are
    the rejections a second that brittle workers tolerate. ``paces`` are those of workers whose
    work takes longer or shorter than usual. ``prompt_loads`` are those of the prompt queues that
    the sender owns.
    """

    name: str
    incarnation: int
    zone: str
    address: str
    phase: int
    interval: float
    configuration_version: int = 0
    configuration_contact: ReportedStoreContact = ReportedStoreContact()
    workers_revision: int = 0
    workers_contact: ReportedStoreContact = ReportedStoreContact()
    worker_changes: WorkerChangeBatch | None = None
    stage_loads: tuple[StageLoad, ...] = ()
    call_loads: tuple[CallLoad, ...] = ()
    backlogs: tuple[ServiceBacklog, ...] = ()
    prefixes: tuple[SentPrefix, ...] = ()
    forecast_ratios: tuple[ForecastRatio, ...] = ()
    probe: bool = False
    strength: float = 0.0
    outcomes: tuple[ReportedOutcomes, ...] = ()
    trials: tuple[TrialReport, ...] = ()
    zone_states: tuple[ZoneState, ...] = ()
    limits: tuple[ReportedLimit, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    leaves: tuple[ReportedLeave, ...] = ()
    backoffs: tuple[ReportedBackoff, ...] = ()
    partitioned: bool = False
    brittle: tuple[ReportedLimit, ...] = ()
    paces: tuple[ReportedPace, ...] = ()
    prompt_loads: tuple[PromptLoad, ...] = ()
