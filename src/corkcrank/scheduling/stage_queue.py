"""The queue of one stage worker, managed by the gateway that owns it.

A stage worker has few slots, accepts a batch of pieces per call, and has memory ("room") for few
results. The queue forms batches across calls and gateways, reserves room before a piece is
sent, and forecasts when a new piece would start. Pure code: callers pass in the time.
"""

from dataclasses import dataclass, field

from corkcrank.contracts.opaque_configuration import StageCapacity
from corkcrank.contracts.urgency import Urgency
from corkcrank.links.platform_ports import PieceOutcome, PieceResult
from corkcrank.scheduling.batch_filling import StageItem, fill_batch
from corkcrank.scheduling.queue_counters import QueueCounters
from corkcrank.scheduling.result_room import ResultRoom

PACE_WEIGHT = 0.2
"""Weight of the newest call in the pace, which is measured time divided by stated time."""

PACE_BOUNDS = (0.5, 8.0)
"""Bounds of the measured pace, so that one outlier does not starve or overload a worker."""

LATE_SHARE = 0.5
"""Share of its expected duration by which a call is late when the pieces behind it are offered to
other workers for the first time. They are offered again each time the call is twice as late."""

SHORT_OF_ROOM_SHARE = 0.6
"""Share of the room, used or wanted, above which room limits the batches. Running batches need
room in addition to unread results."""


@dataclass(slots=True, eq=False)
class StageCall:
    """One running call at the worker; ``stated_seconds`` is its duration by stated capacity.

    ``overdue`` is set once the worker has been silent for too long; the call stays open.
    """

    stage_items: list[StageItem]
    started_at: float
    expected_seconds: float
    stated_seconds: float = 0.0
    overdue: bool = False

    def remaining_seconds(self, now: float) -> float:
        """Return the expected rest of the call, which for a late call is the time it is late.

        >>> call = StageCall([], started_at=0.0, expected_seconds=0.5)
        >>> call.remaining_seconds(0.25), call.remaining_seconds(2.5)
        (0.25, 2.0)
        """
        return abs(self.expected_end - now)

    def next_offer_at(self, now: float) -> float:
        """Return when to offer the pieces behind this call to other workers again.

        >>> call = StageCall([], started_at=0.0, expected_seconds=0.5)
        >>> [call.next_offer_at(now) for now in (0.25, 0.75, 1.0)]
        [0.75, 1.0, 1.5]
        """
        late = max(LATE_SHARE * self.expected_seconds, 2.0 * (now - self.expected_end))
        return self.expected_end + late

    @property
    def expected_end(self) -> float:
        """Return when the call should end by its expected duration."""
        return self.started_at + self.expected_seconds


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """When a new piece would start and finish, in seconds from now."""

    start: float
    end: float


@dataclass(slots=True)
class StageQueue:
    """The queued pieces, running calls and held results of one stage worker.

    ``pace`` is measured. ``passing_pace`` is the temporary factor from the worker's statements.
    """

    capacity: StageCapacity
    counters: QueueCounters = field(default_factory=QueueCounters)
    pace: float = 1.0
    passing_pace: float = 1.0
    blocked_until: float = 0.0
    min_call_interval: float = 0.0
    _queue: list[StageItem] = field(default_factory=list)
    _calls: list[StageCall] = field(default_factory=list)
    _results: ResultRoom = field(default_factory=ResultRoom)
    _submitted: int = 0

    @property
    def waiting(self) -> int:
        """Return the number of queued pieces."""
        return len(self._queue)

    @property
    def at_work(self) -> int:
        """Return the number of running calls."""
        return len(self._calls)

    @property
    def room_used(self) -> float:
        """Return the bytes occupied by results, including those of running calls."""
        return self._working_bytes + self._results.used

    @property
    def room_wanted(self) -> float:
        """Return the bytes that the results of the queued pieces will occupy."""
        return sum(stage_item.result_bytes for stage_item in self._queue)

    @property
    def short_of_room(self) -> bool:
        """Return whether pieces wait and the results would fill most of the room."""
        room_needed = self.room_used + self.room_wanted
        return bool(self._queue) and room_needed > SHORT_OF_ROOM_SHARE * self.capacity.room_bytes

    @property
    def room_sufficed(self) -> bool:
        """Return whether the worker's recent calls found enough room for all results."""
        return self._results.usable_share >= 1.0

    @property
    def idle(self) -> bool:
        """Return whether there are no queued pieces, running calls or held results."""
        return not (self._queue or self._calls or self._results.occupied)

    def submit(self, stage_item: StageItem) -> None:
        """Queue a piece after all pieces of equal urgency."""
        self._submitted += 1
        stage_item.sequence = self._submitted
        self._queue.append(stage_item)
        self._queue.sort(key=_queue_order)

    def withdraw(self, stage_item: StageItem, now: float) -> None:
        """Mark a piece as abandoned because its call has ended, and remove it from the queue."""
        stage_item.abandoned_at = now
        if stage_item in self._queue:
            self._queue.remove(stage_item)

    def remove_overdue(self, now: float) -> list[StageItem]:
        """Remove and return the pieces whose latest useful start has passed."""
        late = [stage_item for stage_item in self._queue if stage_item.start_by <= now]
        for stage_item in late:
            self._queue.remove(stage_item)
        self.counters.late += len(late)
        return late

    def remove_all(self) -> list[StageItem]:
        """Remove and return all queued pieces."""
        waiting, self._queue = self._queue, []
        return waiting

    def remove_repeated(self) -> list[StageItem]:
        """Remove and return the queued pieces that can be placed again; final ones stay."""
        removed = [stage_item for stage_item in self._queue if not stage_item.final]
        self._queue = [stage_item for stage_item in self._queue if stage_item.final]
        return removed

    def queued(self) -> tuple[StageItem, ...]:
        """Return the queued pieces, the most urgent first."""
        return tuple(self._queue)

    def remove(self, stage_item: StageItem) -> None:
        """Remove a piece that is moved to another queue."""
        self._queue.remove(stage_item)

    def can_start_call(self, now: float) -> bool:
        """Return whether a call can be sent to the worker now."""
        return now >= self.blocked_until and len(self._calls) < self.capacity.slots

    def start_next_call(self, now: float) -> StageCall | None:
        """Start a call with as many pieces as batch size and room allow, or return ``None``."""
        self._results.remove_expired(now)
        if not self.can_start_call(now):
            return None
        room = self._usable_bytes - self.room_used
        queue = self._in_start_order(now)
        batch = fill_batch(queue, self.capacity.batch, room, self.capacity.room_bytes)
        if not batch:
            if self._queue:
                self.counters.room_waits += 1
            return None
        for stage_item in batch:
            self._queue.remove(stage_item)
        expected = self.call_seconds(len(batch))
        call = StageCall(batch, now, expected, self.stated_seconds(len(batch)))
        self._calls.append(call)
        self.counters.calls += 1
        self.counters.pieces += len(batch)
        return call

    def call_seconds(self, pieces: int) -> float:
        """Return the expected duration of a call with this many pieces, in seconds."""
        return self.stated_seconds(pieces) * self.pace * self.passing_pace

    def stated_seconds(self, pieces: int) -> float:
        """Return the duration of a call with this many pieces by the stated capacity."""
        return self.capacity.call_seconds + pieces * self.capacity.piece_seconds

    def end_call(self, call: StageCall, results: list[PieceResult] | None, now: float) -> None:
        """Record the end of a call and its results; ``None`` means that it returned none.

        Results of abandoned pieces also occupy room until they are freed. A call that ended without
        results may still return some late.
        """
        late = call not in self._calls
        if not late:
            self._calls.remove(call)
        if results is None:
            return
        if not late:
            self._update_pace(call, now)
        refused_pieces, smallest_refused = 0, float("inf")
        for stage_item, result in zip(call.stage_items, results, strict=True):
            if result.outcome is PieceOutcome.DONE:
                expires_at = now + self.capacity.result_seconds
                self._results.hold(result.handle, stage_item.result_bytes, now, expires_at)
            elif result.outcome is PieceOutcome.NO_ROOM:
                refused_pieces += 1
                smallest_refused = min(smallest_refused, stage_item.result_bytes)
        self.counters.no_room += refused_pieces
        self._results.update_usable_share(refused_pieces)
        if refused_pieces:
            free_bytes = self._usable_bytes - self.room_used
            self._results.hold_unknown(free_bytes, smallest_refused, now)

    def requeue(self, stage_items: list[StageItem]) -> None:
        """Requeue pieces that the worker refused without running them, in their original order."""
        self._queue.extend(stage_item for stage_item in stage_items if not stage_item.abandoned)
        self._queue.sort(key=_queue_order)

    def block_calls(self, now: float, seconds: float) -> None:
        """Send no calls for ``seconds``: the worker is full, failed, or at its rate limit."""
        self.blocked_until = max(self.blocked_until, now + seconds)

    def free_result(self, handle: str, now: float) -> None:
        """Release the room of a result and update the mean hold time."""
        self._results.free(handle, now)

    def apply_reported_free_room(self, free_bytes: float, now: float) -> None:
        """Apply the free room that a worker reports; unexplained use counts as unknown results."""
        room_bytes = self.capacity.room_bytes
        self._results.apply_reported_free(free_bytes, room_bytes, self._working_bytes, now)

    def forecast(self, now: float, urgency: Urgency, pieces: int, size: float) -> QueueForecast:
        """Return when the last of ``pieces`` of ``size`` bytes each would start and end."""
        limit = now + self.call_seconds(1)
        new_piece_order = (urgency.due < limit, urgency)
        ahead = [
            stage_item
            for stage_item in self._queue
            if (stage_item.urgency.due < limit, stage_item.urgency) <= new_piece_order
        ]
        position = len(ahead) + pieces
        calls_before = (position - 1) // self.capacity.batch
        full_call_seconds = self.call_seconds(self.capacity.batch)
        call_interval = max(full_call_seconds / self.capacity.slots, self.min_call_interval)
        start = self.seconds_until_free(now) + calls_before * call_interval
        start = max(start, self._room_wait(ahead, pieces, size))
        last_place = position - calls_before * self.capacity.batch
        batch_size = min(self.capacity.batch, last_place + max(0, len(self._queue) - len(ahead)))
        return QueueForecast(start, start + self.call_seconds(batch_size))

    def ranks_waiting(self) -> list[tuple[int, int]]:
        """Return the ranks of the queued pieces, the most urgent first."""
        return sorted({stage_item.urgency.rank for stage_item in self._queue})

    def next_event_at(self, now: float) -> float | None:
        """Return when a piece is next overdue, a result expires, a block ends or a call is late."""
        if not self._queue:
            return None
        times = [stage_item.start_by for stage_item in self._queue]
        if len(self._calls) < self.capacity.slots:
            times.extend(self._results.expiries())
            times.append(self.blocked_until)
        else:
            times.extend(call.next_offer_at(now) for call in self._calls)
        return min((at for at in times if at > now), default=None)

    def validate(self) -> None:
        """Assert the invariants that hold between method calls."""
        assert len(self._calls) <= self.capacity.slots
        assert all(len(call.stage_items) <= self.capacity.batch for call in self._calls)
        assert self.room_used <= self.capacity.room_bytes + 1e-6

    def _in_start_order(self, now: float) -> list[StageItem]:
        """Return the queue, with pieces at the end that would be late even if started now.

        Running these pieces first, because they are due earliest, would make others late too.
        """
        limit = now + self.call_seconds(1)
        in_time = [stage_item for stage_item in self._queue if stage_item.urgency.due >= limit]
        late = [stage_item for stage_item in self._queue if stage_item.urgency.due < limit]
        return in_time + late

    def seconds_until_free(self, now: float) -> float:
        """Return the seconds until the worker can start a call."""
        wait = max(0.0, self.blocked_until - now)
        if len(self._calls) < self.capacity.slots:
            return wait
        return max(wait, 0.0, min(call.expected_end for call in self._calls) - now)

    def seconds_until_free_if_late(self, now: float) -> float:
        """Return the seconds until a call can start if late calls last as long again.

        Admission does not use it: after a pause of the process all calls are late for a moment.
        """
        if len(self._calls) < self.capacity.slots:
            return self.seconds_until_free(now)
        remaining = min(call.remaining_seconds(now) for call in self._calls)
        return max(self.blocked_until - now, remaining)

    @property
    def _working_bytes(self) -> float:
        """Return the bytes that the results of running calls will occupy."""
        return sum(
            stage_item.result_bytes for call in self._calls for stage_item in call.stage_items
        )

    @property
    def _usable_bytes(self) -> float:
        return self.capacity.room_bytes * self._results.usable_share

    def _room_wait(self, ahead: list[StageItem], pieces: int, size: float) -> float:
        """Return the seconds until there is enough room, based on the mean hold time."""
        wanted = (
            self.room_used + sum(stage_item.result_bytes for stage_item in ahead) + pieces * size
        )
        missing = wanted - self.capacity.room_bytes
        if missing <= 0 or self.capacity.room_bytes <= 0:
            return 0.0
        turnover = self._results.mean_hold + self.call_seconds(self.capacity.batch)
        return turnover * missing / self.capacity.room_bytes

    def _update_pace(self, call: StageCall, now: float) -> None:
        if call.stated_seconds <= 0:
            return
        measured = (now - call.started_at) / call.stated_seconds
        low, high = PACE_BOUNDS
        self.pace += PACE_WEIGHT * (min(high, max(low, measured)) - self.pace)


def _queue_order(stage_item: StageItem) -> tuple[Urgency, int]:
    return stage_item.urgency, stage_item.sequence
