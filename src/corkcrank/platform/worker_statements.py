"""Reads rate limits and unknown headers from the headers of workers' answers."""

import math
from collections.abc import Mapping

from corkcrank.links.platform_ports import Unreadable, WorkerStatement
from corkcrank.platform import names

MAX_LOGGED_CHARACTERS = 40
"""Maximum length of an unreadable value in logs, in characters."""

MAX_RATE_LIMIT = 1e6
"""Highest rate limit in requests a second; higher ones are reduced to it."""

KNOWN_HEADERS = frozenset(
    name.lower()
    for name in (
        names.ATTEMPT_ID,
        names.SEAL,
        names.SERVER_LOAD,
        names.NOT_EXECUTED,
        names.INSTANCE_ID,
        names.SERVER_LIMIT,
        names.PREFIXED_SERVER_LIMIT,
        "X-Corkcrank-Warmup-Ms",
        "X-Corkcrank-Weight-Versions",
        "Cache-Control",
        "Connection",
        "Content-Encoding",
        "Content-Length",
        "Content-Type",
        "Date",
        "Keep-Alive",
        "Retry-After",
        "Server",
        "Transfer-Encoding",
    )
)
"""Headers of answers that are read or known to be irrelevant."""


class PlatformStatementCodec:
    """Reads the headers of answers to calls, to stage calls and to status requests."""

    def read_statement(self, headers: Mapping[str, str]) -> WorkerStatement:
        """Return what the headers of any answer state about its worker.

        If an answer has several limits, the smallest readable one applies.
        """
        limits: list[str] = []
        unknown: list[str] = []
        for name, value in headers.items():
            lowered = name.lower()
            if lowered in _RATE_LIMIT_HEADERS:
                limits.extend(value.split(","))
            elif lowered not in KNOWN_HEADERS:
                unknown.append(lowered)
        return WorkerStatement(_read_limits(limits), tuple(unknown))


_RATE_LIMIT_HEADERS = frozenset((names.SERVER_LIMIT.lower(), names.PREFIXED_SERVER_LIMIT.lower()))


def _read_limits(texts: list[str]) -> float | Unreadable | None:
    """Return the smallest readable limit in requests a second; ``None`` without any.

    >>> _read_limits([]), _read_limits(["1.2"]), _read_limits(["4", " 2 ", "none"])
    (None, 1.2, 2.0)
    >>> _read_limits(["-1", "nan"])
    Unreadable(reason="rate limit is '-1'")
    """
    if not texts:
        return None
    rates = [rate for rate in (_read_rate(text) for text in texts) if rate is not None]
    if not rates:
        return Unreadable(f"rate limit is {texts[0][:MAX_LOGGED_CHARACTERS]!r}")
    return min(rates)


def _read_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return min(rate, MAX_RATE_LIMIT) if math.isfinite(rate) and rate >= 0 else None
