"""How fast a service's engines read prompts, and how much one may read in a row.

An engine reads prompts in parts between the tokens of its streams. Each event holds several
tokens, so that the pause before it grows with what is read in a row; once that takes as long as
the pause that callers bear, every stream of the engine is late.
"""

from corkcrank.contracts.opaque_configuration import OpaqueConfiguration

FIRST_TOKENS_A_SECOND = 20_000.0
"""Pace assumed before one was measured."""

SAMPLE_WEIGHT = 0.05
"""Weight of the newest prompt in the pace."""

LEAST_SAMPLE_TOKENS = 2_000
"""Shorter prompts tell nothing: the way to the engine takes as long as to read them."""

CALM_SHARE = 0.8
"""Part of the longest pause for which an engine may read: steps without a prompt and what is sent
to it by others come on top."""


class PrefillPace:
    """Prompt tokens that engines read a second, by service."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._seconds: dict[str, float] = {}

    def learn(self, service: str, tokens: float, seconds: float) -> None:
        """Take that an engine read so many tokens, with what was before them, in a time."""
        if tokens < LEAST_SAMPLE_TOKENS or seconds <= 0:
            return
        known_tokens = self._tokens.get(service, tokens)
        known_seconds = self._seconds.get(service, seconds)
        self._tokens[service] = known_tokens + SAMPLE_WEIGHT * (tokens - known_tokens)
        self._seconds[service] = known_seconds + SAMPLE_WEIGHT * (seconds - known_seconds)

    def tokens_a_second(self, service: str) -> float:
        """Return the pace of a service's engines.

        >>> pace = PrefillPace()
        >>> pace.learn("llm", 6_000, 0.2); pace.learn("llm", 100, 5.0)
        >>> pace.tokens_a_second("llm"), pace.tokens_a_second("other")
        (30000.0, 20000.0)
        """
        if service not in self._tokens:
            return FIRST_TOKENS_A_SECOND
        return self._tokens[service] / self._seconds[service]

    def calm_tokens(self, service: str, longest_pause: float | None) -> float:
        """Return how much an engine may read in a row before its streams are late.

        ``longest_pause`` is in seconds; without one nothing is late for a pause.
        """
        if longest_pause is None:
            return float("inf")
        return CALM_SHARE * longest_pause * self.tokens_a_second(service)

    def calm_tokens_under(self, configuration: OpaqueConfiguration | None, service: str) -> float:
        """Return the same for the pauses that the routes of a configuration state."""
        pause = configuration.shortest_pause(service) if configuration is not None else None
        return self.calm_tokens(service, pause)
