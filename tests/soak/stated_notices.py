"""What a simulated worker announces in its responses: its leave, and backoffs that it requests.

Checks that a gateway that was told sends no late call to a worker that leaves, and at most two
requests to a worker in the backoff that it requested of that gateway.
"""

import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from soak.ledger import Ledger
from soak.links import FaultLink
from soak.sent_calls import SentCall

LEAVING_HEADER = "Server-Leaving"
BACKOFF_HEADER = "Retry-After"

MAX_BACKOFF_REQUESTS = 2
"""Requests of one gateway that may reach a worker in its backoff."""

BACKOFF_NOTICE_SECONDS = 0.5
"""Time after a rejection in which requests that were under way may arrive."""


@dataclass(frozen=True, slots=True)
class _ToldLeave:
    """The call by whose response a gateway was told of the leave, and when."""

    call_id: str
    told_at: float


@dataclass(slots=True)
class _Backoff:
    """A backoff requested of one gateway, and the requests that arrived in it."""

    requested_at: float
    ends_at: float
    requests: int = 0


class StatedNotices:
    """One worker's notices and what each gateway was told."""

    def __init__(self) -> None:
        self.leaving = False
        self.backoff_seconds = 0.0
        self._rejects_until = 0.0
        self._told_leaving: dict[str, _ToldLeave] = {}
        self._backoffs: dict[str, list[_Backoff]] = defaultdict(list)

    def reject_for(self, seconds: float, backoff_seconds: float) -> None:
        """Reject all calls for a while and request a backoff with each rejection."""
        self._rejects_until = max(self._rejects_until, time.monotonic() + seconds)
        self.backoff_seconds = backoff_seconds

    @property
    def rejecting(self) -> bool:
        """Return whether calls are rejected now."""
        return time.monotonic() < self._rejects_until

    @property
    def headers(self) -> dict[str, str]:
        """Return the response headers that announce the leave, if the worker leaves."""
        return {LEAVING_HEADER: "1"} if self.leaving else {}

    @property
    def rejection_headers(self) -> dict[str, str]:
        """Return the response headers of a rejection, which request a backoff."""
        return {BACKOFF_HEADER: f"{self.backoff_seconds:.2f}"}

    def record_response(self, call: SentCall, headers: Mapping[str, str]) -> None:
        """Record the notices in the headers that the gateway of a call is sent."""
        now = time.monotonic()
        if LEAVING_HEADER in headers:
            self._told_leaving.setdefault(call.node, _ToldLeave(call.call_id, now))
        if BACKOFF_HEADER in headers:
            backoff = _Backoff(now, now + float(headers[BACKOFF_HEADER]))
            self._backoffs[call.node].append(backoff)

    def check(self, ledger: Ledger, call: SentCall, worker_id: str, link: FaultLink | None) -> None:
        """Check a call that arrives; the gateway that serves it sent it."""
        if link is not None and link.harmed_since(time.monotonic() - ledger.bounds.contact):
            return
        self._check_leave(ledger, call, worker_id)
        self._check_backoffs(ledger, call, worker_id)

    def _check_leave(self, ledger: Ledger, call: SentCall, worker_id: str) -> None:
        told = self._told_leaving.get(call.node)
        if told is None or ledger.disturbances.disturbed_since(call.node, told.told_at):
            return
        late = call.sent_at - told.told_at - ledger.bounds.told_leaving - ledger.loop_lag
        if late > 0:
            detail = f"{worker_id} gets {call.call_id} of {call.node} {late:.2f} s late"
            ledger.violate("announced leave", f"{detail}, told by the response to {told.call_id}")

    def _check_backoffs(self, ledger: Ledger, call: SentCall, worker_id: str) -> None:
        now = time.monotonic()
        for backoff in self._backoffs[call.node]:
            begins = backoff.requested_at + BACKOFF_NOTICE_SECONDS + ledger.loop_lag
            if not begins <= now < backoff.ends_at:
                continue
            if ledger.disturbances.disturbed_since(call.node, backoff.requested_at):
                continue
            backoff.requests += 1
            if backoff.requests > MAX_BACKOFF_REQUESTS:
                ledger.violate(
                    "backoff", f"{worker_id} gets {backoff.requests} requests of {call.node}"
                )
