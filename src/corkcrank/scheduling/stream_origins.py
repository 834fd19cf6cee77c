"""Keeps the origins of streams until their callers can no longer resume them.

Does no I/O: callers pass the time.
"""

from collections import OrderedDict
from dataclasses import dataclass

from corkcrank.contracts.stream_origin import StreamOrigin

MAX_ORIGINS = 20_000
"""Maximum number of origins kept; the oldest ones are removed first."""

MAX_RETENTION_SECONDS = 600.0
"""Maximum time for which an origin is kept, regardless of the caller's deadline."""


@dataclass(frozen=True, slots=True)
class KeptOrigin:
    """The origin of a stream, and the time until which it is kept."""

    origin: StreamOrigin
    expires_at: float


class StreamOrigins:
    """The origins of streams that this gateway began or that peers reported, by key."""

    def __init__(self) -> None:
        self._kept: OrderedDict[bytes, KeptOrigin] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def record(self, key: bytes, origin: StreamOrigin, seconds: float, now: float) -> None:
        """Keep an origin for ``seconds``.

        An origin never changes. If two origins are reported for one key, the attempt id was used
        twice and the streams cannot be distinguished, so the version becomes unknown.

        >>> origins = StreamOrigins()
        >>> origins.record(b"k", StreamOrigin("s", "v1"), 5.0, now=0.0)
        >>> origins.find(b"k", now=4.0)
        StreamOrigin(service='s', version='v1')
        >>> origins.record(b"k", StreamOrigin("s", "v2"), 5.0, now=0.0)
        >>> origins.find(b"k", now=4.0)
        StreamOrigin(service='s', version='')
        >>> origins.find(b"k", now=5.0) is None
        True
        """
        expires_at = now + min(MAX_RETENTION_SECONDS, max(0.0, seconds))
        known = self._kept.pop(key, None)
        if known is not None and known.expires_at > now:
            expires_at = max(expires_at, known.expires_at)
            if known.origin != origin:
                origin = StreamOrigin(origin.service, "")
        self._kept[key] = KeptOrigin(origin, expires_at)
        self._remove_oldest(now)

    def find(self, key: bytes, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` if it is unknown."""
        known = self.kept(key, now)
        return known.origin if known is not None else None

    def kept(self, key: bytes, now: float) -> KeptOrigin | None:
        """Return the origin of a stream and its expiry, ``None`` if it is unknown."""
        known = self._kept.get(key)
        return known if known is not None and known.expires_at > now else None

    def _remove_oldest(self, now: float) -> None:
        """Remove the oldest entries that have expired or exceed the limit."""
        while self._kept:
            key, oldest = next(iter(self._kept.items()))
            if oldest.expires_at > now and len(self._kept) <= MAX_ORIGINS:
                return
            del self._kept[key]
