"""Sends heartbeats to the other gateways and applies the ones received from them."""

import asyncio
import random
from collections.abc import Callable

from msgspec.structs import replace

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import PrefixPart
from corkcrank.contracts.zone_evacuations import ZoneState
from corkcrank.links.datagrams import DatagramLink, send_in_groups
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet import RUN_RECORD_SECONDS, Fleet
from corkcrank.machines.heartbeat import CallLoad, Heartbeat, Phase, SentPrefix, ServiceBacklog
from corkcrank.machines.heartbeat_codec import decode_heartbeat, encode_heartbeat
from corkcrank.machines.members import Member
from corkcrank.machines.store_contact import ReportedStoreContact, StoreContact, newest_contact
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_changes import WorkerChangeBatch, usable_changes
from corkcrank.node.engines.prompt_queues import PromptQueues
from corkcrank.node.stages.stage_owner import StageOwner
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.node.workers.worker_health import WorkerHealth
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.scheduling.engine_choice import EngineChooser
from corkcrank.scheduling.forecast_bias import ForecastBias
from corkcrank.scheduling.peer_loads import PeerLoads
from corkcrank.scheduling.recent_prefixes import RecentPrefixes
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

INCARNATION_BITS = 32
"""Size of the random number that distinguishes a process from its predecessor at its address."""

HEARTBEAT_JITTER = (0.9, 1.1)
"""Bounds of the random factor of the heartbeat interval: keeps members from synchronizing."""

MIN_URGENT_SPREAD_SECONDS = 0.1
"""Minimum time over which the start or stop of this gateway is sent to the whole fleet."""

MAX_URGENT_BYTES_PER_SECOND = 100_000.0
"""Maximum send rate for a start or stop: the links of small machines are slow."""

UPDATE_FANOUT = 8
"""Members to which each member forwards an update that is new to it."""

MAX_UPDATE_BYTES_PER_SECOND = 12_000.0
"""Maximum send rate for forwarded updates; updates that arrive meanwhile are sent together."""

MIN_UPDATE_INTERVAL_SECONDS = 0.05
"""Minimum time between two forwardings."""

MIN_SUSPENSION_SECONDS = RUN_RECORD_SECONDS
"""Smaller differences between the two clocks from one check to the next are ignored."""

MAX_CALL_LOADS = 128
"""Workers whose calls in flight one heartbeat reports."""


class HeartbeatLoop:
    """Reports this gateway's state to the fleet and applies what the others report.

    ``on_newer_configuration`` is called when a member has one, ``on_suspended`` with the
    seconds for which the machine was suspended, ``on_suspected`` with a member that is silent,
    ``on_other_datagram`` with what is not a heartbeat. ``claimed_backlogs`` returns the pieces of
    the claims that are kept here.
    """

    def __init__(
        self,
        fleet: Fleet,
        mirror: StoreMirror,
        stage_owner: StageOwner,
        prompt_queues: PromptQueues,
        worker_statistics: WorkerStatisticsTable,
        log: DecisionLog,
        random_source: random.Random,
        engines: EngineChooser,
        recent_prefixes: RecentPrefixes,
        forecast_bias: ForecastBias,
        health: WorkerHealth,
        crash_watch: CrashWatch,
        statements: WorkerStatements,
    ) -> None:
        self._health = health
        self._crash_watch = crash_watch
        self._statements = statements
        self._forecast_bias = forecast_bias
        self._engines = engines
        self._recent_prefixes = recent_prefixes
        self._fleet = fleet
        self._mirror = mirror
        self._stage_owner = stage_owner
        self._prompt_queues = prompt_queues
        self._worker_statistics = worker_statistics
        self._log = log
        self._random = random_source
        self._loads = PeerLoads(worker_statistics)
        self._incarnation = random_source.getrandbits(INCARNATION_BITS)
        self._link = DatagramLink(self._receive)
        self.on_other_datagram: Callable[[bytes], None] = lambda data: None
        self.claimed_backlogs: Callable[[float], tuple[ServiceBacklog, ...]] = lambda now: ()
        self.on_newer_configuration: Callable[[], None] = lambda: None
        self.on_suspected: Callable[[str], None] = lambda member: None
        self._urgent_requested = asyncio.Event()
        self.on_suspended: Callable[[float], None] = lambda seconds: None
        self._forwarding_requested = asyncio.Event()

    async def open(self) -> None:
        """Bind the datagram address."""
        await self._link.open(self._fleet.local_address)

    def close(self) -> None:
        """Stop sending and receiving."""
        self._link.close()

    def send_datagram(self, data: bytes, address: str) -> None:
        """Send a member something else than a heartbeat."""
        self._link.send(data, address)

    async def send_loop(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            now = clock.now()
            self._fleet.is_owner = self._stage_owner.backlog.use.used_recently(
                now
            ) or self._prompt_queues.owner.use.used_recently(now)
            audience = self._fleet.heartbeat_addresses(now)
            seconds = self._fleet.heartbeat_interval() * self._random.uniform(*HEARTBEAT_JITTER)
            await send_in_groups(self._link, self._encode_heartbeat, audience, seconds)
            self._discard_suspected_peers()

    async def watch_pauses(self) -> None:
        """Record periodically that this process runs, to detect its own pauses and suspensions."""
        meter = clock.SuspensionMeter()
        while True:
            paused = self._fleet.record_running(clock.now())
            if paused:
                self._log.write(LogEvent.PROCESS_PAUSED, seconds=round(paused, 3))
            suspended = meter.measure()
            if suspended > MIN_SUSPENSION_SECONDS:
                self.on_suspended(suspended)
            await asyncio.sleep(RUN_RECORD_SECONDS)

    def request_urgent_send(self) -> None:
        """Request an immediate heartbeat to all members, beside the scheduled ones."""
        self._urgent_requested.set()

    async def send_urgent_heartbeats(self) -> None:
        """Send the requested immediate heartbeats to all members, until cancelled."""
        while True:
            await self._urgent_requested.wait()
            self._urgent_requested.clear()
            audience = self._fleet.heartbeat_addresses(clock.now())
            total_bytes = len(audience) * self._fleet.heartbeat_bytes
            seconds = max(MIN_URGENT_SPREAD_SECONDS, total_bytes / MAX_URGENT_BYTES_PER_SECOND)
            await send_in_groups(self._link, self._encode_heartbeat, audience, seconds)

    def request_forwarding(self) -> None:
        """Request that an update is sent to some members, which forward it to others."""
        self._forwarding_requested.set()

    async def forward_updates(self) -> None:
        """Forward updates until cancelled, within a limit on the send rate.

        A member that receives an update for the first time forwards it to a few random others.
        The update reaches nearly all members within a few steps at any fleet size, and the cost
        per member is the same. Heartbeats, which carry the newest state, reach the rest.
        """
        while True:
            await self._forwarding_requested.wait()
            self._forwarding_requested.clear()
            audience = self._fleet.heartbeat_addresses(clock.now())
            chosen = self._random.sample(audience, min(UPDATE_FANOUT, len(audience)))
            data = self._encode_heartbeat()
            for address in chosen:
                self._link.send(data, address)
            send_seconds = len(chosen) * len(data) / MAX_UPDATE_BYTES_PER_SECOND
            await asyncio.sleep(max(MIN_UPDATE_INTERVAL_SECONDS, send_seconds))

    def probe_member(self, name: str) -> None:
        """Send a probe to a member that this one waits for, unless it sent something just now."""
        address = self._fleet.address_to_probe(name, clock.now())
        if address is not None:
            heartbeat = self._build_heartbeat(clock.now())
            self._link.send(encode_heartbeat(replace(heartbeat, probe=True)), address)

    def _encode_heartbeat(self) -> bytes:
        data = encode_heartbeat(self._build_heartbeat(clock.now()))
        self._fleet.observe_heartbeat_length(len(data))
        return data

    def _build_heartbeat(self, now: float) -> Heartbeat:
        calls = [
            CallLoad(worker_id, statistics.in_flight, statistics.reading)
            for worker_id, statistics in self._worker_statistics.items()
            if statistics.in_flight
        ]
        return Heartbeat(
            name=self._fleet.local_name,
            incarnation=self._incarnation,
            zone=self._fleet.local_zone,
            address=self._fleet.local_address,
            phase=self._fleet.local_phase,
            interval=self._fleet.heartbeat_interval(),
            configuration_version=self._mirror.version,
            configuration_contact=self._store_contact(StoreTable.CONFIGURATION, now),
            workers_revision=self._mirror.workers.revision,
            workers_contact=self._store_contact(StoreTable.WORKERS, now),
            worker_changes=self._mirror.recent_changes.current_batch(now),
            stage_loads=self._stage_owner.stage_loads(now),
            call_loads=tuple(calls[:MAX_CALL_LOADS]),
            backlogs=tuple(
                ServiceBacklog(service, rank, pieces, rate)
                for service, rank, pieces, rate in self._stage_owner.backlog.counts_with_rates(now)
            )
            + self.claimed_backlogs(now),
            prefixes=self._recent_prefixes.prefixes_to_report(
                now, self._fleet.heartbeat_interval()
            ),
            forecast_ratios=self._forecast_bias.measurements_to_report(now),
            strength=self._fleet.local_strength,
            outcomes=() if self._fleet.local_partitioned else self._health.outcomes_to_report(now),
            trials=self._crash_watch.quarantine.trial_reports(
                now, self._fleet.heartbeat_interval()
            ),
            zone_states=self._mirror.evacuations.states_to_report(),
            limits=self._statements.limits.reports_for_peers(now),
            crashes=self._crash_watch.quarantine.crash_reports(
                now, self._fleet.heartbeat_interval()
            ),
            leaves=self._statements.leaves_to_report(self._mirror.workers.records()),
            backoffs=self._statements.notices.backoffs_for_peers(now),
            partitioned=self._fleet.local_partitioned,
            brittle=self._statements.brittleness.reports_for_peers(now),
            prompt_loads=self._prompt_queues.loads(),
            paces=self._statements.paces.reports_for_peers(
                now, self._fleet.heartbeat_interval(), self._fleet.known_member_count()
            ),
        )

    def _store_contact(self, table: StoreTable, now: float) -> ReportedStoreContact:
        """Return the newest contact with the store, this member's or one reported by a peer."""
        own = self._mirror.store_contacts.get(table, StoreContact())
        return newest_contact(own, self._fleet.store_contact(table)).to_report(now)

    def _receive(self, data: bytes) -> None:
        """Apply a received heartbeat, and answer a probe."""
        heartbeat = decode_heartbeat(data)
        if heartbeat is None:
            self.on_other_datagram(data)
            return
        now = clock.now()
        if heartbeat.probe:
            self._link.send(self._encode_heartbeat(), heartbeat.address)
        before = self._fleet.member(heartbeat.name)
        if self._fleet.apply_heartbeat(heartbeat, now):
            self._record_restart(before)
            self._log.write(
                LogEvent.MEMBER_JOINED,
                member=heartbeat.name,
                zone=heartbeat.zone,
                version=heartbeat.configuration_version,
            )
        if heartbeat.worker_changes is not None:
            self._apply_worker_changes(heartbeat.worker_changes, heartbeat.name, now)
        self._mirror.revisions.record_peer_revision(heartbeat.name, heartbeat.workers_revision)
        if heartbeat.zone_states:
            self._apply_zone_states(heartbeat.zone_states, heartbeat.name)
        self._loads.apply_peer_report(heartbeat.name, heartbeat.call_loads)
        self._forecast_bias.apply_peer_report(heartbeat.name, heartbeat.forecast_ratios, now)
        if heartbeat.partitioned:
            self._health.discard_peer(heartbeat.name)
        else:
            self._health.apply_peer_report(heartbeat.name, heartbeat.zone, heartbeat.outcomes)
        self._crash_watch.apply_trial_reports(heartbeat.trials)
        self._crash_watch.apply_reports(heartbeat.crashes, heartbeat.name)
        self._statements.apply_reports(heartbeat.limits, heartbeat.name)
        self._statements.apply_brittleness_reports(heartbeat.brittle, heartbeat.name)
        self._statements.apply_leave_reports(heartbeat.leaves, heartbeat.name)
        self._statements.apply_backoff_reports(heartbeat.backoffs, heartbeat.name)
        self._statements.paces.apply_peer_reports(heartbeat.paces, self._service_of, now)
        if heartbeat.configuration_version > self._mirror.version:
            self.on_newer_configuration()
        for prefix in heartbeat.prefixes:
            self._apply_prefix(prefix, now)

    def _service_of(self, worker_id: str) -> str | None:
        worker = self._mirror.workers.get(worker_id)
        return worker.service if worker is not None else None

    def _record_restart(self, before: Member | None) -> None:
        """Record that a member was restarted: without a leave message before, it had crashed."""
        if before is not None and before.heartbeat.phase != Phase.LEAVING:
            self._crash_watch.record_member_unreachable(before.heartbeat.name, before.received_at)

    def _apply_worker_changes(self, batch: WorkerChangeBatch, name: str, now: float) -> None:
        newest = batch.newest_revision
        if newest <= self._mirror.workers.revision or not self._mirror.revisions.accepts(newest):
            return
        usable = usable_changes(batch)
        if not self._mirror.apply_worker_changes(usable, f"peer {name}"):
            return
        # Incomplete changes are not forwarded: the next member may take them as all changes.
        if self._mirror.workers.revision >= batch.revision:
            self._mirror.recent_changes.add_batch(usable, now)
            self.request_forwarding()

    def _apply_zone_states(self, states: tuple[ZoneState, ...], name: str) -> None:
        accepts = self._mirror.revisions.accepts
        accepted = tuple(state for state in states if accepts(state.revision))
        if self._mirror.apply_zone_states(accepted, f"peer {name}"):
            self.request_forwarding()

    def _apply_prefix(self, prefix: SentPrefix, now: float) -> None:
        worker = self._mirror.workers.get(prefix.worker_id)
        if worker is None:
            return
        profile = self._mirror.profile(worker.service)
        if profile is None or profile.engine is None:
            return
        parts = [PrefixPart(part_id, tokens) for part_id, tokens in prefix.parts]
        self._engines.record_sent(prefix.worker_id, profile.engine.cache_tokens, parts, now)

    def _discard_suspected_peers(self) -> None:
        now = clock.now()
        for name in self._loads.peers():
            if self._fleet.is_suspected(name, now):
                self._loads.remove_peer(name)
                self._forecast_bias.discard_peer(name)
                self._health.discard_peer(name)
                self.on_suspected(name)
                member = self._fleet.member(name)
                age = now - member.received_at if member is not None else None
                self._log.write(LogEvent.MEMBER_SUSPECTED, member=name, silent=age)
                if member is not None and member.heartbeat.phase != Phase.LEAVING:
                    self._crash_watch.record_member_unreachable(name, member.received_at)
