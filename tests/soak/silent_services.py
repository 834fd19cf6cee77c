"""Fault in which workers of a service send nothing for a moment, and the check of their calls."""

import asyncio

from soak.faults import Fault
from soak.fleet import SoakFleet
from soak.picking import pick
from soak.sent_calls import SILENT, Answer, Run, SentCall
from soak.workers import SoakWorker

SERVICES = ("model", "plain", "model", "plain", "second")
"""Services that fall silent; those that most calls use twice as often."""

ALL_SHARE, PART_SHARE = 0.5, 0.8
"""A silence below the first share is of all workers of a service, below the second of a part, and
else of one worker, for good."""

SILENT_PART = 0.6
REJECTING_SHARE = 0.5
"""Share of the silences in which the workers reject new requests."""

END_SLACK_SECONDS = 0.3
"""A call that ends this close to its deadline was not cut."""


async def silence_service(fleet: SoakFleet, fault: Fault) -> None:
    """Silence all workers of a service, a part of them, or one for good."""
    position = fault.choice * len(SERVICES)
    service, rejecting = SERVICES[int(position)], position % 1.0 < REJECTING_SHARE
    workers = [
        worker
        for worker in fleet.workers_of([service])
        if isinstance(worker, SoakWorker) and not worker.silence.silent
    ]
    for_good = fault.strength >= PART_SHARE
    if for_good:
        chosen = pick(workers, (fault.strength - PART_SHARE) / (1.0 - PART_SHARE))
        workers = [chosen] if chosen is not None and len(workers) > 1 else []
    elif fault.strength >= ALL_SHARE:
        workers = workers[: round(SILENT_PART * len(workers))]
    for worker in workers:
        worker.silence.begin(for_good=for_good, rejecting=rejecting)
    await asyncio.sleep(fault.seconds)
    for worker in workers:
        worker.silence.end()


class KeptCalls:
    """Check that no call is cut by a gateway while a worker that may serve it is sound."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet

    def check(self, call: SentCall, answer: Answer) -> None:
        """Check the answer of a call, if it is not whole and came before the deadline."""
        if (answer.complete and 200 <= answer.status < 300) or answer.trouble == SILENT:
            return
        if answer.at > call.due_at - END_SLACK_SECONDS or self._excused(call):
            return
        for run in call.runs:
            if self._is_sound(run):
                spent = answer.at - call.sent_at
                self._fleet.ledger.violate(
                    "kept",
                    f"{call.call_id} of {call.route} ended with {answer.status} after {spent:.2f} "
                    f"of {call.deadline} s, beside its sound worker {run.worker_id}",
                )
                return

    def _excused(self, call: SentCall) -> bool:
        """Return whether the call's node, its workers or its own connection were disturbed."""
        ledger = self._fleet.ledger
        stopped = ledger.terminated.get(call.node, float("-inf"))
        if stopped >= call.sent_at - ledger.bounds.grace:
            return True
        return not ledger.undisturbed(call.node, call.sent_at) or (
            call.client in ledger.silent_clients
        )

    def _is_sound(self, run: Run) -> bool:
        """Return whether a worker would have answered a run that it has not answered."""
        if run.ended or run.hung or run.broken_off:
            return False
        listed = self._fleet.workers_of([run.service])
        return any(worker is run.worker for worker in listed)
