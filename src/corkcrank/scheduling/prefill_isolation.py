"""Separates the engines for long prompts from those for short ones.

While an engine reads a long prompt, all of its streams are delayed, and a pause makes a stream
late. About half of the engines in each zone therefore read the long prompts, as long as there are
any. A route counts as long or short by the measured size of its prompts.
"""

from collections.abc import Sequence

from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.contracts.worker_records import WorkerRecord

SAMPLE_WEIGHT = 0.05
"""Weight of the newest prompt in the moving averages of prompt sizes."""

LONG_PROMPT_FACTOR = 1.8
"""A route is long if its mean prompt size exceeds this multiple of the mean over all calls."""

OTHER_GROUP_PENALTY_TOKENS = 12_000.0
"""Penalty of an engine in the group for the other prompt length, in prompt tokens."""

IDLE_GROUP_PENALTY_TOKENS = 1_000.0
"""The same penalty while there are no long prompts: an engine reads these tokens in some 50 ms,
which callers do not notice. Streams begin at the engines for long prompts only while the others are
busy, so that few streams are delayed by the next long prompt."""

SEPARATION_SECONDS = 10.0
"""Time for which engines stay separated after the last long prompt. Streams last for some seconds,
and a gateway of a large fleet gets a long prompt only every few seconds."""

MAX_CACHED_LISTS = 64
"""Size of the cache of partitioned engine lists; a list belongs to a service and a zone."""


class PromptSizes:
    """Moving averages of prompt sizes by route and over all calls, in tokens."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._overall = 0.0

    def observe_prompt_size(self, route: str, tokens: int) -> None:
        """Update the averages with the size of one prompt."""
        known = self._means.get(route, float(tokens))
        self._means[route] = known + SAMPLE_WEIGHT * (tokens - known)
        if not self._overall:
            self._overall = float(tokens)
        self._overall += SAMPLE_WEIGHT * (tokens - self._overall)

    def has_long_prompts(self, route: str) -> bool:
        """Return whether a route's prompts are long compared with all calls.

        >>> sizes = PromptSizes()
        >>> for _ in range(50):
        ...     sizes.observe_prompt_size("long", 9000); sizes.observe_prompt_size("short", 700)
        >>> sizes.has_long_prompts("long"), sizes.has_long_prompts("short")
        (True, False)
        """
        if len(self._means) < 2:
            return False
        return self._means.get(route, 0.0) > LONG_PROMPT_FACTOR * self._overall


def long_prompt_engines(engines: Sequence[WorkerRecord]) -> frozenset[str]:
    """Return the ids of the engines that read long prompts; empty if that would be all engines.

    The larger half of each zone is chosen. Stage results are stored in every zone, so every zone
    needs such an engine.
    """
    by_zone: dict[str, list[WorkerRecord]] = {}
    for engine in engines:
        by_zone.setdefault(engine.zone, []).append(engine)
    chosen: set[str] = set()
    for zone, members in by_zone.items():
        ordered = sorted(members, key=lambda item: rendezvous_hash(zone, item.worker_id))
        chosen.update(item.worker_id for item in ordered[: (len(ordered) + 1) // 2])
    if len(chosen) == len(engines):
        return frozenset()
    return frozenset(chosen)


class PrefillIsolation:
    """Assigns engines of each service to long or short prompts while there are long ones.

    Caches the assignment by list of engines.
    """

    def __init__(self) -> None:
        self._known: dict[int, tuple[tuple[WorkerRecord, ...], frozenset[str]]] = {}
        self._separate_until: dict[str, float] = {}

    def penalties(
        self, engines: tuple[WorkerRecord, ...], *, long: bool, now: float
    ) -> dict[str, float]:
        """Return the penalty in tokens, by id, of engines for the other prompt length.

        Without recent long prompts the penalty is small, so that the capacity of all engines is
        used. A ``long`` prompt starts the separation.
        """
        if not engines:
            return {}
        service = engines[0].service
        if long:
            self._separate_until[service] = now + SEPARATION_SECONDS
        separate = now < self._separate_until.get(service, 0.0)
        penalty = OTHER_GROUP_PENALTY_TOKENS if separate else IDLE_GROUP_PENALTY_TOKENS
        readers = self._long_prompt_engines(engines)
        if not readers:
            return {}
        return {
            engine.worker_id: penalty for engine in engines if (engine.worker_id in readers) != long
        }

    def _long_prompt_engines(self, engines: tuple[WorkerRecord, ...]) -> frozenset[str]:
        # The cache holds the tuple itself, so that its id() is not reused while the entry exists.
        known = self._known.get(id(engines))
        if known is not None and known[0] is engines:
            return known[1]
        if len(self._known) >= MAX_CACHED_LISTS:
            self._known.clear()
        readers = long_prompt_engines(engines)
        self._known[id(engines)] = engines, readers
        return readers
