"""Records which software began a call's stream, and which software continues it."""

from enum import StrEnum

from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.calls.services import CallServices


class ResumedBy(StrEnum):
    """Who resumed a stream; the value is a metric label."""

    CALLER = "caller"
    GATEWAY = "gateway"


class SoftwareMatch(StrEnum):
    """How the software that continues a stream compares to its origin; a metric label."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


class StreamContinuity:
    """The origin of one call's stream, over the engines that write its events."""

    def __init__(self, call: OpaqueCall, services: CallServices) -> None:
        self._call = call
        self._services = services
        self._relayed = False

    def record_first_event(self, engine: WorkerRecord) -> None:
        """Record that an engine's first event is about to be relayed to the caller."""
        call = self._call
        if self._relayed or call.envelope.resume_after:
            resumed_by = ResumedBy.GATEWAY if self._relayed else ResumedBy.CALLER
            match = _compare(call.origin, engine)
            self._services.metrics.continued_streams.labels(resumed_by.value, match.value).inc()
        elif call.origin is None:
            call.origin = StreamOrigin.of(engine)
        self._relayed = True


def _compare(origin: StreamOrigin | None, engine: WorkerRecord) -> SoftwareMatch:
    if origin is None or not origin.version or not engine.version:
        return SoftwareMatch.UNKNOWN
    return SoftwareMatch.SAME if origin.is_software_of(engine) else SoftwareMatch.OTHER
