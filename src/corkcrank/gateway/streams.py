"""Assembles a token stream across attempts: each token once, in order, with a checked end."""

from dataclasses import dataclass, field

from corkcrank.contracts.identifiers import AttemptId
from corkcrank.contracts.messages import TokenChunk


@dataclass(slots=True)
class StreamAssembler:
    """The tokens of one generate stage, collected from all its attempts.

    Only the current attempt may add tokens. A token below the offset is a duplicate and is dropped.
    A token above the offset is a gap, which makes the attempt unusable.
    """

    tokens: list[str] = field(default_factory=list)
    attempt: AttemptId | None = None
    complete: bool = False
    dropped: int = 0

    @property
    def offset(self) -> int:
        """Return the index of the next expected token."""
        return len(self.tokens)

    def begin(self, attempt: AttemptId) -> None:
        """Accept only chunks of ``attempt`` from now on."""
        self.attempt = attempt

    def accept(self, chunk: TokenChunk) -> bool:
        """Process one chunk and return whether it added a token.

        Raises
        ------
        StreamGapError
            If the chunk skips a token, or ends the stream at another length.

        """
        if chunk.attempt != self.attempt or self.complete:
            self.dropped += 1
            return False
        if chunk.last:
            return self._accept_end(chunk)
        if chunk.index < self.offset:
            self.dropped += 1
            return False
        if chunk.index > self.offset:
            raise StreamGapError(self.offset, chunk.index)
        self.tokens.append(chunk.token)
        return True

    def _accept_end(self, chunk: TokenChunk) -> bool:
        if chunk.index != self.offset:
            raise StreamGapError(self.offset, chunk.index)
        self.complete = True
        return False


class StreamGapError(Exception):
    """A stream skipped tokens or ended early."""

    def __init__(self, expected: int, received: int) -> None:
        super().__init__(f"expected token {expected}, received {received}")
