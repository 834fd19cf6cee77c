"""Tracks the member gateways: which are alive, their zones, and which owns a stage worker.

Members send each other heartbeats by datagram. There is no coordinator: two members may
disagree for about a second, and everything built on this view tolerates that. Does no I/O:
callers pass the time.
"""

from collections.abc import Callable, Iterable

from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet_view import FleetView
from corkcrank.machines.heartbeat import Heartbeat, Phase
from corkcrank.machines.heartbeat_rate import HEARTBEAT_SECONDS, HeartbeatRate
from corkcrank.machines.members import REMOVE_AFTER_SECONDS, Member
from corkcrank.machines.store_contact import StoreContact, merge_reported_contact

RUN_RECORD_SECONDS = 0.1
"""Interval at which this process records that it is running. Less than half a heartbeat's
interval, so that a slightly late record does not count as a pause."""

MIN_PROCESS_PAUSE_SECONDS = HEARTBEAT_SECONDS
"""A longer time without such a record is a pause of this process. A pause counts as one missed
heartbeat of each member, so that a process that pauses repeatedly still suspects a dead member."""

MIN_FLEET_MEMBERS = 4
"""Fleet size assumed for shares while fewer members are known, e.g. right after a start."""

_NEVER = float("-inf")


class Fleet:
    """Every gateway that this one knows.

    ``is_owner`` is set while this gateway owns queues or engines of its zone. It may then
    send heartbeats more often, since other members choose workers and admit calls by its reports.
    """

    def __init__(
        self, local_name: str, local_zone: str, local_address: str, local_strength: float = 0.0
    ) -> None:
        self.local_name = local_name
        self.local_strength = local_strength
        self.local_zone = local_zone
        self.local_address = local_address
        self.is_owner = False
        self._local_phase = Phase.STARTING
        self._local_partitioned = False
        self._members: dict[str, Member] = {}
        self._pending_addresses: dict[str, float] = {}
        self._heartbeat_rate = HeartbeatRate()
        self._store_contacts: dict[StoreTable, StoreContact] = {}
        self._view = FleetView(valid_until=_NEVER)
        self._highest_version = 0
        self._highest_revision = 0
        self._last_ran_at: float | None = None
        self._pause_seconds = 0.0

    @property
    def local_phase(self) -> Phase:
        """Return the phase of this member."""
        return self._local_phase

    @local_phase.setter
    def local_phase(self, phase: Phase) -> None:
        self._local_phase = phase
        self._invalidate_view()

    @property
    def local_partitioned(self) -> bool:
        """Return whether this member reaches no worker."""
        return self._local_partitioned

    @local_partitioned.setter
    def local_partitioned(self, partitioned: bool) -> None:
        self._local_partitioned = partitioned
        self._invalidate_view()

    def add_addresses(self, addresses: Iterable[str], now: float) -> None:
        """Add addresses, from seeds or the store, of members that sent no heartbeat yet."""
        known_addresses = {member.heartbeat.address for member in self._members.values()}
        for address in addresses:
            if address != self.local_address and address not in known_addresses:
                self._pending_addresses[address] = now

    def record_running(self, now: float) -> float:
        """Record that this process runs; return the seconds of its pauses since the last call.

        A paused process receives no heartbeats, and after the pause its timers may run before
        the heartbeats that arrived meanwhile are read. Without these records the whole silence
        counts against each member.
        """
        if self._last_ran_at is None:
            self._last_ran_at = now
        self._exclude_pause(now)
        paused, self._pause_seconds = self._pause_seconds, 0.0
        return paused

    def _exclude_pause(self, now: float) -> None:
        """Exclude a pause of this process that has just ended from the members' silence.

        Each query of the members' state calls this first, as any of them may be the first
        after a pause.
        """
        if self._last_ran_at is None or now <= self._last_ran_at:
            return
        gap, self._last_ran_at = now - self._last_ran_at, now
        if gap <= MIN_PROCESS_PAUSE_SECONDS:
            return
        self._pause_seconds += gap
        for member in self._members.values():
            if not member.is_suspected(now - gap):
                member.exclude_pause(gap - MIN_PROCESS_PAUSE_SECONDS)

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a heartbeat; return whether its sender is new or has restarted."""
        self._exclude_pause(now)
        if heartbeat.name == self.local_name:
            return False
        self._pending_addresses.pop(heartbeat.address, None)
        known = self._members.get(heartbeat.name)
        member = self._members[heartbeat.name] = Member(heartbeat, now)
        for table in (StoreTable.CONFIGURATION, StoreTable.WORKERS):
            contact = merge_reported_contact(
                self.store_contact(table), member.store_contact(table), now
            )
            self._store_contacts[table] = contact
        self._highest_version = max(self._highest_version, heartbeat.configuration_version)
        self._highest_revision = max(self._highest_revision, heartbeat.workers_revision)
        joined = known is None or known.heartbeat.incarnation != heartbeat.incarnation
        self._update_view(known, member, joined=joined)
        return joined

    def _update_view(self, known: Member | None, received: Member, *, joined: bool) -> None:
        """Keep the view if a live member reports the same state as before, else invalidate it."""
        if (
            joined
            or known is None
            or known.heartbeat.phase != received.heartbeat.phase
            or known.heartbeat.partitioned != received.heartbeat.partitioned
            or received.heartbeat.name not in self._view.live
        ):
            self._invalidate_view()
        else:
            self._view.replace_heartbeat(known, received)

    def _invalidate_view(self) -> None:
        self._view.valid_until = _NEVER

    def mark_suspected(self, name: str) -> None:
        """Suspect a member after a connection failure, until its next heartbeat."""
        member = self._members.get(name)
        if member is not None:
            member.mark_suspected()
            self._invalidate_view()

    def member(self, name: str) -> Member | None:
        """Return a member that has sent a heartbeat, or ``None``."""
        return self._members.get(name)

    def is_suspected(self, name: str, now: float) -> bool:
        """Return whether a member is suspected, or is not known at all."""
        self._exclude_pause(now)
        member = self._members.get(name)
        return member is None or member.is_suspected(now)

    def zone_of(self, name: str) -> str:
        """Return the zone of a member; the local zone for this or an unknown member."""
        member = self._members.get(name)
        return member.heartbeat.zone if member is not None else self.local_zone

    def store_confirmed_at(self, table: StoreTable) -> float:
        """Return when the store last answered another member about a table."""
        return self.store_contact(table).received_at

    def store_contact(self, table: StoreTable) -> StoreContact:
        """Return the newest answer of the store that another member reported."""
        return self._store_contacts.get(table, StoreContact())

    def address_to_probe(self, name: str, now: float) -> str | None:
        """Return the address of a silent member that was not just probed, and record a probe.

        Heartbeats are rare in a large fleet. Members that wait for an answer of another probe
        it, so its failure is detected after the same time whatever the fleet's size.
        """
        self._exclude_pause(now)
        member = self._members.get(name)
        if member is None or not member.may_be_probed(now):
            return None
        member.record_probe(now)
        self._view.limit_validity(member)
        return member.heartbeat.address

    def live_members(self, now: float) -> list[Member]:
        """Return the other members that are not suspected."""
        return list(self.view(now).live.values())

    def has_relay_members(self, now: float) -> bool:
        """Return whether any other serving member reaches workers."""
        reaching = self.view(now).all_reaching
        return len(reaching) > 1 or (bool(reaching) and reaching[0] != self.local_name)

    def all_partitioned(self, now: float) -> bool:
        """Return whether other members serve, and none of all members reaches a worker."""
        view = self.view(now)
        return len(view.all_serving) > 1 and not view.all_reaching

    def relay_members(self, now: float) -> list[Member]:
        """Return the other serving members that reach workers."""
        view = self.view(now)
        return [view.live[name] for name in view.all_reaching if name != self.local_name]

    def heartbeat_addresses(self, now: float) -> list[str]:
        """Return the addresses that heartbeats go to; removes members that were silent too long."""
        self._exclude_pause(now)
        for name in [key for key, item in self._members.items() if item.should_be_removed(now)]:
            del self._members[name]
            self._invalidate_view()
        for address in [
            key for key, at in self._pending_addresses.items() if now - at > REMOVE_AFTER_SECONDS
        ]:
            del self._pending_addresses[address]
        member_addresses = [member.heartbeat.address for member in self._members.values()]
        return member_addresses + list(self._pending_addresses)

    def heartbeat_interval(self) -> float:
        """Return the seconds between heartbeats; grows with the fleet and the heartbeat length."""
        receivers = len(self._members) + len(self._pending_addresses)
        return self._heartbeat_rate.interval(receivers, is_owner=self.is_owner)

    @property
    def heartbeat_bytes(self) -> float:
        """Return the average length of the heartbeats sent here, in bytes."""
        return self._heartbeat_rate.bytes

    def observe_heartbeat_length(self, length: int) -> None:
        """Update the average length of the heartbeats with one that was sent, in bytes."""
        self._heartbeat_rate.observe_length(length)

    def share_member_count(self) -> int:
        """Return the number of members that shares are divided by; silent members count."""
        return max(MIN_FLEET_MEMBERS, len(self._members) + 1)

    def known_member_count(self) -> int:
        """Return the number of known gateways; those that sent no heartbeat yet count."""
        return max(MIN_FLEET_MEMBERS, len(self._members) + len(self._pending_addresses) + 1)

    def zone_owner(self, zone: str, key: str, now: float) -> str:
        """Return the member that decides about a key in a zone.

        The owner is a serving member of the zone. If the zone has none, or is empty, it is any
        serving member.
        """
        return self.view(now).owner(zone, key) or self.local_name

    def is_silent(self, zone: str, now: float) -> bool:
        """Return whether a zone has members, all of which are suspected."""
        return self.view(now).is_silent(zone)

    def reported_backlog(self, service: str, rank: tuple[int, int], now: float) -> int:
        """Return the pieces up to a rank that the other members' calls will still request."""
        return self.view(now).backlogs.pieces_up_to(service, rank)

    def reported_claims(self, service: str, rank: tuple[int, int], now: float) -> int:
        """Return the pieces up to a rank of outstanding claims that the other members keep."""
        return self.view(now).backlogs.claimed_up_to(service, rank)

    def reported_rate_before(self, service: str, rank: tuple[int, int], now: float) -> float:
        """Return the pieces per second of more urgent ranks that the other members admit."""
        return self.view(now).backlogs.rate_before(service, rank)

    def view(self, now: float) -> FleetView:
        """Return the live and serving members; the same object until that changes."""
        self._exclude_pause(now)
        if now > self._view.valid_until:
            self._view = self._build_view(now)
        return self._view

    def _build_view(self, now: float) -> FleetView:
        view = FleetView(valid_until=float("inf"))
        for member in self._members.values():
            if not member.is_suspected(now):
                view.add_member(member)
            else:
                view.add_suspected_member(member)
        if self.local_phase == Phase.SERVING:
            view.add_serving_member(
                self.local_name,
                self.local_zone,
                self.local_strength,
                reaches_workers=not self.local_partitioned,
            )
        return view

    def member_with_newer_configuration(self, version: int, now: float) -> Member | None:
        """Return the live member with the newest configuration, if newer than a version."""
        if self._highest_version <= version:
            return None
        return self._newest(version, lambda beat: beat.configuration_version, now)

    def member_with_newer_workers(
        self, revision: int, now: float, below: int | None = None
    ) -> Member | None:
        """Return the live member with the newest list of workers between two revisions."""
        if self._highest_revision <= revision:
            return None
        return self._newest(revision, lambda beat: beat.workers_revision, now, below)

    def _newest(
        self, known: int, number: Callable[[Heartbeat], int], now: float, below: int | None = None
    ) -> Member | None:
        """Return the live member with the highest number above a known one, same zone first."""
        live = [
            member
            for member in self.live_members(now)
            if below is None or number(member.heartbeat) < below
        ]
        highest = max((number(member.heartbeat) for member in live), default=known)
        if highest <= known:
            return None
        newest = [member for member in live if number(member.heartbeat) == highest]
        return max(newest, key=self._peer_preference)

    def _peer_preference(self, member: Member) -> tuple[bool, int]:
        """Return a sort key: same zone first, then an order of each gateway to spread requests."""
        name = member.heartbeat.name
        same_zone = member.heartbeat.zone == self.local_zone
        return same_zone, rendezvous_hash(self.local_name, name)
