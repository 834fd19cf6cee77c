"""A rate limit that a worker announces in its responses."""

from soak.request_window import RequestWindow

COUNTED_SECONDS = 4.0


class NamedLimit:
    """A worker's limit in requests per second and the window of its recent requests."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.window = RequestWindow(COUNTED_SECONDS)

    @property
    def headers(self) -> dict[str, str]:
        """Return the response headers that announce the limit, if it is in force."""
        return {"Server-Limit": f"{self.rate:.2f}"} if self.window.open else {}

    @property
    def max_requests(self) -> float:
        """Return the maximum number of requests allowed within the window."""
        return 1.5 * self.rate * COUNTED_SECONDS + 5
