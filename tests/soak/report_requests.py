"""Counts the requests for a worker's report, and checks how often the nodes send them."""

import math

from soak.ledger import Ledger
from soak.links import FaultLink
from soak.request_window import RequestWindow

WINDOW_SECONDS = 1.0


class ReportRequests:
    """The requests for the report of one worker, by all nodes together."""

    def __init__(self, ledger: Ledger, worker_id: str) -> None:
        self._ledger = ledger
        self._worker_id = worker_id
        self._window = RequestWindow(WINDOW_SECONDS)
        self._window.begin(math.inf)
        self._violated = False

    @property
    def max_requests(self) -> float:
        """Return the maximum number of requests allowed within the window."""
        ledger = self._ledger
        seconds = WINDOW_SECONDS + ledger.loop_lag
        return ledger.nodes * (1 + seconds / ledger.bounds.report_interval)

    def record(self, link: FaultLink | None) -> None:
        """Record a request, and the first violation of the limit.

        A faulty link may have collected requests, or have had nodes repeat them.
        """
        if self._ledger.link_was_faulty(link):
            return
        arrived = self._window.count(0.0)
        if arrived > self.max_requests and not self._violated:
            self._violated = True
            self._ledger.violate(
                "reports",
                f"{self._worker_id} gets {arrived} requests for its report in {WINDOW_SECONDS} s, "
                f"not {self.max_requests:.0f}",
            )
