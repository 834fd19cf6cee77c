"""Prometheus metrics of a gateway."""

from prometheus_client import Counter, Gauge, Histogram

LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)

REQUESTS = Counter(
    "corkcrank_requests_total", "Requests by tier rank and result code.", ["rank", "code"]
)
REQUEST_SECONDS = Histogram(
    "corkcrank_request_seconds",
    "Time from arrival to final answer.",
    ["rank"],
    buckets=LATENCY_BUCKETS,
)
STAGE_SECONDS = Histogram(
    "corkcrank_stage_seconds",
    "Time of a stage, retries included.",
    ["service"],
    buckets=LATENCY_BUCKETS,
)
STAGE_COST = Counter("corkcrank_stage_cost_total", "Cost by stage.", ["service"])
WASTED_COST = Counter(
    "corkcrank_wasted_cost_total", "Cost of stages of requests that failed.", ["service"]
)
RETRIES = Counter("corkcrank_retries_total", "Attempts after the first.", ["service"])
DROPPED_ANSWERS = Counter(
    "corkcrank_dropped_answers_total", "Answers that failed their checks.", ["service"]
)
TOKENS = Counter("corkcrank_tokens_total", "Tokens passed on.")
IN_FLIGHT = Gauge("corkcrank_in_flight", "Requests in flight.")
CLAIM_TRANSACTIONS = Gauge("corkcrank_claim_transactions", "Table transactions for claims.")
