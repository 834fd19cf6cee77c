"""Records this gateway's leases of brittle workers and releases them at their owners."""

import asyncio

import msgspec

from corkcrank.machines.fleet import Fleet
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure
from corkcrank.node.peers.peer_protocol import LEASE_RELEASE_PATH, LeaseRelease

RELEASE_TIMEOUT_SECONDS = 0.3
"""Timeout of a release message. A lease that is not released expires with its call."""


class WorkerLeases:
    """The owners that granted leases of workers, by call and worker."""

    def __init__(self, fleet: Fleet, limits: WorkerLimits, peers: PeerClient) -> None:
        self._fleet = fleet
        self._limits = limits
        self._peers = peers
        self._owners: dict[str, dict[str, str]] = {}
        self._tasks: set[asyncio.Task[bytes | PeerFailure]] = set()

    def record(self, call_id: str, worker_id: str, owner: str) -> None:
        """Record the owner that granted a call a lease of a worker."""
        self._owners.setdefault(call_id, {})[worker_id] = owner

    def release(
        self, call_id: str, worker_id: str, *, rejected: bool = False, unanswered: bool = False
    ) -> None:
        """Release a call's lease of a worker, if there is one."""
        leases = self._owners.get(call_id)
        owner = leases.pop(worker_id, None) if leases is not None else None
        if owner is None:
            return
        if not leases:
            del self._owners[call_id]
        self._send(owner, LeaseRelease(worker_id, call_id, rejected, unanswered))

    def release_call(self, call_id: str) -> None:
        """Release all leases of a call that has ended."""
        for worker_id in list(self._owners.get(call_id, ())):
            self.release(call_id, worker_id)

    def _send(self, owner: str, message: LeaseRelease) -> None:
        member = self._fleet.member(owner)
        if owner == self._fleet.local_name or member is None:
            self._limits.release_lease(message)
            return
        sending = self._peers.request(
            member.heartbeat.address,
            LEASE_RELEASE_PATH,
            msgspec.msgpack.encode(message),
            timeout_seconds=RELEASE_TIMEOUT_SECONDS,
            retry_on_silence=True,
        )
        task = asyncio.create_task(sending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
