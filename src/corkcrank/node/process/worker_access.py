"""The parts with which a gateway reaches workers and knows their state."""

import random
from collections.abc import Collection

from corkcrank.contracts import clock
from corkcrank.links.decision_log import DecisionLog
from corkcrank.links.platform_ports import PlatformPorts
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.heartbeat import Phase
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.peers.peer_client import PeerClient
from corkcrank.node.relays.relay_client import RelayClient
from corkcrank.node.relays.relay_server import RelayServer
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.node.workers.link_monitor import LinkMonitor
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_health import WorkerHealth
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.scheduling.link_health import LinkHealth
from corkcrank.scheduling.quarantine_times import probation_offset
from corkcrank.scheduling.request_bytes import RequestBytes, request_bytes_share
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable
from corkcrank.scheduling.worker_notices import WorkerNotices
from corkcrank.scheduling.worker_pace import WorkerPaces


class WorkerAccess:
    """Creates and connects these parts; ``client`` and ``peers`` are closed by the node."""

    def __init__(
        self,
        ports: PlatformPorts,
        mirror: StoreMirror,
        fleet: Fleet,
        client: WorkerClient,
        peers: PeerClient,
        log: DecisionLog,
        metrics: NodeMetrics,
        random_source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._client = client
        notices = WorkerNotices()
        self.paces = WorkerPaces()
        self.statements = WorkerStatements(ports.statements, notices, log, metrics, self.paces)
        requests = RequestBytes(lambda: request_bytes_share(fleet.share_member_count()))
        self.statistics = WorkerStatisticsTable(notices, requests)
        self.availability = WorkerAvailability(mirror.workers, self.statistics)
        self.limits = WorkerLimits(
            mirror, fleet, self.statements.limits, self.statements.brittleness, self.statistics
        )
        self.health = WorkerHealth(
            mirror, self.statistics, log, metrics, fleet.local_zone, random_source
        )
        offset = probation_offset(fleet.local_name)
        self.crash_watch = CrashWatch(self.statistics, log, metrics, offset)
        self.links = LinkMonitor(mirror, LinkHealth(), log, metrics, random_source)
        self.relay = RelayClient(fleet, peers, notices, log, metrics)
        self.relays = RelayServer(
            mirror,
            client,
            self.availability,
            self.statements,
            self.links,
            ports.calls,
            log,
            metrics,
            lambda: fleet.local_phase == Phase.SERVING,
        )
        client.links = self.links
        client.relay = self.relay
        self.crash_watch.relay = self.relay

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove what is known of workers that are no longer listed."""
        self.statistics.retain_only(worker_ids)
        self.health.retain_only(worker_ids)
        self.relay.retain_only(worker_ids)
        self.statements.limits.retain_only(worker_ids)
        self.statements.brittleness.retain_only(worker_ids)
        self.limits.retain_only(worker_ids)
        self.paces.retain_only(worker_ids)
        self.statements.notices.update_listed(worker_ids, clock.now())

    def apply_partition(self) -> None:
        """Apply that a partition from all workers began or ended.

        Failures that were recorded shortly before and during a partition say nothing about the
        workers.
        """
        self._fleet.local_partitioned = self.links.health.partitioned
        self._client.drop_all_idle()
        self.statistics.forget_failures()
        self.health.forget_local_outcomes()
