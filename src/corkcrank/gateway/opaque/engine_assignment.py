"""Counts one call, and what is to be read of its prompt, at the engine chosen for it."""

from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.gateway.opaque.services import CallServices
from corkcrank.scheduling.worker_choice import WorkerStanding


class EngineAssignment:
    """At most one engine counts the call at a time; heartbeats tell the counts."""

    def __init__(self, call: OpaqueCall, services: CallServices) -> None:
        self._call = call
        self._services = services
        self._standing: WorkerStanding | None = None
        self._unread = 0

    def assign(self, engine: WorkerRecord) -> None:
        """Count the call at an engine, and no longer at the one before."""
        self.clear()
        standing = self._services.book.of(engine.worker_id)
        prompt = self._call.envelope.prompt
        self._unread = self._services.engines.unread_tokens(engine.worker_id, prompt)
        standing.in_flight += 1
        standing.reading += self._unread
        self._standing = standing

    def has_read(self) -> None:
        """Count the prompt as read: the first event came."""
        if self._standing is not None:
            self._standing.reading -= self._unread
            self._unread = 0

    def clear(self) -> None:
        """Count the call no more."""
        if self._standing is not None:
            self.has_read()
            self._standing.in_flight -= 1
            self._standing = None
