"""Why the stages of a call could not be finished."""


class StageFailedError(Exception):
    """The stages of a call cannot be finished.

    ``started`` says that work was begun; ``retry_after`` is the forecast wait in seconds.
    """

    def __init__(self, detail: str, *, started: bool, retry_after: float) -> None:
        super().__init__(detail)
        self.detail = detail
        self.started = started
        self.retry_after = retry_after


class InputsGoneError(StageFailedError):
    """Results that some pieces read are gone: freed, or lost with their worker."""
