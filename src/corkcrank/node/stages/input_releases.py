"""Frees the results that waiting pieces read, once a worker has read them.

A worker pulls the inputs of its pieces when their turn comes, before it begins to work. Until the
pieces are made, some three tenths of a second later, nobody needs the inputs any more: their
workers' room is what bounds a stage with large results in a burst.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from corkcrank.node.peers.peer_protocol import FreeResults, StageWork
from corkcrank.scheduling.batch_filling import StageItem
from corkcrank.scheduling.fetch_delay import FetchDelay


@dataclass(slots=True, eq=False)
class _Inputs:
    """What the pieces of one call's stage read, and how many of them no worker has begun."""

    service: str
    results: tuple[FreeResults, ...]
    waiting: int
    timer: asyncio.TimerHandle | None = None
    freed: bool = False

    def keep(self) -> None:
        """Free nothing for the moment."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class InputReleases:
    """The inputs of pieces that wait here or are at work; ``free`` gives results up."""

    def __init__(self) -> None:
        self.free: Callable[[FreeResults], None] = lambda results: None
        self._inputs: dict[int, _Inputs] = {}
        self._delays: dict[str, FetchDelay] = {}

    def add(self, work: StageWork, stage_items: Sequence[StageItem]) -> None:
        """Take the pieces of a call's stage, which may be the last to read some results."""
        if not work.last_reads:
            return
        inputs = _Inputs(work.service, work.last_reads, len(stage_items))
        for stage_item in stage_items:
            self._inputs[id(stage_item)] = inputs

    def begun(self, stage_items: Sequence[StageItem]) -> None:
        """Take that pieces were sent to a worker that begins them at once."""
        for inputs in self._of(stage_items):
            inputs.waiting -= 1
            if inputs.waiting == 0 and not inputs.freed:
                delay = self._delays.setdefault(inputs.service, FetchDelay())
                loop = asyncio.get_running_loop()
                inputs.timer = loop.call_later(delay.seconds, self._free, inputs)

    def put_back(self, stage_items: Sequence[StageItem]) -> None:
        """Take that a worker turned pieces away: they will read their inputs again."""
        for inputs in self._of(stage_items):
            inputs.waiting += 1
            inputs.keep()

    def ended(self, stage_items: Sequence[StageItem], *, inputs_missed: bool) -> bool:
        """Forget pieces that were made, refused or given up; return whether inputs were freed.

        ``inputs_missed`` says that a worker found some gone: it reads them later than was thought.
        """
        found = self._of(stage_items)
        for stage_item in stage_items:
            self._inputs.pop(id(stage_item), None)
        for inputs in found:
            inputs.keep()
        freed = any(inputs.freed for inputs in found)
        for service in {inputs.service for inputs in found}:
            delay = self._delays.setdefault(service, FetchDelay())
            if not inputs_missed:
                delay.record_hit()
            elif freed:
                delay.record_miss()
        return freed

    def _free(self, inputs: _Inputs) -> None:
        inputs.freed = True
        inputs.timer = None
        for results in inputs.results:
            self.free(results)

    def _of(self, stage_items: Sequence[StageItem]) -> list[_Inputs]:
        found = (self._inputs.get(id(stage_item)) for stage_item in stage_items)
        return [inputs for inputs in found if inputs is not None]
