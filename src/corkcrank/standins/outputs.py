"""Computes the stand-ins' answers by pure functions, so a caller can recompute each one."""

import xxhash

from corkcrank.contracts.identifiers import TenantName
from corkcrank.contracts.messages import Passage

RETRIEVED_PASSAGES = 4
"""Number of passages returned for each query."""

RERANKED_PASSAGES = 2
"""Number of passages that the reranker keeps."""


def encode_text(text: str) -> str:
    """Return the encoder's output."""
    return f"vector-{xxhash.xxh3_64_hexdigest(text.encode())}"


def retrieve(tenant: TenantName, vector: str) -> tuple[Passage, ...]:
    """Return the passages of ``tenant`` nearest to ``vector``."""
    return tuple(
        Passage(
            tenant=tenant,
            text=f"[{tenant}/{xxhash.xxh3_64_hexdigest(f'{vector}/{number}'.encode())[:8]}]",
            score=1.0 / (number + 1),
        )
        for number in range(RETRIEVED_PASSAGES)
    )


def rerank(passages: tuple[Passage, ...]) -> tuple[Passage, ...]:
    """Return the best passages in another order."""
    ordered = sorted(passages, key=lambda item: xxhash.xxh3_64_intdigest(item.text.encode()))
    return tuple(ordered[:RERANKED_PASSAGES])


def token(prompt_hash: int, index: int) -> str:
    """Return token ``index`` of the answer to a prompt."""
    return f"w{(prompt_hash + index * 2654435761) % 65536:x} "


def generate(prompt: str, count: int) -> str:
    """Return the whole answer to a prompt."""
    prompt_hash = xxhash.xxh3_64_intdigest(prompt.encode())
    return "".join(token(prompt_hash, index) for index in range(count))


def plain_result(operation: str, key: str, body: str) -> str:
    """Return a plain service's answer."""
    return f"{operation}:{xxhash.xxh3_64_hexdigest(f'{key}/{body}'.encode())}"
