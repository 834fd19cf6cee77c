"""Reads and writes the headers of requests and answers in the platform's format."""

from collections.abc import Mapping, Sequence

from corkcrank.contracts.opaque_call import CallEnvelope, OpaqueCall, PrefixPart, PromptShape
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import AnswerHead, HeaderList
from corkcrank.platform import names

MILLISECONDS_PER_SECOND = 1000.0

MAX_PIECES = 10_000
"""Maximum number of stage pieces of one call; more could exhaust a gateway's memory."""

MAX_TOKENS = 1 << 31
"""Maximum number of tokens of a prompt or of one of its parts."""

MAX_NUMBER_CHARACTERS = 20
"""Maximum length of a whole number in a header, in characters."""

MAX_BUDGET_SECONDS = 86_400.0
"""Maximum time that a caller may state it waits."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Headers that apply to a single connection (RFC 9110, 7.6.1) or are generated again."""


class PlatformCallCodec:
    """Reads headers of callers and of workers' answers, and writes headers for workers."""

    def read_envelope(self, headers: Mapping[str, str]) -> CallEnvelope | str:
        """Return the envelope from a caller's headers, or the reason why they are invalid."""
        try:
            return _read_envelope(headers)
        except ValueError as error:
            return str(error)

    def worker_headers(
        self,
        call: OpaqueCall,
        worker: WorkerRecord,
        remaining_seconds: float,
        inputs: Sequence[str] | None,
        resume_after: str,
    ) -> HeaderList:
        """Return the headers of the request to a worker."""
        headers = proxied_headers(call.headers, names.RESERVED_HEADERS | names.CONSUMED_HEADERS)
        headers.append(
            (names.DEADLINE_MS, str(max(1, int(remaining_seconds * MILLISECONDS_PER_SECOND))))
        )
        headers.append((names.EXPECT_INSTANCE, worker.name))
        if call.tenant:
            headers.append((names.TENANT, call.tenant))
        if inputs:
            headers.append((names.INPUTS, ",".join(inputs)))
        if resume_after:
            headers.append((names.LAST_EVENT_ID, resume_after))
        return headers

    def read_answer(self, headers: Mapping[str, str]) -> AnswerHead:
        """Return the values from the headers of a worker's answer."""
        return AnswerHead(
            call_id=headers.get(names.ATTEMPT_ID, ""),
            sealed=names.SEAL in headers,
            not_run=names.NOT_EXECUTED in headers,
            worker_id=headers.get(names.INSTANCE_ID, ""),
            encoded="Content-Encoding" in headers,
        )

    def answer_headers(self, headers: Sequence[tuple[str, str]]) -> HeaderList:
        """Return the headers of a worker's answer that are forwarded to the caller."""
        return proxied_headers(headers, frozenset())


def proxied_headers(headers: Sequence[tuple[str, str]], excluded: frozenset[str]) -> HeaderList:
    """Return the headers to forward: those that do not apply to a single connection.

    ``excluded`` names more headers to drop, in lower case with hyphens. Underscores in header
    names count as hyphens.

    >>> proxied_headers([("Connection", "x-a"), ("X-A", "1"), ("B", "2"), ("TE", "t")], frozenset())
    [('B', '2')]
    >>> proxied_headers([("X_Own", "1"), ("B", "2")], frozenset(["x-own"]))
    [('B', '2')]
    """
    dropped = set(excluded)
    for name, value in headers:
        if name.lower() == "connection":
            listed = {_normalized_name(token.strip()) for token in value.split(",")}
            dropped.update(listed - names.PROTECTED_HEADERS)
    return [
        (name, value)
        for name, value in headers
        if _normalized_name(name) not in dropped and name.lower() not in HOP_BY_HOP_HEADERS
    ]


def _normalized_name(name: str) -> str:
    """Return a header name as lenient workers compare it: lower case, ``_`` as ``-``."""
    return name.lower().replace("_", "-")


def _read_envelope(headers: Mapping[str, str]) -> CallEnvelope:
    return CallEnvelope(
        call_id=headers.get(names.ATTEMPT_ID, ""),
        key=headers.get(names.CREDENTIAL, ""),
        budget_seconds=_read_budget(headers),
        prompt=_read_prompt(headers),
        piece_counts=_read_piece_counts(headers),
        piece_key=headers.get(names.SEGMENT_KEY, ""),
        resume_after=headers.get(names.LAST_EVENT_ID, ""),
        resumed_attempt=headers.get(names.RESUMES, ""),
        reserved_headers=tuple(
            sorted({_normalized_name(name) for name in headers} & names.RESERVED_HEADERS),
        ),
    )


def _read_budget(headers: Mapping[str, str]) -> float | None:
    text = headers.get(names.DEADLINE_MS)
    if not text:
        return None
    budget = float(text) / MILLISECONDS_PER_SECOND
    if not 0 <= budget <= MAX_BUDGET_SECONDS:
        raise ValueError(f"{names.DEADLINE_MS} is {text[:40]!r}, not a time in range")
    return budget


def _read_piece_counts(headers: Mapping[str, str]) -> tuple[int, ...]:
    text = headers.get(names.SEGMENTS, "")
    if not text:
        return ()
    counts = tuple(_read_count(item, names.SEGMENTS, MAX_PIECES) for item in text.split(","))
    if sum(counts) > MAX_PIECES:
        raise ValueError(f"{names.SEGMENTS} asks for more than {MAX_PIECES} pieces")
    return counts


def _read_prompt(headers: Mapping[str, str]) -> PromptShape:
    tokens = headers.get(names.TOKEN_COUNT, "0,0").split(",")
    prefix = headers.get(names.PREFIX, "")
    parts = []
    for item in prefix.split(",") if prefix else ():
        part_id, _, count = item.strip().partition(":")
        parts.append(PrefixPart(part_id, _read_count(count, names.PREFIX, MAX_TOKENS)))
    tokens_out = tokens[1] if len(tokens) > 1 else "0"
    return PromptShape(
        model=headers.get(names.MODEL, ""),
        tokens_in=_read_count(tokens[0], names.TOKEN_COUNT, MAX_TOKENS),
        tokens_out=_read_count(tokens_out, names.TOKEN_COUNT, MAX_TOKENS),
        parts=tuple(parts),
    )


def _read_count(text: str, name: str, maximum: int) -> int:
    """Return a whole number from 0 to ``maximum``; raises ``ValueError`` naming the header."""
    if len(text) <= MAX_NUMBER_CHARACTERS and text.strip().isascii() and text.strip().isdigit():
        count = int(text)
        if count <= maximum:
            return count
    raise ValueError(f"{name} has {text[:40]!r}, not a number from 0 to {maximum}")
