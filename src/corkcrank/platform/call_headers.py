"""Heads of requests and answers as the platform writes them."""

from collections.abc import Mapping, Sequence

from corkcrank.contracts.opaque_call import CallEnvelope, OpaqueCall, PrefixPart, PromptShape
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import AnswerHead, HeaderList
from corkcrank.platform import names

MILLISECONDS = 1000.0

MAXIMUM_PIECES = 10_000
"""Most stage pieces of one call; more would cost a gateway its memory."""

MAXIMUM_TOKENS = 1 << 31
"""Most tokens of a prompt or of one of its parts."""

LONGEST_NUMBER = 20
"""Longest text of a whole number."""

LONGEST_BUDGET_SECONDS = 86_400.0
"""Longest time that a caller may say it waits."""

ONE_CONNECTION_ONLY = frozenset(
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
"""Headers that concern a single connection (RFC 9110, 7.6.1) or are written anew."""


class PlatformCallCodec:
    """Reads callers' heads and workers' answers, and writes the heads for workers."""

    def read_envelope(self, headers: Mapping[str, str]) -> CallEnvelope | str:
        """Return what a caller's head tells, or what is wrong with it."""
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
        """Return the head of the request that goes to a worker."""
        headers = passed_on(call.headers, names.RESERVED | names.REPLACED)
        headers.append((names.DEADLINE_MS, str(max(1, int(remaining_seconds * MILLISECONDS)))))
        headers.append((names.EXPECT_INSTANCE, worker.name))
        if call.tenant:
            headers.append((names.TENANT, call.tenant))
        if inputs:
            headers.append((names.INPUTS, ",".join(inputs)))
        if resume_after:
            headers.append((names.LAST_EVENT_ID, resume_after))
        return headers

    def read_answer(self, headers: Mapping[str, str]) -> AnswerHead:
        """Return what the head of a worker's answer tells."""
        return AnswerHead(
            call_id=headers.get(names.ATTEMPT_ID, ""),
            sealed=names.SEAL in headers,
            not_run=names.NOT_EXECUTED in headers,
            worker_id=headers.get(names.INSTANCE_ID, ""),
            load=_read_load(headers.get(names.SERVER_LOAD, "")),
            encoded="Content-Encoding" in headers,
        )

    def answer_headers(self, headers: Sequence[tuple[str, str]]) -> HeaderList:
        """Return the headers of a worker's answer that go back to the caller."""
        return passed_on(headers, frozenset())


def passed_on(headers: Sequence[tuple[str, str]], without: frozenset[str]) -> HeaderList:
    """Return the headers that do not concern one connection only.

    Names in ``without`` are in lower case with hyphens; an underscore counts as a hyphen.

    >>> passed_on([("Connection", "x-a"), ("X-A", "1"), ("B", "2"), ("TE", "t")], frozenset())
    [('B', '2')]
    >>> passed_on([("X_Own", "1"), ("B", "2")], frozenset(["x-own"]))
    [('B', '2')]
    """
    dropped = set(without)
    for name, value in headers:
        if name.lower() == "connection":
            listed = {_plain_name(token.strip()) for token in value.split(",")}
            dropped.update(listed - names.KEPT)
    return [
        (name, value)
        for name, value in headers
        if _plain_name(name) not in dropped and name.lower() not in ONE_CONNECTION_ONLY
    ]


def _plain_name(name: str) -> str:
    """Return a header's name as lenient workers compare it."""
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
        reserved_headers=tuple(
            sorted({_plain_name(name) for name in headers} & names.RESERVED),
        ),
    )


def _read_budget(headers: Mapping[str, str]) -> float | None:
    text = headers.get(names.DEADLINE_MS)
    if not text:
        return None
    budget = float(text) / MILLISECONDS
    if not 0 <= budget <= LONGEST_BUDGET_SECONDS:
        raise ValueError(f"{names.DEADLINE_MS} is {text[:40]!r}")
    return budget


def _read_piece_counts(headers: Mapping[str, str]) -> tuple[int, ...]:
    text = headers.get(names.SEGMENTS, "")
    if not text:
        return ()
    counts = tuple(_read_count(item, names.SEGMENTS, MAXIMUM_PIECES) for item in text.split(","))
    if sum(counts) > MAXIMUM_PIECES:
        raise ValueError(f"{names.SEGMENTS} asks for over {MAXIMUM_PIECES} pieces")
    return counts


def _read_prompt(headers: Mapping[str, str]) -> PromptShape:
    tokens = headers.get(names.TOKEN_COUNT, "0,0").split(",")
    prefix = headers.get(names.PREFIX, "")
    parts = []
    for item in prefix.split(",") if prefix else ():
        part_id, _, count = item.strip().partition(":")
        parts.append(PrefixPart(part_id, _read_count(count, names.PREFIX, MAXIMUM_TOKENS)))
    tokens_out = tokens[1] if len(tokens) > 1 else "0"
    return PromptShape(
        model=headers.get(names.MODEL, ""),
        tokens_in=_read_count(tokens[0], names.TOKEN_COUNT, MAXIMUM_TOKENS),
        tokens_out=_read_count(tokens_out, names.TOKEN_COUNT, MAXIMUM_TOKENS),
        parts=tuple(parts),
    )


def _read_count(text: str, name: str, most: int) -> int:
    """Return a whole number from 0 to ``most``; raises ``ValueError`` with the header's name."""
    if len(text) <= LONGEST_NUMBER and text.strip().isascii() and text.strip().isdigit():
        count = int(text)
        if count <= most:
            return count
    raise ValueError(f"{name} has {text[:40]!r}, not a number from 0 to {most}")


def _read_load(text: str) -> tuple[int, int, int] | None:
    parts = text.split(",")
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return running, waiting, slots
