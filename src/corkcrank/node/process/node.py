"""Connects the components of one gateway for opaque calls, and starts, drains and stops it."""

import asyncio
import random
from functools import partial

from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeSettings
from corkcrank.contracts.process_life import ProcessLife, ProcessState, ProcessTrigger
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.listener_state import ListenerState, connection_limit
from corkcrank.links.platform_ports import PlatformPorts, StoreTable
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.heartbeat import Phase
from corkcrank.machines.store_followers import StoreFollowerElection
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.callers.caller_server import CallerServer
from corkcrank.node.callers.drain import CallerDrain
from corkcrank.node.callers.listener_report import NodeListenerReport
from corkcrank.node.calls.services import CallServices
from corkcrank.node.engines.engine_owner import EngineOwner
from corkcrank.node.engines.prefill_client import PrefillGrantClient
from corkcrank.node.ingress.call_handler import CallHandler
from corkcrank.node.limits.limit_grants import LimitGrantClient, LimitOwner
from corkcrank.node.limits.worker_leases import WorkerLeases
from corkcrank.node.membership.heartbeats import HeartbeatLoop
from corkcrank.node.membership.peer_pulls import PeerPulls
from corkcrank.node.membership.peer_server import PeerServer, serve_readiness
from corkcrank.node.membership.quarantine_rows import QuarantineRows
from corkcrank.node.origins.origin_directory import OriginDirectory
from corkcrank.node.peers.peer_client import PeerClient
from corkcrank.node.process.background import (
    BackgroundLoops,
    become_ready,
    measure_loop_lag,
    register_member,
    wait_for_pending_releases,
)
from corkcrank.node.process.datagrams import connect_datagrams
from corkcrank.node.process.feature_switches import apply_features
from corkcrank.node.process.state_collector import StateCollector
from corkcrank.node.process.state_dump import NodeDump, build_dump
from corkcrank.node.process.work_for_peers import WorkForPeers
from corkcrank.node.process.worker_access import WorkerAccess
from corkcrank.node.returns.return_offers import ReturnOffers
from corkcrank.node.stages.stage_dispatch import StageDispatch
from corkcrank.node.stages.stage_owner import StageOwner
from corkcrank.node.stages.stage_worker_client import StageWorkerClient
from corkcrank.node.telemetry.capacity_log import CapacityLog
from corkcrank.node.telemetry.foreign_answer_log import ForeignAnswerLog
from corkcrank.node.telemetry.listener_log import ListenerLog
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.telemetry.oversize_log import account_received_bytes
from corkcrank.node.telemetry.silence_log import SilenceLog
from corkcrank.node.telemetry.unreadable_log import UnreadableLog
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.scheduling.engine_choice import EngineChooser
from corkcrank.scheduling.prefill_pace import PrefillPace


class Node:
    """One gateway for opaque calls, with all of its components."""

    def __init__(
        self,
        settings: NodeSettings,
        ports: PlatformPorts,
        log: DecisionLog,
        random_source: random.Random,
    ) -> None:
        process = settings.process
        self._settings = settings
        self._ports = ports
        self._log = log
        self.life = ProcessLife()
        self.fleet = Fleet(
            process.name, process.zone, process.peer_address, settings.limits.processor_capacity
        )
        self._election = StoreFollowerElection(self.fleet, settings.bounds.min_reaction_seconds)
        self.mirror = StoreMirror(ports.store, ports.documents, log, random_source, self._election)
        self.mirror.on_change = self._on_mirror_change
        self._capacity_log = CapacityLog(self.mirror, log)
        self._engines = EngineChooser()
        metrics = NodeMetrics()
        silence, foreign = SilenceLog(log, metrics), ForeignAnswerLog(log, metrics)
        ports.store.on_silence = silence.record_dropped
        self._unreadable = UnreadableLog(log, metrics).record_unreadable
        self.mirror.entry_reader.on_unreadable = self._unreadable
        received = ports.store.received = account_received_bytes(settings.limits, log, metrics)
        self._client = WorkerClient(silence.record_dropped, received, foreign.record)
        self._peers = PeerClient(silence.record_dropped, received)
        access = WorkerAccess(
            ports, self.mirror, self.fleet, self._client, self._peers, log, metrics, random_source
        )
        access.relay.on_silence = silence.record_dropped
        self._access, self.links, self._statements = access, access.links, access.statements
        self._worker_statistics, availability = access.statistics, access.availability
        limits, self._health, self.crash_watch = access.limits, access.health, access.crash_watch
        self.stage_owner = StageOwner(
            self.mirror,
            self._worker_statistics,
            availability,
            StageWorkerClient(ports.stages, self._client, availability, self._statements),
            limits,
            log,
            access.paces,
        )
        dispatch = StageDispatch(
            self.mirror,
            self.fleet,
            self._worker_statistics,
            self.stage_owner,
            self._peers,
            random_source,
        )
        leases = WorkerLeases(self.fleet, limits, self._peers)
        limit_owner = LimitOwner(self.mirror, availability, limits, self._statements)
        limit_grants = LimitGrantClient(
            self.fleet, limit_owner, limits, self._statements, leases, self._peers, log
        )
        self._origins = OriginDirectory(self.fleet, self._peers, self.mirror, ports.store, log)
        pace = PrefillPace()
        engine_owner = EngineOwner(
            self.mirror, self._engines, self._worker_statistics, limits, self._statements, pace
        )
        prefill_grants = PrefillGrantClient(
            self.mirror,
            self.fleet,
            engine_owner,
            self._peers,
            availability,
            limits,
            self._statements,
            leases,
            log,
        )
        self.stage_owner.on_outcome = self._health.record_outcome
        self.services = CallServices(
            ports=ports,
            mirror=self.mirror,
            fleet=self.fleet,
            worker_statistics=self._worker_statistics,
            availability=availability,
            engines=self._engines,
            dispatch=dispatch,
            prefill_grants=prefill_grants,
            prefill_pace=pace,
            health=self._health,
            crash_watch=self.crash_watch,
            limits=limits,
            limit_grants=limit_grants,
            leases=leases,
            statements=self._statements,
            client=self._client,
            links=self.links,
            origins=self._origins,
            return_offers=ReturnOffers(self.fleet, dispatch, self._peers, log, metrics),
            log=log,
            metrics=metrics,
            random=random_source,
            zone=process.zone,
            bounds=settings.bounds,
            paces=access.paces,
            record_silence=silence.record_dropped,
        )
        apply_features(ports.features(settings.scheduling), self.services, self.stage_owner)
        self.stage_owner.room.on_unreadable = self._unreadable
        self.stage_owner.on_release = self.services.metrics.record_release
        self.services.metrics.registry.register(StateCollector(self.services, self.stage_owner))
        self.services.apply_limits(settings.limits)
        self.call_handler = CallHandler(self.services)
        self.listener_state = ListenerState(
            connection_limit(settings.limits), lambda: self.life.state == ProcessState.SERVING
        )
        self.callers = CallerServer(
            self.call_handler.handle,
            self.call_handler.limits,
            self.listener_state,
            NodeListenerReport(log, self.services.metrics),
            self.services.readers,
        )
        self.services.metrics.connections.set_function(lambda: self.listener_state.open_connections)
        self.callers.on_silence = silence.record_dropped
        self.heartbeats = HeartbeatLoop(
            self.fleet,
            self.mirror,
            self.stage_owner,
            self.services.prompt_queues,
            self._worker_statistics,
            log,
            random_source,
            self._engines,
            self.services.recent_prefixes,
            self.services.forecast_bias,
            self._health,
            self.crash_watch,
            self._statements,
        )
        self._pulls = PeerPulls(self.fleet, self.mirror, self._peers, self.crash_watch, log)
        self._pulls.on_adopted = self.heartbeats.request_forwarding
        self.heartbeats.on_newer_configuration = self._pulls.request_pull
        self.crash_watch.on_update = self.heartbeats.request_forwarding
        self._statements.on_update = self.heartbeats.request_forwarding
        self._statements.on_leave = self.stage_owner.apply_worker_changes
        self._quarantine_rows = QuarantineRows(
            ports.store, self.mirror, self.fleet, self._election, self.crash_watch, log
        )
        self.heartbeats.on_suspended = self._on_suspension
        connect_datagrams(self.heartbeats, self._origins, self.services.return_offers.keeper)
        self.mirror.on_store_change = self.heartbeats.request_forwarding
        dispatch.owner_client.on_waiting = self.heartbeats.probe_member
        prefill_grants.on_silence = self.heartbeats.probe_member
        limit_grants.on_silence = self.heartbeats.probe_member
        access.relay.on_waiting = self.heartbeats.probe_member
        self.heartbeats.on_suspected = access.relay.drop_member
        self.links.on_partition = self._on_partition
        self._peer_server = PeerServer(
            self.stage_owner,
            self.services.prompt_queues,
            limit_owner,
            access.relays,
            self.mirror,
            self.crash_watch,
            self._origins,
            self.services.return_offers.keeper,
            self.services.metrics.registry,
            self.dump,
        )
        self._peer_server.on_silence = silence.record_dropped
        self._readiness: web.ServerRunner | None = None
        self._loops = BackgroundLoops(log)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer may send callers to this gateway."""
        return self.listener_state.ready

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the bounds and limits of a changed settings file."""
        self._settings = settings
        self._election.shortest_bound = settings.bounds.min_reaction_seconds
        self.services.apply_bounds(settings.bounds)
        apply_features(self._ports.features(settings.scheduling), self.services, self.stage_owner)
        self.listener_state.connection_limit = connection_limit(settings.limits)
        self.services.apply_limits(settings.limits)

    def dump(self) -> NodeDump:
        """Return the state dump for ``/dump``."""
        return build_dump(self.services, self.stage_owner, self.life.state, self.callers.in_flight)

    async def start(self) -> None:
        """Open the servers for peers, readiness and callers, then start the background loops."""
        process, limits = self._settings.process, self._settings.limits
        self._log.write(LogEvent.STARTED, name=process.name, zone=process.zone)
        self.fleet.add_addresses(self._settings.seed_addresses, clock.now())
        report = partial(ListenerLog, self._log, self.services.metrics)
        await self._peer_server.start(process.peer_addresses, limits, report)
        await self.heartbeats.open()
        self._readiness = await serve_readiness(
            process.readiness_address, self._ports.ready_path, lambda: self.ready, limits, report
        )
        await self.callers.start(process.caller_address)
        self._loops.start(
            self.mirror.follow_table(StoreTable.CONFIGURATION),
            self.mirror.follow_table(StoreTable.WORKERS),
            self.heartbeats.watch_pauses(),
            self.heartbeats.send_loop(),
            self.heartbeats.send_urgent_heartbeats(),
            self.heartbeats.forward_updates(),
            self._pulls.pull_periodically(),
            register_member(
                process, self._ports.store, self.fleet, self.heartbeats, self._unreadable
            ),
            become_ready(self.mirror, self.life, self.fleet, self._log),
            measure_loop_lag(self.services.metrics, self.fleet),
            self._health.evaluate_periodically(),
            self.links.check_links(),
            self._quarantine_rows.keep_rows_current(),
            self._origins.repeat_reports(),
            self._origins.software.keep_rows_current(),
            self._origins.rows.keep_row_current(),
        )

    async def stop(self, signalled_at: float | None = None) -> None:
        """Drain, then close everything.

        ``signalled_at`` is the time of the signal on the clock of :mod:`clock`, by default now.
        """
        await self._drain(clock.now() if signalled_at is None else signalled_at)
        self.services.closing_connections = True
        await asyncio.gather(self.callers.stop(), self._peer_server.stop())
        await wait_for_pending_releases(self.services.dispatch.owner_client, self.stage_owner.room)
        await self.stage_owner.close()
        await self.crash_watch.close()
        await self.services.liveness.close()
        await self._loops.stop()
        self.heartbeats.close()
        if self._readiness is not None:
            await self._readiness.cleanup()
        await self._client.close()
        await self._access.relay.close()
        await self._peers.close()
        self._log.write(LogEvent.STOPPED)
        self._log.flush()

    def _on_suspension(self, seconds: float) -> None:
        """Drop all idle connections after a suspension of the machine; ages include its time."""
        dropped = sum(one.drop_all_idle() for one in (self._client, self._peers, self._ports.store))
        self.services.metrics.suspensions.inc()
        self._log.write(
            LogEvent.MACHINE_SUSPENDED, seconds=round(seconds, 3), connections_dropped=dropped
        )

    def _on_partition(self) -> None:
        self._access.apply_partition()
        self.heartbeats.request_urgent_send()

    def _on_mirror_change(self) -> None:
        self.services.metrics.configuration_version.set(self.mirror.version)
        self._capacity_log.log_changes()
        listed = {record.worker_id for record in self.mirror.workers.records()}
        self._access.retain_only(listed)
        self._engines.retain_only(listed)
        self.services.prompt_queues.retain_only(listed)
        self.mirror.warming.retain_only(listed)
        self.stage_owner.apply_worker_changes()

    async def _drain(self, signalled_at: float) -> None:
        """Finish the calls in flight within the grace period, then accept no more."""
        started_at = clock.now()
        self.life.fire(ProcessTrigger.DRAIN)
        self.fleet.local_phase = Phase.LEAVING
        self.heartbeats.request_urgent_send()
        self._log.write(
            LogEvent.STOPPING,
            in_flight=self.callers.in_flight,
            grace=self._settings.bounds.grace,
            signal_age=round(started_at - signalled_at, 3),
        )
        schedule = self.services.begin_drain(signalled_at)
        work = WorkForPeers(self.stage_owner, self._access.relays)
        await CallerDrain(self.callers, self.call_handler.open_calls, work).run(schedule)
        self.life.fire(ProcessTrigger.STOP)
        self._log.write(
            LogEvent.DRAINED,
            in_flight=self.callers.in_flight,
            seconds=round(clock.now() - started_at, 3),
        )
