"""The software that began a stream: what another software version writes does not continue it."""

from hashlib import blake2b

import msgspec

from corkcrank.contracts.worker_records import WorkerRecord

STREAM_KEY_BYTES = 8
"""Length of a stream's key; two of a million streams have the same one with probability 3e-8."""

_PURPOSE = b"stream"


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The service whose worker wrote a stream's first event, and the worker's software version.

    An empty ``version`` is an unknown one: no worker is known to run the same.
    """

    service: str
    version: str

    @classmethod
    def of(cls, worker: WorkerRecord) -> "StreamOrigin":
        """Return the origin of a stream that a worker begins."""
        return cls(worker.service, worker.version)

    def is_software_of(self, worker: WorkerRecord) -> bool:
        """Return whether a worker is known to run the software that began the stream.

        >>> origin = StreamOrigin("llm", "v1")
        >>> worker = WorkerRecord("w", "llm", "10.0.0.1:80", "z", version="v1")
        >>> origin.is_software_of(worker)
        True
        >>> StreamOrigin("llm", "v1.1").is_software_of(worker)
        False
        >>> StreamOrigin("llm", "").is_software_of(WorkerRecord("w", "llm", "10.0.0.1:80", "z"))
        False
        """
        return bool(self.version) and self == StreamOrigin.of(worker)


def stream_key(caller: str, attempt_id: str) -> bytes:
    """Return the key of the stream that an attempt of a caller began.

    The caller is part of the key, so that it neither finds nor changes the origin of another
    caller's stream by naming its attempt.

    >>> stream_key("a", "17") == stream_key("b", "17")
    False
    """
    digest = blake2b(digest_size=STREAM_KEY_BYTES, person=_PURPOSE)
    for part in (caller.encode(), attempt_id.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
