"""Membership of the gateways: who is alive, in which zone, and who owns a stage worker.

Members tell each other heartbeats by datagram. There is no coordinator: two members may
disagree for about a second, and everything built on this view bears that. Pure: the time
is handed in.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from corkcrank.contracts.rendezvous import rendezvous_weight
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.heartbeat import Heartbeat, Phase, ServiceBacklog
from corkcrank.machines.store_word import StoreWord, ToldStoreWord, newer_word

HEARTBEAT_SECONDS = 0.25
"""Time between heartbeats in a small fleet."""

HEARTBEAT_BYTES_A_SECOND = 25_000.0
"""Most bytes of heartbeats that one member sends; larger fleets are told less often. Less
than half of it, as the bound for control at the planned size asks, was tried: older news
costs more calls than the bytes are worth (docs/DESIGN.md)."""

FIRST_HEARTBEAT_BYTES = 250.0
"""Length of a heartbeat assumed before one was sent."""

LENGTH_WEIGHT = 0.05
"""Weight of the newest heartbeat in the mean length."""

SUSPECT_HEARTBEATS = 4.0
"""A member is suspected after this many heartbeats without a word."""

PROBE_SECONDS = 0.25
"""Time between probes of a silent member that this one waits for."""

PROBED_AFTER_SECONDS = 0.6
"""A member that this one waits for is probed after this silence."""

PROBE_PATIENCE_SECONDS = 1.0
"""A member is suspected if this long after the first probe there is no word of it."""

VIEW_SECONDS = 0.05
"""Time for which owners and sums that were worked out of the members' words are kept."""

RUN_NOTE_SECONDS = 0.1
"""Time between two notes that this process runs: less than half a heartbeat's interval, so
that a note which is a little late is not taken for a pause."""

PAUSE_SECONDS = HEARTBEAT_SECONDS
"""A longer time without a note is a pause of this process; it counts as one missed heartbeat
of each member, so that a dead one is suspected also by a process that pauses again and again."""

FORGET_SECONDS = 60.0
"""A silent member is still told heartbeats for this long, so that a cut heals."""

SMALLEST_FLEET = 4
"""Members assumed for shares as long as fewer are known, e.g. right after a start."""


@dataclass(slots=True)
class Member:
    """Another gateway as heard last; times are of the own monotonic clock.

    ``probed_at`` is when it was first probed since it was heard, ``next_probe_at`` when
    it may be probed again. ``excused`` are the seconds since it was heard in which this
    process was paused and could hear nobody.
    """

    heartbeat: Heartbeat
    heard_at: float
    probed_at: float | None = None
    next_probe_at: float = 0.0
    excused: float = 0.0

    def silence(self, now: float) -> float:
        """Return for how long it has not been heard while this process ran."""
        return now - self.heard_at - self.excused

    def excuse(self, seconds: float) -> None:
        """Leave a pause of this process out of the silence, and of the wait for a probe."""
        self.excused += seconds
        if self.probed_at is not None:
            self.probed_at += seconds

    def suspected(self, now: float) -> bool:
        """Return whether it has been silent for too long, or has not answered probes."""
        if self.probed_at is not None and now - self.probed_at > PROBE_PATIENCE_SECONDS:
            return True
        return self.silence(now) > SUSPECT_HEARTBEATS * self.heartbeat.interval

    def may_be_probed(self, now: float) -> bool:
        """Return whether it has been silent for long enough, and not just probed."""
        return self.silence(now) > PROBED_AFTER_SECONDS and now >= self.next_probe_at

    def store_word(self, table: StoreTable) -> ToldStoreWord:
        """Return the newest answer of the store about a table that the member knew of."""
        beat = self.heartbeat
        return beat.workers_word if table is StoreTable.WORKERS else beat.configuration_word


@dataclass(slots=True)
class _View:
    """What follows from the members' words: who serves where, and what is asked for.

    Calls ask for it many times; it is worked out once for all calls of a moment.
    """

    until: float
    serving: dict[str, list[str]] = field(default_factory=dict)
    all_serving: list[str] = field(default_factory=list)
    owners: dict[tuple[str, str], str] = field(default_factory=dict)
    pieces: dict[str, dict[tuple[int, int], int]] = field(default_factory=dict)
    rates: dict[str, dict[tuple[int, int], float]] = field(default_factory=dict)

    def add_serving(self, name: str, zone: str) -> None:
        """Count a member that serves."""
        self.serving.setdefault(zone, []).append(name)
        self.all_serving.append(name)

    def add_backlogs(self, backlogs: Iterable[ServiceBacklog]) -> None:
        """Add what a member's calls will still ask for."""
        for item in backlogs:
            pieces = self.pieces.setdefault(item.service, {})
            rates = self.rates.setdefault(item.service, {})
            pieces[item.rank] = pieces.get(item.rank, 0) + item.pieces
            rates[item.rank] = rates.get(item.rank, 0.0) + item.rate


class Fleet:
    """Every gateway known here."""

    def __init__(self, own_name: str, own_zone: str, own_address: str) -> None:
        self.own_name = own_name
        self.own_zone = own_zone
        self.own_address = own_address
        self._own_phase = Phase.STARTING
        self._members: dict[str, Member] = {}
        self._unheard: dict[str, float] = {}
        self._heartbeat_bytes = FIRST_HEARTBEAT_BYTES
        self._store_words: dict[StoreTable, StoreWord] = {}
        self._view = _View(until=float("-inf"))
        self._ran_at: float | None = None
        self._paused = 0.0

    @property
    def own_phase(self) -> Phase:
        """Return what this member does."""
        return self._own_phase

    @own_phase.setter
    def own_phase(self, phase: Phase) -> None:
        self._own_phase = phase
        self._view = _View(until=float("-inf"))

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
            word = newer_word(self.store_word(table), member.store_word(table), now)
            self._store_words[table] = word
        joined = known is None or known.heartbeat.incarnation != heartbeat.incarnation
        if joined or known is None or known.heartbeat.phase != heartbeat.phase:
            self._view = _View(until=float("-inf"))
        return joined

    def doubt(self, name: str) -> None:
        """Suspect a member at once whose connection failed, until its next heartbeat."""
        member = self._members.get(name)
        if member is not None:
            member.heard_at -= SUSPECT_HEARTBEATS * member.heartbeat.interval
            self._view = _View(until=float("-inf"))

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
        return self.store_word(table).heard_at

    def store_word(self, table: StoreTable) -> StoreWord:
        """Return the newest answer of the store that any other member told of."""
        return self._store_words.get(table, StoreWord())

    def probe(self, name: str, now: float) -> str | None:
        """Return the address of a member to probe now, if it is silent and not just probed.

        Heartbeats come seldom in a large fleet. A member is probed by those that wait for
        it, so its death is noticed after the same time whatever the fleet's size.
        """
        self._excuse_pause(now)
        member = self._members.get(name)
        if member is None or not member.may_be_probed(now):
            return None
        if member.probed_at is None:
            member.probed_at = now
        member.next_probe_at = now + PROBE_SECONDS
        return member.heartbeat.address

    def live(self, now: float) -> list[Member]:
        """Return the other members that are not suspected."""
        self._excuse_pause(now)
        return [member for member in self._members.values() if not member.suspected(now)]

    def audience(self, now: float) -> list[str]:
        """Return the addresses that heartbeats go to; forgets the long silent."""
        self._excuse_pause(now)
        for name in [key for key, item in self._members.items() if _forgotten(item, now)]:
            del self._members[name]
        for address in [key for key, at in self._unheard.items() if now - at > FORGET_SECONDS]:
            del self._unheard[address]
        heard = [member.heartbeat.address for member in self._members.values()]
        return heard + list(self._unheard)

    def interval(self) -> float:
        """Return the time between own heartbeats, longer in a large fleet or with long ones."""
        audience = len(self._members) + len(self._unheard)
        return max(HEARTBEAT_SECONDS, audience * self.heartbeat_bytes / HEARTBEAT_BYTES_A_SECOND)

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

    def zone_owner(self, zone: str, key: str, now: float) -> str:
        """Return the member that decides about something in a zone, by its key.

        The serving members of the zone come first; without any, and for no zone, all serve.
        """
        view = self._fresh_view(now)
        owner = view.owners.get((zone, key))
        if owner is None:
            names = view.serving.get(zone) or view.all_serving or [self.own_name]
            owner = max(names, key=lambda name: rendezvous_weight(key, name))
            view.owners[zone, key] = owner
        return owner

    def told_backlog(self, service: str, rank: tuple[int, int], now: float) -> int:
        """Return the pieces up to a rank that the others' calls will still ask for."""
        told = self._fresh_view(now).pieces.get(service, {})
        return sum(pieces for other, pieces in told.items() if other <= rank)

    def told_rate_before(self, service: str, rank: tuple[int, int], now: float) -> float:
        """Return the pieces a second that the others admit of more urgent ranks."""
        told = self._fresh_view(now).rates.get(service, {})
        return sum(rate for other, rate in told.items() if other < rank)

    def _fresh_view(self, now: float) -> "_View":
        """Return what follows from the members' words, worked out a moment ago at most."""
        if now >= self._view.until:
            self._view = self._work_out_view(now)
        return self._view

    def _work_out_view(self, now: float) -> "_View":
        view = _View(until=now + VIEW_SECONDS)
        for member in self.live(now):
            view.add_backlogs(member.heartbeat.backlogs)
            if member.heartbeat.phase == Phase.SERVING:
                view.add_serving(member.heartbeat.name, member.heartbeat.zone)
        if self.own_phase == Phase.SERVING:
            view.add_serving(self.own_name, self.own_zone)
        return view

    def newest_configuration(self, now: float) -> Member | None:
        """Return the live member with the highest configuration version, a near one first."""
        return max(
            self.live(now),
            key=lambda member: (member.heartbeat.configuration_version, self._nearness(member)),
            default=None,
        )

    def newest_workers(self, now: float) -> Member | None:
        """Return the live member with the newest list of workers, a near one first."""
        return max(
            self.live(now),
            key=lambda member: (member.heartbeat.workers_revision, self._nearness(member)),
            default=None,
        )

    def _nearness(self, member: Member) -> tuple[bool, int]:
        """Order members by zone, then differently for each gateway: questions are spread."""
        name = member.heartbeat.name
        near = member.heartbeat.zone == self.own_zone
        return near, rendezvous_weight(self.own_name, name)


def _forgotten(member: Member, now: float) -> bool:
    return member.silence(now) > FORGET_SECONDS
