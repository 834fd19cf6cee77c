"""Time limits, in seconds, and rates that a soak checks."""

from dataclasses import dataclass

WARMUP_RATE = 6.7
"""Requests per second that a cold engine can serve."""

MODEL_SERVICE = {
    "name": "model",
    "engine": {"slots": 8, "kv_capacity": 60_000},
    "warmup_s": 1.0,
    "warmup_per_s": WARMUP_RATE,
}


@dataclass(frozen=True, slots=True)
class SoakBounds:
    """Guaranteed time limits and the tolerances that the soak adds.

    ``contact`` is how long a node must have been undisturbed before time limits apply to it.
    A node closes a silent connection within a limit: to the store after the wait and the timeout
    of a call (1.6 s), to a peer after 1.6 s, to a worker at the end of the longest call (6 s).
    ``report_interval`` is the minimum time between two requests of a node for a worker's report.
    """

    leaving: float = 2.5
    configuration: float = 2.5
    evacuation: float = 2.5
    cold_notice: float = 1.0
    limit_notice: float = 3.0
    cold_requests: float = 1.5 * WARMUP_RATE + 5
    report_interval: float = 0.1
    grace: float = 6.0
    contact: float = 3.0
    late_answer: float = 0.75
    recover: float = 12.0
    silent_store: float = 2.0
    silent_peer: float = 2.0
    silent_worker: float = 7.0
    told_leaving: float = 2.0
    told_configuration: float = 2.0
