"""Reads what workers state about themselves from the headers of their answers."""

import math
from collections.abc import Iterable, Mapping

from corkcrank.links.platform_ports import StatedLoad, Unreadable, WorkerStatement, stated_load
from corkcrank.platform import names

MAX_LOGGED_CHARACTERS = 40
"""Maximum length of an unreadable value in logs, in characters."""

MAX_RATE_LIMIT = 1e6
"""Highest amount in requests a second; higher ones are reduced to it."""

MAX_RETRY_AFTER_SECONDS = 86_400.0
"""Longest readable time until a retry. A longer one is taken for an error of the worker."""

IGNORED_HEADERS = {
    "X-Corkcrank-Warmup-Ms": "the worker's entry states the same within a heartbeat",
    "X-Corkcrank-Weight-Versions": "no request asks for a version of weights",
    "Cache-Control": "answers are not cached",
    "Connection": "the HTTP library closes the connection; it does not announce a leave",
    "Content-Length": "the HTTP library reads the body by it",
    "Content-Type": "forwarded to the caller",
    "Date": "clocks of machines are not compared",
    "Keep-Alive": "idle connections are reused for 1.5 s at most, whatever it states",
    "Server": "the name of the worker's software decides nothing",
    "Transfer-Encoding": "the HTTP library reads the body by it",
}
"""Headers of answers that state nothing to act on, each with the reason."""

_READ_HEADERS = frozenset(
    name.lower()
    for name in (
        names.ATTEMPT_ID,
        names.SEAL,
        names.NOT_EXECUTED,
        names.INSTANCE_ID,
        "Content-Encoding",
    )
)
"""Headers of answers that other modules of this package read."""

KNOWN_HEADERS = _READ_HEADERS | {name.lower() for name in IGNORED_HEADERS}

_RATE_LIMIT_HEADERS = frozenset((names.SERVER_LIMIT.lower(), names.PREFIXED_SERVER_LIMIT.lower()))
_LOAD_HEADER = names.SERVER_LOAD.lower()
_LEAVING_HEADERS = frozenset((names.SERVER_LEAVING.lower(), names.PREFIXED_SERVER_LEAVING.lower()))
_BRITTLE_HEADERS = frozenset((names.SERVER_BRITTLE.lower(), names.PREFIXED_SERVER_BRITTLE.lower()))
_RETRY_AFTER_HEADER = names.RETRY_AFTER.lower()


class PlatformStatementCodec:
    """Reads the headers of answers to calls, to stage calls and to status requests."""

    def read_statement(self, headers: Mapping[str, str]) -> WorkerStatement:
        """Return what the headers of any answer state about its worker.

        If an answer has several values, the strictest readable one applies.
        """
        limits: list[str] = []
        tolerated: list[str] = []
        leaving: list[str] = []
        retry_after: list[str] = []
        unknown: list[str] = []
        load: StatedLoad | Unreadable | None = None
        for name, value in headers.items():
            lowered = name.lower()
            if lowered in _RATE_LIMIT_HEADERS:
                limits.extend(value.split(","))
            elif lowered in _BRITTLE_HEADERS:
                tolerated.extend(value.split(","))
            elif lowered in _LEAVING_HEADERS:
                leaving.extend(value.split(","))
            elif lowered == _RETRY_AFTER_HEADER:
                retry_after.extend(value.split(","))
            elif lowered == _LOAD_HEADER:
                # Further figures may follow the fourth, which is the pace.
                load = stated_load(value.split(",")[:4]) or _unreadable("load", [value])
            elif lowered not in KNOWN_HEADERS:
                unknown.append(lowered)
        return WorkerStatement(
            _read_smallest("rate limit", limits),
            _read_smallest("number of tolerated rejections", tolerated),
            _read_leaving(leaving),
            _read_retry_after(retry_after),
            tuple(unknown),
            load,
        )


def _read_smallest(what: str, texts: list[str]) -> float | Unreadable | None:
    """Return the smallest readable amount of a second; ``None`` without any.

    >>> [_read_smallest("rate", texts) for texts in ([], ["1.2"], ["4", " 2 ", "none"])]
    [None, 1.2, 2.0]
    >>> _read_smallest("rate limit", ["-1", "nan"])
    Unreadable(reason="rate limit is '-1'")
    """
    if not texts:
        return None
    rates = _read_amounts(texts)
    if not rates:
        return _unreadable(what, texts)
    return min(MAX_RATE_LIMIT, *rates)


def _read_leaving(texts: list[str]) -> bool | Unreadable:
    """Return whether any value states that the worker leaves.

    >>> [_read_leaving(texts) for texts in ([], ["1"], ["0"], ["0", " 1 "])]
    [False, True, False, True]
    >>> _read_leaving(["soon"])
    Unreadable(reason="leaving is 'soon'")
    """
    stripped = [text.strip() for text in texts]
    if "1" in stripped:
        return True
    if all(text == "0" for text in stripped):
        return False
    return _unreadable("leaving", texts)


def _read_retry_after(texts: list[str]) -> float | Unreadable | None:
    """Return the longest readable time in seconds; ``None`` without any.

    >>> _read_retry_after([]), _read_retry_after(["0.5"]), _read_retry_after(["3", " 4"])
    (None, 0.5, 4.0)
    >>> _read_retry_after(["99999999"])
    Unreadable(reason="retry time is '99999999'")
    """
    if not texts:
        return None
    times = [time for time in _read_amounts(texts) if time <= MAX_RETRY_AFTER_SECONDS]
    return max(times) if times else _unreadable("retry time", texts)


def _read_amounts(texts: Iterable[str]) -> list[float]:
    """Return the finite numbers that are not negative among some texts."""
    amounts = []
    for text in texts:
        try:
            amount = float(text)
        except ValueError:
            continue
        if math.isfinite(amount) and amount >= 0:
            amounts.append(amount)
    return amounts


def _unreadable(what: str, texts: list[str]) -> Unreadable:
    return Unreadable(f"{what} is {texts[0][:MAX_LOGGED_CHARACTERS]!r}")
