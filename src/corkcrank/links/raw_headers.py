"""Writes header fields as their sender sent them, also those that are no UTF-8.

The HTTP library decodes received header fields with ``surrogateescape``, and drops or rejects the
escaped bytes when it writes a head. A gateway forwards header fields unchanged.
"""

from aiohttp import http_writer
from multidict import CIMultiDict

_serialize_text = http_writer._serialize_headers


def serialize_headers(status_line: str, headers: CIMultiDict[str]) -> bytes:
    r"""Return the bytes of a head; raise ``ValueError`` if a field contains a line end.

    >>> serialize_headers("GET / HTTP/1.1", CIMultiDict({"A": "caf\udce9"}))
    b'GET / HTTP/1.1\r\nA: caf\xe9\r\n\r\n'
    """
    if status_line.isascii() and all(value.isascii() for value in headers.values()):
        return _serialize_text(status_line, headers)
    lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
    checked = [http_writer._safe_header(line) for line in lines]
    return "\r\n".join([*checked, "", ""]).encode("utf-8", "surrogateescape")


def install_raw_headers() -> None:
    """Make every connection of this process write header fields unchanged."""
    http_writer._serialize_headers = serialize_headers
