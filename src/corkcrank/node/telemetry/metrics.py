"""Defines the counters, gauges and histograms of a node; callers never set label values."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""Upper bounds of latency histograms, in seconds."""

RATIO_BUCKETS = (0.25, 0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0)
"""Upper bounds of the ratio of measured to forecast times."""

LAG_BUCKETS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.5)
"""Upper bounds of the event loop's lag, in seconds."""

RELEASE_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the time for which work continues after a caller disconnects, in seconds."""


class NodeMetrics:
    """The metrics of one gateway, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "corkcrank_calls",
            "Calls ended, by kind, rank and outcome.",
            ("kind", "rank", "outcome"),
            registry=self.registry,
        )
        self.time_to_first_byte = Histogram(
            "corkcrank_call_seconds",
            "Time to the first byte of a response.",
            ("kind",),
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.unserved_call_seconds = Histogram(
            "corkcrank_held_seconds",
            "Time from arrival to end of calls without a worker's response.",
            ("cause",),
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.attempts = Counter(
            "corkcrank_attempts",
            "Requests sent to workers, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self.worker_verdicts = Counter(
            "corkcrank_worker_verdicts",
            "Changes of the verdict on a worker that fails calls, by the new verdict.",
            ("verdict",),
            registry=self.registry,
        )
        self.partitions = Counter(
            "corkcrank_worker_partitions",
            "Partitions of this gateway from all workers that began or ended.",
            ("change",),
            registry=self.registry,
        )
        self.relayed_requests = Counter(
            "corkcrank_relayed_requests",
            "Requests sent through other gateways, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self.requests_relayed_for_others = Counter(
            "corkcrank_requests_relayed_for_others",
            "Requests of other gateways, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self.suspensions = Counter(
            "corkcrank_suspensions",
            "Suspensions of the machine during this process.",
            registry=self.registry,
        )
        self.crashed_worker_requests = Counter(
            "corkcrank_worker_ends",
            "Requests in progress at crashed workers, by service; one per worker and request.",
            ("service",),
            registry=self.registry,
        )
        self.quarantines = Counter(
            "corkcrank_request_quarantines",
            "Requests quarantined because workers crashed during them.",
            registry=self.registry,
        )
        self.part_quarantines = Counter(
            "corkcrank_prompt_part_quarantines",
            "Prompt parts quarantined because workers crashed under requests with them.",
            registry=self.registry,
        )
        self.quarantines_withdrawn = Counter(
            "corkcrank_request_verdicts_taken_back",
            "Requests released from quarantine because other requests explain the crashes.",
            registry=self.registry,
        )
        self.unreadable_crash_reports = Counter(
            "corkcrank_unreadable_crash_reports",
            "Reports of crashed workers that were rejected, by problem.",
            ("problem",),
            registry=self.registry,
        )
        self.calls_at_limits = Counter(
            "corkcrank_limit_held_back",
            "Calls for which workers were at their limits, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self.prompt_outcomes = Counter(
            "corkcrank_prompt_queue",
            "Prompts that left the queues of this gateway, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self.prompt_waits = Histogram(
            "corkcrank_prompt_wait_seconds",
            "Time of prompts in the queues of this gateway, by rank.",
            ("rank",),
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.rate_limit_changes = Counter(
            "corkcrank_rate_limit_changes",
            "Responses of workers that changed their stated rate limit, by kind of change.",
            ("change",),
            registry=self.registry,
        )
        self.unreadable_loads = Counter(
            "corkcrank_unreadable_loads",
            "Responses of workers with a load that makes no sense.",
            registry=self.registry,
        )
        self.brittle_workers = Counter(
            "corkcrank_brittle_workers",
            "Responses of workers that changed how many rejections they tolerate, by kind.",
            ("change",),
            registry=self.registry,
        )
        self.worker_notices = Counter(
            "corkcrank_worker_notices",
            "Leaves first heard of, requested backoffs, and unreadable ones, by kind.",
            ("kind",),
            registry=self.registry,
        )
        self.unknown_headers = Counter(
            "corkcrank_unknown_headers",
            "Unknown headers in workers' responses.",
            registry=self.registry,
        )
        self.refusals = Counter(
            "corkcrank_refusals",
            "Responses that this gateway generated itself, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.return_claims = Counter(
            "corkcrank_return_claims",
            "Claims of refused callers to be served first when they return, by event.",
            ("event",),
            registry=self.registry,
        )
        self.silent_connections = Counter(
            "corkcrank_silent_connections",
            "Connections dropped because no byte was received or accepted in time, by kind.",
            ("kind",),
            registry=self.registry,
        )
        self.oversized_messages = Counter(
            "corkcrank_oversized_messages",
            "Messages of workers, members and the store dropped for their size, by purpose.",
            ("purpose",),
            registry=self.registry,
        )
        self.foreign_answers = Counter(
            "corkcrank_foreign_answers",
            "Answers of workers that belong to other requests or to none, by how they were found.",
            ("kind",),
            registry=self.registry,
        )
        self.received_bytes = Gauge(
            "corkcrank_received_bytes",
            "Bytes kept of messages that are incomplete, by purpose.",
            ("purpose",),
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
            "Callers' headers dropped because only a gateway may set them.",
            ("header",),
            registry=self.registry,
        )
        self.connections = Gauge(
            "corkcrank_connections", "Open connections of callers.", registry=self.registry
        )
        self.connections_closed = Counter(
            "corkcrank_connections_closed",
            "Connections of callers closed to admit new ones, by what they waited for.",
            ("phase",),
            registry=self.registry,
        )
        self.listener_closed = Counter(
            "corkcrank_listener_closed",
            "Connections closed on the listeners for peers and health checks, by cause.",
            ("listener", "cause"),
            registry=self.registry,
        )
        self.readers_cut = Counter(
            "corkcrank_readers_cut",
            "Answers cut because their callers did not read them, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.unread_bytes = Gauge(
            "corkcrank_unread_bytes",
            "Bytes kept for callers that have not read their answers.",
            registry=self.registry,
        )
        self.body_bytes = Gauge(
            "corkcrank_body_bytes",
            "Bytes of the large request bodies of calls in progress.",
            registry=self.registry,
        )
        self.answer_bytes = Gauge(
            "corkcrank_answer_bytes",
            "Bytes of large answers that are kept whole until their callers have read them.",
            registry=self.registry,
        )
        self.kept_bytes = Gauge(
            "corkcrank_kept_bytes",
            "Bytes kept for callers, workers and peers, over all accounts.",
            registry=self.registry,
        )
        self.answers_relayed = Counter(
            "corkcrank_answers_relayed",
            "Large answers that were relayed at the pace of their callers for want of memory.",
            registry=self.registry,
        )
        self.workers_full_of_requests = Counter(
            "corkcrank_workers_full_of_requests",
            "Times that a worker's unanswered requests reached their bound in bytes.",
            registry=self.registry,
        )
        self.callers_disconnected = Counter(
            "corkcrank_callers_left_early",
            "Callers that had disconnected before their connection was accepted.",
            registry=self.registry,
        )
        self.forecast_ratio = Histogram(
            "corkcrank_stage_forecast_ratio",
            "Ratio of measured to forecast time of a call's stages.",
            buckets=RATIO_BUCKETS,
            registry=self.registry,
        )
        self.prompt_tokens = Counter(
            "corkcrank_prompt_tokens",
            "Prompt tokens of admitted calls, estimated as cached at the first choice or new.",
            ("cache",),
            registry=self.registry,
        )
        self.continued_streams = Counter(
            "corkcrank_streams_continued",
            "Streams continued after an earlier event, by who resumed them (caller or gateway) and"
            " the version of the software (same, other, unknown).",
            ("resumed_by", "version"),
            registry=self.registry,
        )
        self.resumed_calls = Counter(
            "corkcrank_resumed_calls",
            "Calls that resume a stream, by outcome: continued, a result code or no answer.",
            ("outcome",),
            registry=self.registry,
        )
        self.cut_streams = Counter(
            "corkcrank_streams_cut",
            "Streams cut midway by this gateway because no engine continued them, by what failed"
            " last (engine, stages or the deadline).",
            ("failed",),
            registry=self.registry,
        )
        self.stage_seconds = Histogram(
            "corkcrank_stage_seconds",
            "Time of all stages of a call.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.release_seconds = Histogram(
            "corkcrank_release_seconds",
            "Time from a caller's disconnect, or a call's message to its pieces' owner, to the"
            " release of the last worker.",
            ("step",),
            buckets=RELEASE_BUCKETS,
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "corkcrank_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.members = Gauge(
            "corkcrank_members", "Live gateways, this one included.", registry=self.registry
        )
        self.calls_left_zone = Counter(
            "corkcrank_calls_left_zone",
            "Calls that run in another zone than that of their first engine, by both zones.",
            ("left", "taken"),
            registry=self.registry,
        )
        self.loop_lag = Histogram(
            "corkcrank_loop_lag_seconds",
            "How late the event loop runs a timer.",
            buckets=LAG_BUCKETS,
            registry=self.registry,
        )

    def count_prompt_outcome(self, outcome: str) -> None:
        """Count a prompt that left a queue of this gateway."""
        self.prompt_outcomes.labels(outcome).inc()

    def observe_prompt_wait(self, rank: str, seconds: float) -> None:
        """Record the time of a prompt in a queue of this gateway."""
        self.prompt_waits.labels(rank).observe(seconds)

    def record_release(self, step: str, seconds: float) -> None:
        """Record the seconds until no worker runs a call any more whose caller has disconnected."""
        self.release_seconds.labels(step).observe(seconds)

    def refusals_by_cause(self) -> dict[str, int]:
        """Return how many responses this gateway generated itself, by cause."""
        return {
            sample.labels["cause"]: int(sample.value)
            for family in self.refusals.collect()
            for sample in family.samples
            if sample.name.endswith("_total")
        }
