"""How much of a route's work each zone can carry, and each engine's part of it.

Results that cross zones cost, so an engine gets calls as its own zone's stage workers can
feed it, not as the engine alone could bear.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from corkcrank.contracts.worker_records import WorkerRecord

LEAST_ZONE_SHARE = 0.02
"""Share of a zone that lacks a stage; its engines are still a last resort."""


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
        engine.worker_id: max(LEAST_ZONE_SHARE, shares.get(engine.zone, 0.0))
        / engines_in[engine.zone]
        for engine in engines
    }


def _zone_shares(stages: Sequence[Sequence[WorkerRecord]]) -> Mapping[str, float]:
    """Return each zone's share of the stage that it is weakest in."""
    shares: dict[str, float] = {}
    for number, workers in enumerate(stages):
        counts = Counter(worker.zone for worker in workers)
        of_stage = {zone: count / len(workers) for zone, count in counts.items()}
        if number == 0:
            shares = of_stage
        else:
            shares = {zone: min(share, of_stage.get(zone, 0.0)) for zone, share in shares.items()}
    return shares
