"""Confirms with the members that a worker's process has exited."""

from collections.abc import Awaitable, Callable

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.workers.worker_request import RequestRelay

PROBE_TIMEOUT_SECONDS = 1.5
"""Longest wait for the result of a connection attempt: TCP retransmits a lost packet after 1 s. A
machine whose process has exited refuses the connection; silence does not show an exit."""

MAX_SEARCHES = 5
"""Searches for a member that reaches a worker; the members that answered the last one decide."""

MAX_DENIED_SECONDS = 2.2
"""Time after which no search follows a denial: all gateways must act on a crash within 3 s."""


async def is_exit_confirmed(
    worker: WorkerRecord,
    relay: RequestRelay,
    has_exited: Callable[[str, float], Awaitable[bool]],
) -> bool:
    """Return whether nobody can connect to a worker; ask again if members answer late."""
    decide_at = clock.now() + MAX_DENIED_SECONDS
    for searches_left in reversed(range(MAX_SEARCHES)):
        if not await has_exited(worker.address, PROBE_TIMEOUT_SECONDS):
            return False
        search = await relay.find_member(worker)
        is_last = not searches_left or clock.now() >= decide_at
        if search.member is not None or search.complete or (search.denied and is_last):
            return search.member is None
    return False
