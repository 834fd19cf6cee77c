"""Workers whose answers come in pieces of a byte neither end nor hang a gateway."""

from dataclasses import dataclass
from typing import Any

from aiohttp import web
from client_crowd import LargeWorker, crowded_world, head, ordinary_calls

CALLERS = 100
PIECE = b"1\r\nx\r\n"
PIECES = 400_000
PIECES_PER_SEND = 10_000


@dataclass
class PieceWorker(LargeWorker):
    """A worker that sends each answer in chunks of a byte, as fast as they are taken."""

    async def _answer(self, request: Any, fault: str) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._head(request, fault))
        response.enable_chunked_encoding()
        await response.prepare(request)
        transport = request.transport
        for _ in range(PIECES // PIECES_PER_SEND):
            if transport.is_closing():
                break
            transport.write(PIECE * PIECES_PER_SEND)
            await request.writer.drain()
        await response.write_eof()
        return response


async def test_answers_in_pieces_of_a_byte_stay_within_the_memory() -> None:
    """Guards against pieces that cost many times their bytes, and stop the event loop."""
    async with crowded_world(PieceWorker()) as crowd:
        await crowd.join(CALLERS, [head("/crowd/x")])
        assert await ordinary_calls(crowd.world, 1) == [200]
