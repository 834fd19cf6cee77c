"""Server connections that read little ahead of their handler.

The HTTP library parses up to 32 requests ahead of the one that is being handled and keeps up to
512 KiB of the body of each. A few clients that send ahead would make a process keep hundreds of
megabytes that no account counts.
"""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.web_protocol import RequestHandler

READ_BYTES = 16_384
"""Maximum number of bytes of one read, and number of unread bytes of a body above which the
connection is not read. The library reads up to twice as many before it stops."""

MAX_REQUESTS_AHEAD = 1
"""Maximum number of requests that are parsed while an earlier one of their connection is handled.
A planned stop has to know whether another request was read."""


class BoundedRequestHandler(RequestHandler):
    """One connection of a server; what is beyond the limits above stays unread in the kernel."""

    def __init__(
        self, manager: web.Server, *, loop: asyncio.AbstractEventLoop, **options: Any
    ) -> None:
        super().__init__(manager, loop=loop, read_bufsize=READ_BYTES, **options)
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD - 1
        self._parser = HttpRequestParser(
            self,
            loop,
            READ_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the size of one read."""
        super().connection_made(transport)
        # The attribute of asyncio's transports that bounds one call of ``recv``.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; stop reading if the request before was not taken yet."""
        if data and self._buffer_paused:
            self._pause_transport_reading()
        super().data_received(data)

    def _pause_reading_for_buffer(self) -> None:
        """Stop reading while a request waits for its handler.

        A handler without a request takes it in the next iteration of the loop, and then resumes the
        parser. Each request would else cost two changes of what the loop waits for.
        """
        if self._current_request is None:
            self._buffer_paused = True
        else:
            super()._pause_reading_for_buffer()

    def _resume_reading_if_drained(self) -> None:
        """Parse what was read; stop reading if another request waits now."""
        super()._resume_reading_if_drained()
        if self._buffer_paused:
            self._pause_transport_reading()
