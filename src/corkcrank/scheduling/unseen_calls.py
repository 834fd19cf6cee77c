"""Cost of a worker that may also get calls from gateways of a silent zone.

While the links between two zones are down, the gateways of both sides take over the other side's
workers. Each worker then gets calls from two owners that don't know about each other: calls carry
half as many pieces, and forecasts are wrong. Preferring other workers avoids both.

If the zone's gateways have exited instead, no other owner uses the workers. The wait is therefore a
cost of the choice and not part of a forecast, so that no call is refused because of it.
"""

from corkcrank.contracts.opaque_configuration import StageCapacity


def unseen_wait_seconds(capacity: StageCapacity) -> float:
    """Return the duration of as many full calls as a worker runs and queues, in seconds.

    Another owner has at most these calls at the worker, which rejects calls beyond its queue.

    >>> round(unseen_wait_seconds(StageCapacity(1, 2, 10, 0.1, 0.01, 0.0, 0.0)), 3)
    0.6
    """
    return (capacity.slots + capacity.queue) * capacity.full_call_seconds
