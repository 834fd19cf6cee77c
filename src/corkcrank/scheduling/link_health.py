"""Detects failures of this gateway's network links to workers from connection attempts.

A connection failure may be caused by the worker or by a link of this gateway. The gateway therefore
connects to a sample of workers of several services. If none is reachable, the gateway is
partitioned from the workers. A single link counts as failed if a peer reaches the worker.

The module does no I/O; callers pass the time, in seconds of one clock.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from corkcrank.contracts.worker_records import WorkerRecord

CHECKS_TO_RECOVER = 2
"""Consecutive successful checks that end a partition. One success may fall between two outages of a
flapping link."""

RECOVERED_SHARE = 0.5
"""Minimum share of the sampled workers that a successful check reaches."""


@dataclass(frozen=True, slots=True)
class LinkCheck:
    """The reached and unreached workers of one sample of new connections."""

    reached: tuple[str, ...] = ()
    unreached: tuple[str, ...] = ()

    @property
    def recovered(self) -> bool:
        """Return whether enough workers were reached to end a partition.

        >>> LinkCheck(("a", "b"), ("c",)).recovered, LinkCheck(("a",), ("b", "c")).recovered
        (True, False)
        """
        workers = len(self.reached) + len(self.unreached)
        return workers > 0 and len(self.reached) >= RECOVERED_SHARE * workers


class LinkHealth:
    """The state of this gateway's links to workers.

    ``partitioned_since`` is the time of the check that began the partition, ``None`` if the
    gateway is not partitioned.
    """

    def __init__(self) -> None:
        self.partitioned_since: float | None = None
        self._failed: dict[str, float] = {}
        self._successful_checks = 0

    @property
    def partitioned(self) -> bool:
        """Return whether this gateway reaches no worker."""
        return self.partitioned_since is not None

    @property
    def failed_links(self) -> tuple[str, ...]:
        """Return the ids of the workers with failed links, in order of their failure."""
        return tuple(self._failed)

    def is_failed(self, worker_id: str) -> bool:
        """Return whether requests to a worker should go through a peer."""
        return self.partitioned or worker_id in self._failed

    def record_failed_link(self, worker_id: str, now: float) -> bool:
        """Record that only peers reach a worker; return whether the link was not failed before.

        >>> health = LinkHealth()
        >>> health.record_failed_link("w", 1.0), health.record_failed_link("w", 2.0)
        (True, False)
        """
        if worker_id in self._failed:
            return False
        self._failed[worker_id] = now
        return True

    def record_link(self, worker_id: str) -> bool:
        """Remove a failed link, or do nothing; return whether the link was failed.

        The link works again, or peers fail too and the fault is the worker's.
        """
        return self._failed.pop(worker_id, None) is not None

    def apply_check(self, check: LinkCheck, now: float) -> bool:
        """Apply the result of a check; return whether a partition began or ended.

        >>> health = LinkHealth()
        >>> health.apply_check(LinkCheck((), ("a", "b")), 1.0), health.partitioned
        (True, True)
        >>> health.apply_check(LinkCheck(("a", "b")), 2.0), health.partitioned
        (False, True)
        >>> health.apply_check(LinkCheck(("a", "b")), 3.0), health.partitioned
        (True, False)
        """
        if self.partitioned:
            return self._apply_while_partitioned(check)
        if check.reached or not check.unreached:
            return False
        self.partitioned_since = now
        self._successful_checks = 0
        return True

    def _apply_while_partitioned(self, check: LinkCheck) -> bool:
        self._successful_checks = self._successful_checks + 1 if check.recovered else 0
        if self._successful_checks < CHECKS_TO_RECOVER:
            return False
        self.partitioned_since = None
        self._failed.clear()
        return True

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the links of workers that are no longer listed."""
        for worker_id in self._failed.keys() - set(worker_ids):
            del self._failed[worker_id]


def sample_workers(
    workers: Iterable[WorkerRecord], count: int, random_source: random.Random
) -> list[WorkerRecord]:
    """Return up to ``count`` random workers, spread over as many services as possible."""
    shuffled = list(workers)
    random_source.shuffle(shuffled)
    taken: dict[str, int] = {}
    ranked = []
    for worker in shuffled:
        place = taken[worker.service] = taken.get(worker.service, 0) + 1
        ranked.append((place, worker))
    ranked.sort(key=lambda item: item[0])
    return [worker for _, worker in ranked[:count]]
