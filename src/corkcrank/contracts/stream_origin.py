"""The software that began a stream: what another software version writes does not continue it."""

import msgspec

from corkcrank.contracts.worker_records import WorkerRecord


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
