"""Responses to opaque calls that the gateway generates itself: numbered codes, retry times."""

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from aiohttp import web

from corkcrank.contracts.result_codes import ResultCode

RETRY_AFTER = "Retry-After"

DRAINING_RETRY_SECONDS = 0.1
"""Time after which a caller may retry at a gateway that is not stopping: a few round trips."""


class CallerDisconnectedError(ConnectionResetError):
    """The caller has closed its connection and cannot receive a response."""

    def __init__(self) -> None:
        super().__init__("the caller has closed the connection")


class RefusalBody(msgspec.Struct, frozen=True):
    """Body of a response that the gateway generates itself."""

    code: int
    name: str
    detail: str
    ran: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final response that no worker generated; ``retry_after`` is in seconds."""

    code: ResultCode
    detail: str = ""
    retry_after: float | None = None
    close: bool = False

    @classmethod
    def draining(cls, detail: str) -> "Refusal":
        """Return the response to a call that has not run and would not end before the stop."""
        return cls(ResultCode.DRAINING, detail, retry_after=DRAINING_RETRY_SECONDS)

    @classmethod
    def quarantined(cls, seconds: float, parts: Sequence[str] = ()) -> "Refusal":
        """Return the response to a call that is quarantined for ``seconds`` more.

        ``parts`` are the quarantined parts of its prompt; without them its request is quarantined.
        """
        detail = f"prompt parts {', '.join(parts)}" if parts else ""
        return cls(ResultCode.REQUEST_QUARANTINED, detail, retry_after=seconds)

    @classmethod
    def backing_off(cls, seconds: float) -> "Refusal":
        """Return the response to a call whose workers all want no requests for ``seconds``."""
        return cls(ResultCode.WORKERS_BACKING_OFF, retry_after=seconds)

    def encode_closing_response(self) -> bytes:
        """Return the encoded HTTP response if no request was read; it ends the connection."""
        status, body = self.code.http_status, self._encoded_body()
        lines = [
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if self.retry_after is not None:
            lines.append(f"{RETRY_AFTER}: {self.retry_after:.3f}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def _encoded_body(self) -> bytes:
        return msgspec.json.encode(
            RefusalBody(self.code.number, self.code.name, self.detail, self.code.ran.value)
        )

    def to_response(self) -> web.Response:
        """Return the refusal as an HTTP response."""
        headers = {"Content-Type": "application/json"}
        if self.retry_after is not None:
            headers[RETRY_AFTER] = f"{self.retry_after:.3f}"
        response = web.Response(
            status=self.code.http_status, body=self._encoded_body(), headers=headers
        )
        if self.close:
            response.force_close()
        return response
