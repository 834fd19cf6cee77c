"""Writes the log lines of a search for an engine that continues a stream."""

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.calls.services import CallServices
from corkcrank.node.streams.engine_exchange import EngineExchanges


class FailoverLog:
    """Logs the decisions of one call's search."""

    def __init__(
        self, call: OpaqueCall, services: CallServices, exchanges: EngineExchanges
    ) -> None:
        self._call = call
        self._services = services
        self._exchanges = exchanges

    def write_deferred(self, reason: str, detail: str = "") -> None:
        """Log why the call is sent to no other engine now."""
        self._services.log.write(
            LogEvent.FAILOVER_DEFERRED,
            call=self._call.call_id,
            reason=reason,
            detail=detail,
            unresponsive=len(self._call.unresponsive_workers),
            resume_after=self._exchanges.resume_after,
            left=round(self._call.end_at - clock.now(), 3),
        )

    def write_silence(self, silent: WorkerRecord, engine: WorkerRecord) -> None:
        """Log that an engine is silent, and which one responds."""
        now = clock.now()
        heard_at = self._services.worker_statistics.get_or_create(silent.worker_id).heard_at
        self._services.log.write(
            LogEvent.ENGINE_SILENT,
            call=self._call.call_id,
            worker=silent.worker_id,
            seconds=round(min(now - heard_at, now - self._call.arrived_at), 3),
            resume_after=self._exchanges.resume_after,
            answers=engine.worker_id,
            unresponsive=len(self._call.unresponsive_workers),
        )

    def write_fault(self, error: Exception) -> None:
        """Log an unexpected error of the search."""
        self._services.log.write(
            LogEvent.INTERNAL_FAULT, error=repr(error), call=self._call.call_id
        )
