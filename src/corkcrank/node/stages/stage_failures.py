"""Errors of stages that could not be completed."""


class StageFailedError(Exception):
    """The stages of a call could not be completed.

    ``started`` is set if work had begun; ``retry_after`` is the forecast wait in seconds.
    """

    def __init__(self, detail: str, *, started: bool, retry_after: float) -> None:
        super().__init__(detail)
        self.detail = detail
        self.started = started
        self.retry_after = retry_after


class InputsUnavailableError(StageFailedError):
    """Results that pieces read are unavailable: freed, or lost when their worker exited."""
