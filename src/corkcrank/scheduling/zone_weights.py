"""Weights of engines by the stage capacity of their zones.

Transfers of results between zones are expensive. An engine's share of calls therefore follows the
capacity of the stage workers in its zone, not only that of the engine.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from corkcrank.contracts.worker_records import WorkerRecord

MIN_ZONE_SHARE = 0.02
"""Share of a zone without workers for some stage; its engines are a last resort."""


def engine_weights(
    engines: Sequence[WorkerRecord], stage_workers: Iterable[Sequence[WorkerRecord]]
) -> dict[str, float]:
    """Return the weight of each engine by id, given each stage service's usable workers.

    >>> engines = [WorkerRecord("e1", "m", "", "a"), WorkerRecord("e2", "m", "", "a"),
    ...     WorkerRecord("e3", "m", "", "b")]
    >>> stages = [[WorkerRecord("s1", "s", "", "a"), WorkerRecord("s2", "s", "", "b")]]
    >>> engine_weights(engines, stages)
    {'e1': 0.25, 'e2': 0.25, 'e3': 0.5}
    """
    shares = _zone_shares([workers for workers in stage_workers if workers])
    engines_in = Counter(engine.zone for engine in engines)
    if not shares:
        return {engine.worker_id: 1.0 for engine in engines}
    return {
        engine.worker_id: max(MIN_ZONE_SHARE, shares.get(engine.zone, 0.0))
        / engines_in[engine.zone]
        for engine in engines
    }


def _zone_shares(stages: Sequence[Sequence[WorkerRecord]]) -> Mapping[str, float]:
    """Return each zone's smallest share of any stage."""
    shares: dict[str, float] = {}
    for number, workers in enumerate(stages):
        counts = Counter(worker.zone for worker in workers)
        stage_shares = {zone: count / len(workers) for zone, count in counts.items()}
        if number == 0:
            shares = stage_shares
        else:
            shares = {
                zone: min(share, stage_shares.get(zone, 0.0)) for zone, share in shares.items()
            }
    return shares
