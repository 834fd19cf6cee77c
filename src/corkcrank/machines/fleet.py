"""Membership of the gateways: who is alive, in which zone, and who owns a stage worker.

Members tell each other heartbeats by datagram. There is no coordinator: two members may
disagree for about a second, and everything built on this view bears that. Pure: the time
is handed in.
"""

from collections.abc import Callable, Iterable

from corkcrank.contracts.rendezvous import rendezvous_weight
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet_view import FleetView
from corkcrank.machines.heartbeat import Heartbeat, Phase
from corkcrank.machines.members import FORGET_SECONDS, Member
from corkcrank.machines.store_contact import StoreContact, newer_contact

HEARTBEAT_SECONDS = 0.25
"""Time between heartbeats in a small fleet."""

HEARTBEAT_BYTES_A_SECOND = 25_000.0
"""Most bytes of heartbeats that one member sends; larger fleets are told less often. Calls that
older news would cost are worth more than the bytes."""

FULL_RATE_MEMBERS = 100
"""Members up to which each sends that much. In a larger fleet each sends less, so that what a
node reads and sends does not grow with the fleet."""

OWNER_BYTES_A_SECOND = 60_000.0
"""The same for a member that owns queues or engines of its zone: what others decide by is
theirs, and they are few. A fortieth of a link of 20 Mbit/s."""

FIRST_HEARTBEAT_BYTES = 250.0
"""Length of a heartbeat assumed before one was sent."""

LENGTH_WEIGHT = 0.05
"""Weight of the newest heartbeat in the mean length."""

RUN_NOTE_SECONDS = 0.1
"""Time between two notes that this process runs: less than half a heartbeat's interval, so
that a note which is a little late is not taken for a pause."""

PAUSE_SECONDS = HEARTBEAT_SECONDS
"""A longer time without a note is a pause of this process; it counts as one missed heartbeat
of each member, so that a dead one is suspected also by a process that pauses again and again."""

SMALLEST_FLEET = 4
"""Members assumed for shares as long as fewer are known, e.g. right after a start."""

_NEVER = float("-inf")


class Fleet:
    """Every gateway known here.

    ``owns`` says that this one owns queues or engines of its zone, which others decide by.
    """

    def __init__(
        self, own_name: str, own_zone: str, own_address: str, own_strength: float = 0.0
    ) -> None:
        self.own_name = own_name
        self.own_strength = own_strength
        self.own_zone = own_zone
        self.own_address = own_address
        self.owns = False
        self._own_phase = Phase.STARTING
        self._members: dict[str, Member] = {}
        self._unheard: dict[str, float] = {}
        self._heartbeat_bytes = FIRST_HEARTBEAT_BYTES
        self._store_contacts: dict[StoreTable, StoreContact] = {}
        self._view = FleetView(until=_NEVER)
        self._told_version = 0
        self._told_revision = 0
        self._ran_at: float | None = None
        self._paused = 0.0

    @property
    def own_phase(self) -> Phase:
        """Return what this member does."""
        return self._own_phase

    @own_phase.setter
    def own_phase(self, phase: Phase) -> None:
        self._own_phase = phase
        self._outdate_view()

    def introduce(self, addresses: Iterable[str], now: float) -> None:
        """Take addresses of members that were not heard yet, from seeds or the store."""
        heard = {member.heartbeat.address for member in self._members.values()}
        for address in addresses:
            if address != self.own_address and address not in heard:
                self._unheard[address] = now

    def note_running(self, now: float) -> float:
        """Note that this process runs; return the seconds of its pauses since the last note.

        A paused process hears nobody, and after the pause its timers may run before the
        heartbeats that came meanwhile are read. Without these notes every silence counts.
        """
        if self._ran_at is None:
            self._ran_at = now
        self._excuse_pause(now)
        paused, self._paused = self._paused, 0.0
        return paused

    def _excuse_pause(self, now: float) -> None:
        """Excuse the members for a pause of this process that has just ended, if one has.

        Whatever asks for the members' state first after a pause has to find it.
        """
        if self._ran_at is None or now <= self._ran_at:
            return
        gap, self._ran_at = now - self._ran_at, now
        if gap <= PAUSE_SECONDS:
            return
        self._paused += gap
        for member in self._members.values():
            if not member.suspected(now - gap):
                member.excuse(gap - PAUSE_SECONDS)

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; return whether its sender is new or started anew."""
        self._excuse_pause(now)
        if heartbeat.name == self.own_name:
            return False
        self._unheard.pop(heartbeat.address, None)
        known = self._members.get(heartbeat.name)
        member = self._members[heartbeat.name] = Member(heartbeat, now)
        for table in (StoreTable.CONFIGURATION, StoreTable.WORKERS):
            contact = newer_contact(self.store_contact(table), member.store_contact(table), now)
            self._store_contacts[table] = contact
        self._told_version = max(self._told_version, heartbeat.configuration_version)
        self._told_revision = max(self._told_revision, heartbeat.workers_revision)
        joined = known is None or known.heartbeat.incarnation != heartbeat.incarnation
        self._note_in_view(known, member, joined=joined)
        return joined

    def _note_in_view(self, known: Member | None, heard: Member, *, joined: bool) -> None:
        """Keep the view if a member that lives tells of the same phase as before."""
        same = known is not None and known.heartbeat.phase == heard.heartbeat.phase
        if joined or known is None or not same or heard.heartbeat.name not in self._view.live:
            self._outdate_view()
        else:
            self._view.replace(known, heard)

    def _outdate_view(self) -> None:
        self._view.until = _NEVER

    def suspect(self, name: str) -> None:
        """Suspect a member at once whose connection failed, until its next heartbeat."""
        member = self._members.get(name)
        if member is not None:
            member.suspect()
            self._outdate_view()

    def member(self, name: str) -> Member | None:
        """Return a member that was heard."""
        return self._members.get(name)

    def suspected(self, name: str, now: float) -> bool:
        """Return whether a member is suspected, or is not known at all."""
        self._excuse_pause(now)
        member = self._members.get(name)
        return member is None or member.suspected(now)

    def zone_of(self, name: str) -> str:
        """Return the zone of a member, of this one too."""
        member = self._members.get(name)
        return member.heartbeat.zone if member is not None else self.own_zone

    def confirmed_at(self, table: StoreTable) -> float:
        """Return when the store last answered any other member about a table."""
        return self.store_contact(table).heard_at

    def store_contact(self, table: StoreTable) -> StoreContact:
        """Return the newest answer of the store that any other member told of."""
        return self._store_contacts.get(table, StoreContact())

    def probe(self, name: str, now: float) -> str | None:
        """Return the address of a member to probe now, if it is silent and not just probed.

        Heartbeats come seldom in a large fleet. A member is probed by those that wait for
        it, so its death is noticed after the same time whatever the fleet's size.
        """
        self._excuse_pause(now)
        member = self._members.get(name)
        if member is None or not member.may_be_probed(now):
            return None
        member.note_probe(now)
        self._view.note_deadline(member)
        return member.heartbeat.address

    def live(self, now: float) -> list[Member]:
        """Return the other members that are not suspected."""
        return list(self.view(now).live.values())

    def audience(self, now: float) -> list[str]:
        """Return the addresses that heartbeats go to; forgets the long silent."""
        self._excuse_pause(now)
        for name in [key for key, item in self._members.items() if item.forgotten(now)]:
            del self._members[name]
            self._outdate_view()
        for address in [key for key, at in self._unheard.items() if now - at > FORGET_SECONDS]:
            del self._unheard[address]
        heard = [member.heartbeat.address for member in self._members.values()]
        return heard + list(self._unheard)

    def interval(self) -> float:
        """Return the time between own heartbeats, longer in a large fleet or with long ones."""
        audience = len(self._members) + len(self._unheard)
        rate = OWNER_BYTES_A_SECOND if self.owns else _member_rate(audience)
        return max(HEARTBEAT_SECONDS, audience * self.heartbeat_bytes / rate)

    @property
    def heartbeat_bytes(self) -> float:
        """Return the mean length of the heartbeats sent here, in bytes."""
        return self._heartbeat_bytes

    def note_heartbeat(self, length: int) -> None:
        """Learn the mean length of the heartbeats that are sent, in bytes."""
        self._heartbeat_bytes += LENGTH_WEIGHT * (length - self._heartbeat_bytes)

    def share_members(self) -> int:
        """Return the members that shares are counted by: all known, silent ones too."""
        return max(SMALLEST_FLEET, len(self._members) + 1)

    def known_members(self) -> int:
        """Return all gateways that are known to exist, also those that were not heard yet."""
        return max(SMALLEST_FLEET, len(self._members) + len(self._unheard) + 1)

    def zone_owner(self, zone: str, key: str, now: float) -> str:
        """Return the member that decides about something in a zone, by its key.

        The serving members of the zone come first; without any, and for no zone, all serve.
        """
        return self.view(now).owner(zone, key) or self.own_name

    def reported_backlog(self, service: str, rank: tuple[int, int], now: float) -> int:
        """Return the pieces up to a rank that the others' calls will still ask for."""
        return self.view(now).backlogs.pieces_up_to(service, rank)

    def reported_rate_before(self, service: str, rank: tuple[int, int], now: float) -> float:
        """Return the pieces a second that the others admit of more urgent ranks."""
        return self.view(now).backlogs.rate_before(service, rank)

    def view(self, now: float) -> FleetView:
        """Return who lives and serves; the same object as long as that does not change."""
        self._excuse_pause(now)
        if now > self._view.until:
            self._view = self._work_out_view(now)
        return self._view

    def _work_out_view(self, now: float) -> FleetView:
        view = FleetView(until=float("inf"))
        for member in self._members.values():
            if not member.suspected(now):
                view.add(member)
        if self.own_phase == Phase.SERVING:
            view.add_serving(self.own_name, self.own_zone, self.own_strength)
        return view

    def ahead_in_configuration(self, version: int, now: float) -> Member | None:
        """Return the live member with the newest configuration, if newer than a version."""
        if self._told_version <= version:
            return None
        return self._newest(version, lambda beat: beat.configuration_version, now)

    def ahead_in_workers(self, revision: int, now: float) -> Member | None:
        """Return the live member with the newest list of workers, if newer than a revision."""
        if self._told_revision <= revision:
            return None
        return self._newest(revision, lambda beat: beat.workers_revision, now)

    def _newest(self, known: int, number: Callable[[Heartbeat], int], now: float) -> Member | None:
        """Return the live member with the highest number above a known one, a near one first."""
        live = self.live(now)
        highest = max((number(member.heartbeat) for member in live), default=known)
        if highest <= known:
            return None
        newest = [member for member in live if number(member.heartbeat) == highest]
        return max(newest, key=self._nearness)

    def _nearness(self, member: Member) -> tuple[bool, int]:
        """Order members by zone, then differently for each gateway: questions are spread."""
        name = member.heartbeat.name
        near = member.heartbeat.zone == self.own_zone
        return near, rendezvous_weight(self.own_name, name)


def _member_rate(audience: int) -> float:
    """Return the most bytes a second that a member sends which owns nothing.

    >>> _member_rate(100), _member_rate(200)
    (25000.0, 12500.0)
    """
    return HEARTBEAT_BYTES_A_SECOND * min(1.0, FULL_RATE_MEMBERS / max(1, audience))
