"""Client of the gateways that own stage workers: requests pieces and frees results."""

import asyncio
import random
from collections.abc import Callable, Coroutine

import msgspec

from corkcrank.contracts import clock
from corkcrank.links.platform_ports import PieceOutcome, PieceResult
from corkcrank.machines.fleet import Fleet
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure, decode_answer
from corkcrank.node.peers.peer_protocol import (
    FREE_PATH,
    PIECES_PATH,
    WITHDRAW_PATH,
    FreeResults,
    StageAnswer,
    StageWork,
    WithdrawRequest,
)

OWNER_CHECK_SECONDS = 0.25
"""Interval of checks whether the owner of requested pieces is suspected to have failed."""

QUESTION_BITS = 48
"""Size of a question's number in bits. Among 1,000 stored questions, the probability that two have
the same number is 1 in 500 million."""


class StageOwnerClient:
    """Sends requests about stage workers to the gateways that own them.

    ``on_waiting`` is called periodically with the name of an owner whose answer is pending.
    ``on_unused_answer`` is called with an answer that arrived for a cancelled question.
    """

    def __init__(self, fleet: Fleet, peers: PeerClient, random_source: random.Random) -> None:
        self._fleet = fleet
        self._peers = peers
        self._random = random_source
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_waiting: Callable[[str], None] = lambda owner: None
        self.on_unused_answer: Callable[[StageAnswer], None] = lambda answer: None

    async def request_pieces(self, owner: str, address: str, work: StageWork) -> StageAnswer:
        """Have an owner run pieces; free their results on cancellation."""
        work = msgspec.structs.replace(work, question=1 + self._random.getrandbits(QUESTION_BITS))
        request = asyncio.create_task(
            self._peers.request(address, PIECES_PATH, msgspec.msgpack.encode(work))
        )
        try:
            await self._wait_for_answer(owner, request)
        except asyncio.CancelledError:
            self._cancel_question(address, work, request)
            # The call ends only after its connection is closing, so that the owner detects it.
            request.cancel()
            await asyncio.wait({request})
            raise
        finally:
            if not request.done():
                request.cancel()
        known = request.done() and not request.cancelled()
        answer = decode_answer(request.result() if known else PeerFailure.BROKEN, StageAnswer)
        if answer in (PeerFailure.SILENT, PeerFailure.UNREADABLE):
            # The owner is alive and may have run the pieces: only its answer is missing.
            lost = PieceResult(PieceOutcome.FAILED)
            return StageAnswer((lost,) * len(work.pieces), 0.0, f"no word from owner {owner}")
        if isinstance(answer, PeerFailure):
            self._fleet.mark_suspected(owner)
            lost = PieceResult(PieceOutcome.REFUSED)
            return StageAnswer((lost,) * len(work.pieces), 0.0, f"owner {owner} is lost")
        return answer

    def free_results(
        self,
        address: str,
        worker_id: str,
        handles: tuple[str, ...],
        on_unreachable: Callable[[], None],
    ) -> None:
        """Free results at an owner; call ``on_unreachable`` if the owner cannot be reached."""
        self._spawn(
            self._send_free_message(address, FreeResults(worker_id, handles), on_unreachable)
        )

    async def wait_for_messages(self, seconds: float) -> None:
        """Wait at most ``seconds`` for the messages to owners that are in flight."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)

    async def _wait_for_answer(
        self, owner: str, request: asyncio.Task[bytes | PeerFailure]
    ) -> None:
        """Wait until an owner has answered or is suspected to have failed."""
        while not request.done():
            await asyncio.wait({request}, timeout=OWNER_CHECK_SECONDS)
            self.on_waiting(owner)
            if self._fleet.is_suspected(owner, clock.now()):
                return

    def _cancel_question(
        self, address: str, work: StageWork, request: asyncio.Task[bytes | PeerFailure]
    ) -> None:
        """Free the results of a cancelled question, or withdraw it at its owner.

        Cancelling the request closes the connection, which withdraws pieces that have not run.
        Without the withdrawal, results of an answer in transit would occupy memory for seconds.
        """
        if not request.done() or request.cancelled():
            self._spawn(self._send_withdrawal(address, work.question))
            return
        answer = decode_answer(request.result(), StageAnswer)
        if not isinstance(answer, PeerFailure):
            self.on_unused_answer(answer)

    async def _send_withdrawal(self, address: str, question: int) -> None:
        """Withdraw a question. No retry is needed at a failed owner, which lost the handles too."""
        message = msgspec.msgpack.encode(WithdrawRequest(question))
        await self._peers.request(address, WITHDRAW_PATH, message, retry_on_silence=True)

    async def _send_free_message(
        self, address: str, results: FreeResults, on_unreachable: Callable[[], None]
    ) -> None:
        message = msgspec.msgpack.encode(results)
        answer = await self._peers.request(address, FREE_PATH, message, retry_on_silence=True)
        if isinstance(answer, PeerFailure):
            on_unreachable()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
