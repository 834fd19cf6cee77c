"""Counters and histograms of a node; label values never come from callers."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""Upper bounds of latency histograms, in seconds."""

RATIO_BUCKETS = (0.25, 0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0)
"""Upper bounds of measured over forecast times."""

LAG_BUCKETS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.5)
"""Upper bounds of the event loop's lag, in seconds."""

RELEASE_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the time for which work goes on after a caller's close, in seconds."""


class NodeMetrics:
    """The metrics of one gateway, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "corkcrank_calls",
            "Calls ended, by kind, rank and outcome.",
            ("kind", "rank", "outcome"),
            registry=self.registry,
        )
        self.seconds = Histogram(
            "corkcrank_call_seconds",
            "Time to the first byte of an answer.",
            ("kind",),
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.held = Histogram(
            "corkcrank_held_seconds",
            "Time from a call's arrival to its end, of calls without a worker's answer.",
            ("cause",),
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.attempts = Counter(
            "corkcrank_attempts",
            "Requests sent to workers, by how they ended.",
            ("outcome",),
            registry=self.registry,
        )
        self.verdicts = Counter(
            "corkcrank_worker_verdicts",
            "Changes of what is held of a worker that fails calls, by the new verdict.",
            ("verdict",),
            registry=self.registry,
        )
        self.suspensions = Counter(
            "corkcrank_suspensions",
            "Suspensions of the machine that this process lived through.",
            registry=self.registry,
        )
        self.worker_ends = Counter(
            "corkcrank_worker_ends",
            "Requests with which a worker ended, by service; one for each worker and request.",
            ("service",),
            registry=self.registry,
        )
        self.quarantines = Counter(
            "corkcrank_request_quarantines",
            "Requests quarantined, since workers ended under them.",
            registry=self.registry,
        )
        self.verdicts_taken_back = Counter(
            "corkcrank_request_verdicts_taken_back",
            "Requests that are quarantined no more, since other requests explain the ends.",
            registry=self.registry,
        )
        self.unreadable_crash_reports = Counter(
            "corkcrank_unreadable_crash_reports",
            "Reports of ended workers that were not believed, by what is wrong with them.",
            ("problem",),
            registry=self.registry,
        )
        self.limit_held_back = Counter(
            "corkcrank_limit_held_back",
            "Calls for which workers were at their limits, by what followed.",
            ("outcome",),
            registry=self.registry,
        )
        self.rate_limit_changes = Counter(
            "corkcrank_rate_limit_changes",
            "Answers of workers that changed the rate limit they name, by what they changed.",
            ("change",),
            registry=self.registry,
        )
        self.unknown_headers = Counter(
            "corkcrank_unknown_headers",
            "Headers of workers' answers that nothing knows.",
            registry=self.registry,
        )
        self.refusals = Counter(
            "corkcrank_refusals",
            "Answers of this gateway's own, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.silent_connections = Counter(
            "corkcrank_silent_connections",
            "Connections dropped since no byte came or was accepted in time, by kind.",
            ("kind",),
            registry=self.registry,
        )
        self.unreadable_documents = Counter(
            "corkcrank_unreadable_documents",
            "Entries of the list of workers, and reports of workers, that could not be read.",
            ("kind",),
            registry=self.registry,
        )
        self.reserved_headers = Counter(
            "corkcrank_reserved_headers",
            "Headers of callers that were dropped, as only a gateway may set them.",
            ("header",),
            registry=self.registry,
        )
        self.connections = Gauge(
            "corkcrank_connections", "Open connections of callers.", registry=self.registry
        )
        self.connections_closed = Counter(
            "corkcrank_connections_closed",
            "Connections of callers closed for new ones, by what they waited for.",
            ("phase",),
            registry=self.registry,
        )
        self.callers_left = Counter(
            "corkcrank_callers_left_early",
            "Callers that had left before their connection was accepted.",
            registry=self.registry,
        )
        self.forecast_ratio = Histogram(
            "corkcrank_stage_forecast_ratio",
            "Measured time of a call's stages over the forecast one.",
            buckets=RATIO_BUCKETS,
            registry=self.registry,
        )
        self.prompt_tokens = Counter(
            "corkcrank_prompt_tokens",
            "Prompt tokens of admitted calls, believed kept at the first choice or read anew.",
            ("cache",),
            registry=self.registry,
        )
        self.stage_wait = Histogram(
            "corkcrank_stage_seconds",
            "Time of all stages of a call.",
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.release = Histogram(
            "corkcrank_release_seconds",
            "Time from a caller's close, or a call's word to its pieces' owner, to the release"
            " of the last worker.",
            ("step",),
            buckets=RELEASE_BUCKETS,
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "corkcrank_configuration_version",
            "Version in force.",
            registry=self.registry,
        )
        self.members = Gauge(
            "corkcrank_members", "Live gateways, this one included.", registry=self.registry
        )
        self.loop_lag = Histogram(
            "corkcrank_loop_lag_seconds",
            "How late the event loop runs a timer.",
            buckets=LAG_BUCKETS,
            registry=self.registry,
        )

    def released(self, step: str, seconds: float) -> None:
        """Note that no worker is at work any more for a call whose caller has left."""
        self.release.labels(step).observe(seconds)

    def refusals_by_cause(self) -> dict[str, int]:
        """Return how many answers of its own this gateway gave, by cause."""
        return {
            sample.labels["cause"]: int(sample.value)
            for family in self.refusals.collect()
            for sample in family.samples
            if sample.name.endswith("_total")
        }
