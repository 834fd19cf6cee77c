"""Reconciliation of model placements: which fenced orders to send, from what is held.

Orders state the wanted end, so sending one twice is harmless. A worker that checks its
orders refuses a lower fence. For one that does not, the sender re-checks its lease just
before a bounded send, and the next holder waits out lease and longest flight.
"""

from collections.abc import Iterable

from corkcrank.contracts.configuration import Configuration
from corkcrank.contracts.messages import LoadReport, ModelOrder, WorkerEntry


def orders_due(
    configuration: Configuration,
    workers: Iterable[WorkerEntry],
    reports: Iterable[LoadReport],
    fence: int,
) -> tuple[ModelOrder, ...]:
    """Return the orders that bring each reported worker to its wanted models."""
    held = {report.worker: tuple(sorted(report.models)) for report in reports}
    services = {worker.worker: worker.service for worker in workers}
    return tuple(
        ModelOrder(services[placement.worker], placement.worker, fence, placement.models)
        for placement in configuration.placements
        if placement.worker in services
        and placement.worker in held
        and held[placement.worker] != tuple(sorted(placement.models))
    )
