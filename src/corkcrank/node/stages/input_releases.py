"""Frees the input results of pieces as soon as a worker has read them.

A worker fetches the inputs of its pieces when it is ready to run them, before the work begins. A
batch then runs for about 0.3 s without its inputs. Result memory limits a stage with large results
in a burst, so the inputs are freed early.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from corkcrank.node.peers.peer_protocol import FreeResults, StageWork
from corkcrank.scheduling.batch_filling import StageItem
from corkcrank.scheduling.fetch_delay import FetchDelay


@dataclass(slots=True, eq=False)
class _Inputs:
    """The input results of one call's stage, and the number of its pieces that have not begun."""

    service: str
    results: tuple[FreeResults, ...]
    waiting: int
    timer: asyncio.TimerHandle | None = None
    freed: bool = False

    def cancel_release(self) -> None:
        """Cancel the scheduled release of these inputs."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class InputReleases:
    """The inputs of queued and running pieces; ``free_results`` is called to free them."""

    def __init__(self) -> None:
        self.free_results: Callable[[FreeResults], None] = lambda results: None
        self._inputs: dict[int, _Inputs] = {}
        self._delays: dict[str, FetchDelay] = {}

    def track(self, work: StageWork, stage_items: Sequence[StageItem]) -> None:
        """Track the pieces of a call's stage if they are the last readers of some results."""
        if not work.last_reads:
            return
        inputs = _Inputs(work.service, work.last_reads, len(stage_items))
        for stage_item in stage_items:
            self._inputs[id(stage_item)] = inputs

    def record_begun(self, stage_items: Sequence[StageItem]) -> None:
        """Record that pieces were sent to a worker that begins them immediately."""
        for inputs in self._tracked_inputs(stage_items):
            inputs.waiting -= 1
            if inputs.waiting == 0 and not inputs.freed:
                delay = self._delays.setdefault(inputs.service, FetchDelay())
                loop = asyncio.get_running_loop()
                inputs.timer = loop.call_later(delay.seconds, self._release_inputs, inputs)

    def record_requeued(self, stage_items: Sequence[StageItem]) -> None:
        """Record that a worker rejected pieces, which will read their inputs again."""
        for inputs in self._tracked_inputs(stage_items):
            inputs.waiting += 1
            inputs.cancel_release()

    def discard(self, stage_items: Sequence[StageItem], *, inputs_missed: bool) -> bool:
        """Remove pieces that were completed, refused or cancelled.

        Returns whether their inputs were freed.

        ``inputs_missed`` is set if a worker did not find some inputs, because it read them later
        than the estimated delay.
        """
        found = self._tracked_inputs(stage_items)
        for stage_item in stage_items:
            self._inputs.pop(id(stage_item), None)
        for inputs in found:
            inputs.cancel_release()
        freed = any(inputs.freed for inputs in found)
        for service in {inputs.service for inputs in found}:
            delay = self._delays.setdefault(service, FetchDelay())
            if not inputs_missed:
                delay.record_hit()
            elif freed:
                delay.record_miss()
        return freed

    def _release_inputs(self, inputs: _Inputs) -> None:
        inputs.freed = True
        inputs.timer = None
        for results in inputs.results:
            self.free_results(results)

    def _tracked_inputs(self, stage_items: Sequence[StageItem]) -> list[_Inputs]:
        found = (self._inputs.get(id(stage_item)) for stage_item in stage_items)
        return [inputs for inputs in found if inputs is not None]
