"""Measures the prefill throughput of a service's engines and limits consecutive prompt tokens.

An engine reads prompts in chunks between the decode steps of its streams. Each stream event holds
several tokens, so the pause before an event grows with the number of prompt tokens read in a row.
If the pause exceeds the limit that callers accept, every stream of the engine is late.
"""

from corkcrank.contracts.opaque_configuration import OpaqueConfiguration

INITIAL_TOKENS_PER_SECOND = 20_000.0
"""Throughput assumed before the first measurement."""

SAMPLE_WEIGHT = 0.05
"""Weight of the newest prompt in the moving averages."""

MIN_SAMPLE_TOKENS = 2_000
"""Shorter prompts are ignored: their time is mostly network delay."""

MAX_PAUSE_SHARE = 0.8
"""Share of the longest accepted pause that an engine may spend reading. Decode steps and prompts
from other gateways add to the pause."""


class PrefillPace:
    """Prefill throughput in prompt tokens a second, by service."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._seconds: dict[str, float] = {}

    def observe_prefill(self, service: str, tokens: float, seconds: float) -> None:
        """Update the averages: an engine read ``tokens``, queued ones included, in ``seconds``."""
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        known_tokens = self._tokens.get(service, tokens)
        known_seconds = self._seconds.get(service, seconds)
        self._tokens[service] = known_tokens + SAMPLE_WEIGHT * (tokens - known_tokens)
        self._seconds[service] = known_seconds + SAMPLE_WEIGHT * (seconds - known_seconds)

    def tokens_per_second(self, service: str) -> float:
        """Return the prefill throughput of a service's engines.

        >>> pace = PrefillPace()
        >>> pace.observe_prefill("llm", 6_000, 0.2); pace.observe_prefill("llm", 100, 5.0)
        >>> pace.tokens_per_second("llm"), pace.tokens_per_second("other")
        (30000.0, 20000.0)
        """
        if service not in self._tokens:
            return INITIAL_TOKENS_PER_SECOND
        return self._tokens[service] / self._seconds[service]

    def max_consecutive_tokens(self, service: str, longest_pause: float | None) -> float:
        """Return the number of tokens that an engine may read in a row without late streams.

        ``longest_pause`` is in seconds; ``None`` means that no pause makes a stream late.
        """
        if longest_pause is None:
            return float("inf")
        return MAX_PAUSE_SHARE * longest_pause * self.tokens_per_second(service)

    def max_consecutive_tokens_for_routes(
        self, configuration: OpaqueConfiguration | None, service: str
    ) -> float:
        """Return the same limit for the shortest pause that the configured routes set."""
        pause = configuration.shortest_pause(service) if configuration is not None else None
        return self.max_consecutive_tokens(service, pause)
