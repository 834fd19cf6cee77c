"""The outcome of one attempt to run pieces of a stage at one worker."""

from collections.abc import Sequence
from dataclasses import dataclass

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import PieceOutcome
from corkcrank.node.peers.peer_protocol import FollowingPieces, StageAnswer


@dataclass(frozen=True, slots=True)
class Announcement:
    """Facts about a call for the owner of its pieces: see :class:`StageWork`."""

    following: tuple[FollowingPieces, ...]
    begins: bool
    final: bool = False


@dataclass(slots=True)
class StageRound:
    """The pieces, their worker, and the answer of its owner."""

    worker: WorkerRecord
    pieces: tuple[int, ...]
    answer: StageAnswer

    @property
    def outcomes(self) -> set[PieceOutcome]:
        """Return the set of outcomes of the pieces."""
        return {result.outcome for result in self.answer.results}

    @property
    def inputs_unavailable(self) -> bool:
        """Return whether a retry of uncompleted pieces would find no inputs."""
        missing = self.outcomes != {PieceOutcome.DONE}
        return PieceOutcome.INPUT_GONE in self.outcomes or (self.answer.inputs_freed and missing)


def describe_unavailable_inputs(rounds: Sequence[StageRound]) -> str:
    """Describe the outcomes of pieces without inputs, and whether these were freed or lost."""
    outcomes = sorted({outcome.value for item in rounds for outcome in item.outcomes})
    freed = any(item.answer.inputs_freed for item in rounds)
    return f"{', '.join(outcomes)}; inputs {'freed' if freed else 'lost'}"
