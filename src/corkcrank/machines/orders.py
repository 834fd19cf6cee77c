"""Reconciliation of model placements: computes the fenced orders from the loaded models.

Orders state the wanted models, so sending one twice is harmless. A worker that checks fences
rejects an order whose fence number is lower than that of an order accepted before. For a worker
that does not, the sender checks its lease again just before a send of bounded duration, and the
next holder waits for the end of the lease and the maximum transit time of an order.
"""

from collections.abc import Iterable

from corkcrank.contracts.configuration import Configuration
from corkcrank.contracts.messages import LoadReport, ModelOrder, WorkerEntry


def required_orders(
    configuration: Configuration,
    workers: Iterable[WorkerEntry],
    reports: Iterable[LoadReport],
    fence: int,
) -> tuple[ModelOrder, ...]:
    """Return the orders for the reported workers whose models differ from the wanted ones."""
    loaded = {report.worker: tuple(sorted(report.models)) for report in reports}
    services = {worker.worker: worker.service for worker in workers}
    return tuple(
        ModelOrder(services[placement.worker], placement.worker, fence, placement.models)
        for placement in configuration.placements
        if placement.worker in services
        and placement.worker in loaded
        and loaded[placement.worker] != tuple(sorted(placement.models))
    )
