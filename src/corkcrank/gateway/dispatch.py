"""Chooses back ends by the gateway's load view and counts calls in flight."""

from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager

from corkcrank.contracts.identifiers import Address, WorkerId
from corkcrank.gateway.retry import RETRY_SHARE, RetryBudget
from corkcrank.links.back_ends import BackEndClient
from corkcrank.machines.load_view import LoadView
from corkcrank.machines.routing import RoutingPolicy

UNKNOWN_ADDRESS = Address("0.0.0.0:0")
"""Address of a back end that was removed between choice and send; connecting always fails."""


class Dispatcher:
    """Chooses back ends for calls and holds the retry budget of each service."""

    def __init__(
        self,
        view: LoadView,
        back_ends: BackEndClient,
        policy: RoutingPolicy,
        clock: Callable[[], float],
        drained: Callable[[], frozenset[WorkerId]],
        retry_share: float = RETRY_SHARE,
    ) -> None:
        self._retry_share = retry_share
        self.view = view
        self.back_ends = back_ends
        self._policy = policy
        self._clock = clock
        self._drained = drained
        self._budgets: dict[str, RetryBudget] = {}

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._budgets.setdefault(service, RetryBudget(self._retry_share))

    def choose_worker(
        self, service: str, tried: Collection[WorkerId], affinity: str, model: str = ""
    ) -> WorkerId | None:
        """Return a back end outside ``tried``, or one of ``tried`` if there is no other."""
        now = self._clock()
        excluded = self._drained().union(tried)
        candidates = self.view.candidates(service, now, model, excluded)
        if not candidates:
            candidates = self.view.candidates(service, now, model, self._drained())
        if not candidates:
            return None
        return self._policy.choose(candidates, affinity).worker

    def min_pressure(self, service: str, model: str) -> float | None:
        """Return the lowest load per slot among a service's back ends, ``None`` without any."""
        candidates = self.view.candidates(service, self._clock(), model, self._drained())
        return min((candidate.pressure for candidate in candidates), default=None)

    @contextmanager
    def count_in_flight(self, worker: WorkerId) -> Iterator[Address]:
        """Count a call to ``worker`` while it is in flight, and yield the worker's address."""
        started = self._clock()
        self.view.record_call_start(worker, started)
        try:
            yield self.view.address(worker) or UNKNOWN_ADDRESS
        finally:
            self.view.record_call_end(worker, started)
