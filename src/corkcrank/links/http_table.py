"""Client of the platform's transactional table, with JSON over HTTP."""

from collections.abc import Sequence

import aiohttp
import msgspec

from corkcrank.links.platform_ports import Unreadable
from corkcrank.links.received_bytes import OversizedMessageError, Purpose, ReceivedBytes
from corkcrank.links.strict_json import decode_strictly
from corkcrank.links.table import (
    CommitAnswer,
    CommitRequest,
    Committed,
    Condition,
    Conflicted,
    ReadAnswer,
    ReadRequest,
    Rows,
    Unanswered,
    Write,
)
from corkcrank.links.traffic import ControlTraffic

TABLE_TIMEOUT_SECONDS = 1.0
"""Timeout for one request to the table."""


class HttpTable:
    """Table client; every method returns within :data:`TABLE_TIMEOUT_SECONDS`."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, traffic: ControlTraffic
    ) -> None:
        self._session = session
        self._traffic = traffic
        self._received = ReceivedBytes()
        self._base = f"http://{address}"
        self._timeout = aiohttp.ClientTimeout(total=TABLE_TIMEOUT_SECONDS)

    async def read(self, keys: Sequence[str]) -> Rows | Unanswered:
        """Read rows in one transaction."""
        answer = await self._post("/read", ReadRequest(tuple(keys)))
        if isinstance(answer, Unanswered):
            return answer
        decoded = decode_strictly(answer, ReadAnswer)
        if isinstance(decoded, Unreadable) or [row.key for row in decoded.rows] != [*keys]:
            return Unanswered("unreadable answer")
        return Rows(decoded.rows)

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflicted | Unanswered:
        """Write rows in one transaction if every condition holds."""
        answer = await self._post("/commit", CommitRequest(tuple(conditions), tuple(writes)))
        if isinstance(answer, Unanswered):
            return answer
        decoded = decode_strictly(answer, CommitAnswer)
        if isinstance(decoded, Unreadable):
            return Unanswered("unreadable answer")
        keys = {row.key for row in decoded.rows}
        if decoded.committed and keys >= {write.key for write in writes}:
            return Committed(decoded.rows)
        if not decoded.committed and keys & {condition.key for condition in conditions}:
            return Conflicted(decoded.rows)
        return Unanswered("answer about other rows")

    async def _post(self, path: str, body: msgspec.Struct) -> bytes | Unanswered:
        data = msgspec.json.encode(body)
        try:
            async with self._session.post(
                self._base + path, data=data, timeout=self._timeout
            ) as response:
                content = await self._received.read(response, Purpose.STORE, self._base)
                self._traffic.record_exchange(len(data), len(content))
                if response.status != 200:
                    return Unanswered(f"status {response.status}")
                return content
        except (TimeoutError, aiohttp.ClientError, OversizedMessageError, OSError) as error:
            return Unanswered(type(error).__name__)
