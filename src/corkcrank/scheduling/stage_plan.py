"""Progress of one call through its stage graph: which stages may start, which results to free.

A stage consists of pieces, its smallest units of work. Every piece of a stage reads every result
of the stages listed in ``after``. The call itself reads the results that no other stage reads.
"""

from collections.abc import Sequence

from corkcrank.contracts.opaque_configuration import StageDefinition

MAX_LEAD_STAGES = 1
"""A branch starts when the longest remaining branch is at most this many stages longer.

Results occupy scarce memory at their worker. If a short branch started together with a long one,
its results would occupy memory while the long one runs.
"""


class StagePlan:
    """The stages of one call and their results; other modules handle times and workers."""

    def __init__(self, stages: Sequence[StageDefinition], counts: Sequence[int]) -> None:
        self._stages = tuple(stages)
        self.counts = tuple(
            counts[number] if number < len(counts) else 1 for number in range(len(stages))
        )
        self._readers = _readers_of(self._stages)
        self._depths = _depths_of(self._stages, self._readers)
        self._started: set[int] = set()
        self._handles: dict[int, tuple[str, ...]] = {}
        self._freed: set[int] = set()
        for number, count in enumerate(self.counts):
            if count == 0:
                self._started.add(number)
                self._handles[number] = ()

    def definition(self, stage: int) -> StageDefinition:
        """Return the definition of a stage."""
        return self._stages[stage]

    @property
    def complete(self) -> bool:
        """Return whether every stage has its results."""
        return len(self._handles) == len(self._stages)

    @property
    def has_pieces(self) -> bool:
        """Return whether any stage has pieces to run."""
        return any(self.counts)

    def unfinished_stages(self) -> list[int]:
        """Return the indexes of the stages without results, in order."""
        return [number for number in range(len(self._stages)) if number not in self._handles]

    def ready_stages(self) -> list[int]:
        """Return the indexes of the stages to start now.

        >>> chain = (StageDefinition("a"), StageDefinition("b"), StageDefinition("c", (1,)),
        ...     StageDefinition("d", (2,)))
        >>> plan = StagePlan(chain, (1, 1, 1, 1))
        >>> plan.ready_stages()
        [1]
        >>> plan.record_start(1); plan.record_results(1, ("h1",)); plan.ready_stages()
        [0, 2]
        """
        waiting = self.unstarted_stages()
        if not waiting:
            return []
        longest = max(self._depths[number] for number in self.unfinished_stages())
        return [
            number
            for number in waiting
            if self._inputs_done(number) and self._depths[number] + MAX_LEAD_STAGES >= longest
        ]

    def stage_with_longest_chain(self, stages: Sequence[int]) -> int:
        """Return the stage with the longest chain of dependent stages, out of ``stages``."""
        return max(stages, key=lambda number: self._depths[number])

    def unstarted_stages(self) -> list[int]:
        """Return the indexes of the unfinished stages that were not started, in order."""
        return [number for number in self.unfinished_stages() if number not in self._started]

    def record_start(self, stage: int) -> None:
        """Record that the pieces of a stage were requested."""
        self._started.add(stage)

    def record_results(self, stage: int, handles: Sequence[str]) -> None:
        """Record the result handles of a stage, in the order of its pieces."""
        self._handles[stage] = tuple(handles)

    def reset_results(self) -> None:
        """Remove every result, so that all stages with pieces are run again."""
        for number, count in enumerate(self.counts):
            if count:
                self._handles.pop(number, None)
                self._started.discard(number)
                self._freed.discard(number)

    def input_handles(self, stage: int) -> tuple[str, ...]:
        """Return the handles of the results that every piece of a stage reads."""
        return tuple(
            handle for source in self._stages[stage].after for handle in self._handles[source]
        )

    def result_handles(self, stage: int) -> tuple[str, ...]:
        """Return the result handles of a stage; empty before it has ended."""
        return self._handles.get(stage, ())

    def reader_stages(self, stage: int) -> list[int]:
        """Return the stages that read a stage's results; empty if the call itself reads them."""
        return self._readers[stage]

    def final_handles(self) -> tuple[str, ...]:
        """Return the handles of the results that the call itself reads."""
        return tuple(
            handle
            for number in range(len(self._stages))
            if not self._readers[number]
            for handle in self._handles.get(number, ())
        )

    def final_result_bytes(self) -> int:
        """Return the bytes of the results that the call itself reads."""
        return sum(
            self.counts[number] * stage.result_bytes
            for number, stage in enumerate(self._stages)
            if not self._readers[number]
        )

    def release_consumed_results(self) -> list[str]:
        """Return the handles of results whose last reader has ended, each handle once."""
        released: list[str] = []
        for number, handles in self._handles.items():
            readers = self._readers[number]
            if number in self._freed or not readers:
                continue
            if all(reader in self._handles for reader in readers):
                self._freed.add(number)
                released.extend(handles)
        return released

    def release_all_results(self) -> list[str]:
        """Return the handles of all results not released yet, for use when the call has ended."""
        released = [
            handle
            for number, handles in self._handles.items()
            if number not in self._freed
            for handle in handles
        ]
        self._freed.update(self._handles)
        return released

    def _inputs_done(self, stage: int) -> bool:
        return all(source in self._handles for source in self._stages[stage].after)


def _readers_of(stages: Sequence[StageDefinition]) -> list[list[int]]:
    readers: list[list[int]] = [[] for _ in stages]
    for number, stage in enumerate(stages):
        for source in stage.after:
            readers[source].append(number)
    return readers


def _depths_of(stages: Sequence[StageDefinition], readers: Sequence[Sequence[int]]) -> list[int]:
    depths = [1] * len(stages)
    for _ in stages:
        for number in range(len(stages)):
            depths[number] = 1 + max((depths[reader] for reader in readers[number]), default=0)
    return depths
