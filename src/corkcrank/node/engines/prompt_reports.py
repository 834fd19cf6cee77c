"""Log lines and counts of the prompt queues' decisions."""

from collections.abc import Callable

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.node.peers.peer_protocol import PromptTerms
from corkcrank.scheduling.prompt_queue import PromptForecast, QueuedPrompt
from corkcrank.scheduling.prompt_reading import PromptReading


class PromptReports:
    """Reports each wait, grant and refusal of this gateway's prompt queues.

    ``count_outcome`` counts an outcome; ``observe_wait`` records a wait in seconds of a rank.
    """

    def __init__(
        self,
        log: DecisionLog,
        count_outcome: Callable[[str], None],
        observe_wait: Callable[[str, float], None],
    ) -> None:
        self._log = log
        self._count_outcome = count_outcome
        self._observe_wait = observe_wait

    def record_wait(self, forecast: PromptForecast | None, reading: PromptReading) -> None:
        """Record that a request is held."""
        if forecast is not None:
            self._log.write(LogEvent.PROMPT_WAITS, **_fields(forecast, reading))

    def record_refusal(
        self, forecast: PromptForecast, reading: PromptReading, cause: str, retry_after: float
    ) -> None:
        """Record that a request is refused on arrival or displaced by more urgent ones."""
        self.record_outcome(f"refused at {cause}" if cause == "arrival" else cause, forecast.prompt)
        self._log.write(
            LogEvent.PROMPT_REFUSED,
            cause=cause,
            retry_after=round(retry_after, 3),
            **_fields(forecast, reading),
        )

    def record_outcome(self, outcome: str, prompt: QueuedPrompt, now: float | None = None) -> None:
        """Count the outcome of a prompt that left the queue, and its wait."""
        now = clock.now() if now is None else now
        self._count_outcome(outcome)
        rank = ".".join(str(place) for place in prompt.rank)
        self._observe_wait(rank, now - prompt.arrived_at)

    def record_bad_count(self, call_id: str, prompt: PromptShape) -> None:
        """Record a prompt with token counts that fit no engine and are ignored."""
        self._count_outcome("bad token count")
        self._log.write(
            LogEvent.PROMPT_COUNT_IGNORED,
            call=call_id,
            tokens=prompt.total_tokens,
            out=prompt.tokens_out,
        )

    def record_bad_terms(self, call_id: str, terms: PromptTerms) -> None:
        """Record a request with invalid terms, which are ignored."""
        self._count_outcome("bad terms")
        self._log.write(
            LogEvent.PROMPT_TERMS_IGNORED,
            call=call_id,
            rank=terms.rank,
            objective=terms.objective,
            patience=terms.patience,
            stream=terms.stream_seconds,
        )


def _fields(forecast: PromptForecast, reading: PromptReading) -> dict[str, object]:
    """Return the inputs of a decision; ``age`` is that of the newest measurement of the pace."""
    prompt, now = forecast.prompt, clock.now()
    measured_at = reading.measured_at
    return {
        "call": prompt.call_id,
        "tenant": prompt.tenant,
        "rank": prompt.rank,
        "place": forecast.place,
        "tokens": prompt.tokens,
        "tokens_ahead": forecast.tokens_ahead,
        "pace": round(reading.tokens_per_second),
        "start": round(forecast.start, 3),
        "forecast": round(forecast.first_event, 3),
        "left": round(prompt.urgency.due - now, 3),
        "age": round(now - measured_at, 3) if measured_at is not None else None,
    }
