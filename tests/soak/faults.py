"""Kinds of faults that a soak injects, and one scheduled fault."""

from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """Kinds of faults of the processes, links and simulated back ends."""

    TERMINATE = "terminate"
    CHANGE_SETTINGS = "change settings"
    CONFIGURE = "configure"
    DRAIN_WORKER = "drain worker"
    WORKER_VANISHES = "worker vanishes from the list"
    KILL = "kill"
    KILL_MANY = "kill many"
    FREEZE = "freeze"
    CALLERS_LINK = "callers' link"
    CALLERS_FLOOD = "flood of callers' connections"
    STORE_LINK = "store's link"
    WORKER_LINK = "worker's link"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_FORGETS = "store forgets its history"
    STORE_TURNS_AWAY = "store turns a node away"
    WORKER_GREY = "worker fails some calls"
    WORKER_CRASH = "worker crashes"
    KEPT_SILENT = "kept connections fall silent for good"
    ENGINES_GREY = "engines fail some calls, each in its own way"
    WORKER_RESTARTED = "worker drains and starts again under its id"
    WORKER_STARTS_AGAIN = "worker crashes and starts again under its id"
    FOREIGN_ENTRY = "entry of another writer"
    CRASHING_REQUEST = "a request that crashes its workers, again and again"
    EVACUATE_ZONE = "a zone is evacuated and taken back"
    ENGINES_COLD = "engines turn cold together"
    WORKERS_LIMITED = "workers name rate limits"
    LEAVE_ANNOUNCED = "a worker announces its leave in its answers only"
    BACKOFFS_REQUESTED = "workers reject calls and request backoffs"
    CUT_FROM_WORKERS = "nodes lose their links to all workers"
    WORKERS_BRITTLE = "workers fall over if they reject too many calls"
    CRASHING_PART = "requests, never alike, with a prompt part that crashes engines"
    SERVICE_SILENT = "workers of a service send nothing for a moment"
    SURPLUS_ANSWERS = "stage workers send surplus answers"
    LARGE_BODIES = "callers send large bodies"
    ENDLESS_ANSWERS = "a worker answers without end"


@dataclass(frozen=True, slots=True)
class Fault:
    """A scheduled fault; ``choice`` (0 to 1) selects target and variant, ``strength`` its size."""

    kind: FaultKind
    at: float
    seconds: float
    choice: float
    strength: float

    def __str__(self) -> str:
        """Return a one-line description for logs."""
        return f"{self.at:6.2f} s {self.kind.value}, {self.seconds:.1f} s, choice {self.choice:.3f}"
