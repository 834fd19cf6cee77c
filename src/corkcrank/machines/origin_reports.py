"""Datagrams that report the origins of streams to the gateways that keep them."""

from collections.abc import Iterable, Iterator, Sequence

import msgspec

from corkcrank.contracts.stream_origin import STREAM_KEY_BYTES, StreamOrigin

DATAGRAM_TAG = b"O1"
"""First bytes of a datagram with origins. Heartbeats are compressed and begin otherwise; a gateway
of a release that does not know these datagrams ignores them."""

MAX_REPORTS_PER_DATAGRAM = 64
"""Maximum number of origins in one datagram: a quarter of its size limit for short names."""


class OriginReport(msgspec.Struct, frozen=True, array_like=True):
    """The origin of a stream, and the seconds for which its caller may still resume it.

    ``written`` asks the receiver to write the origin to the store if versions differ.
    """

    key: bytes
    origin: StreamOrigin
    seconds: float
    written: bool = False


_decoder = msgspec.msgpack.Decoder(tuple[OriginReport, ...])


def encode_origin_reports(reports: Sequence[OriginReport]) -> Iterator[bytes]:
    """Return the datagrams that hold some reports.

    >>> report = OriginReport(bytes(8), StreamOrigin("s", "v1"), 9.0)
    >>> [decode_origin_reports(data) for data in encode_origin_reports([report])] == [(report,)]
    True
    """
    for first in range(0, len(reports), MAX_REPORTS_PER_DATAGRAM):
        part = reports[first : first + MAX_REPORTS_PER_DATAGRAM]
        yield DATAGRAM_TAG + msgspec.msgpack.encode(part)


def decode_origin_reports(data: bytes) -> tuple[OriginReport, ...]:
    """Return the reports of a datagram, none for anything else.

    >>> decode_origin_reports(b"x"), decode_origin_reports(DATAGRAM_TAG + b"x")
    ((), ())
    """
    if not data.startswith(DATAGRAM_TAG):
        return ()
    try:
        reports = _decoder.decode(data[len(DATAGRAM_TAG) :])
    except (msgspec.DecodeError, RecursionError):
        return ()
    return tuple(_valid(reports))


def _valid(reports: Iterable[OriginReport]) -> Iterator[OriginReport]:
    return (report for report in reports if len(report.key) == STREAM_KEY_BYTES)
