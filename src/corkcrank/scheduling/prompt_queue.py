"""The queue of prompts for a zone's engines of one service, kept by the engines' owner.

An engine reads its queued prompts in order of arrival, regardless of urgency. It therefore gets a
prompt only shortly before it can begin to read it. The other prompts wait here by rank. Within a
rank, tenants are served fairly by tokens read, and each tenant's prompts by least slack. Lower
ranks keep a small share, so that none of them starves.
"""

import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from statistics import NormalDist

from corkcrank.contracts.urgency import Rank, Urgency
from corkcrank.scheduling.demand_rates import DemandRates

LOOKAHEAD_SECONDS = 0.05
"""Time before an engine becomes idle at which it is granted its next prompt. It covers the delay of
the grant and the prompt, so that the engine is never idle; a longer time would delay urgent prompts
behind granted ones."""

LOWER_RANK_SHARE = 0.05
"""Share of the tokens read that each waiting rank gets while more urgent ranks wait. Callers of the
most urgent rank accept one late call in twenty."""

MAX_CREDIT_PROMPTS = 2.0
"""Maximum credit of a waiting rank, as a multiple of the size of its first prompt."""

ADMISSION_MARGIN_SECONDS = 0.05
"""Margin for admission in seconds: a new prompt must be forecast to be in time by this much, while
a waiting one is refused only if it is forecast to be late. The hysteresis keeps small forecast
errors from refusing admitted prompts."""

RESERVED_DEVIATIONS = NormalDist().inv_cdf(0.9)
"""Standard deviations of more urgent arrivals that the admission of a new prompt allows for. Nine
in ten admitted prompts are then not displaced: callers want nine in ten refusals immediately."""

MAX_IDLE_WAIT_SECONDS = 0.05
"""Wait in seconds up to which engines count as idle for a prompt: it delays no other call."""

MAX_PRIOR_DEMAND = 0.95
"""Maximum share of the reading capacity that a forecast assigns to more urgent prompts."""


@dataclass(slots=True, eq=False)
class QueuedPrompt:
    """A prompt that waits for an engine; times are on the local clock.

    ``urgency.due`` is the deadline of the first event. A prompt that has ``begun`` has stage
    results or a stream; it is ordered but never refused. ``lapses_at`` is the time at which it is
    removed from the queue unless its gateway renews it.
    """

    call_id: str
    tenant: str
    urgency: Urgency
    tokens: int
    begun: bool
    arrived_at: float
    lapses_at: float
    order: float = 0.0

    @property
    def rank(self) -> Rank:
        """Return the rank."""
        return self.urgency.rank


@dataclass(frozen=True, slots=True)
class PromptForecast:
    """Forecast start of reading and first event of a waiting prompt, in seconds from now.

    ``place`` is the number of prompts before it and ``tokens_ahead`` their tokens. ``next_start``
    is the start of a prompt directly behind it.
    """

    prompt: QueuedPrompt
    place: int
    tokens_ahead: int
    start: float
    first_event: float
    next_start: float

    def misses_objective(self, now: float) -> bool:
        """Return whether the prompt has not begun and would miss its objective."""
        return not self.prompt.begun and now + self.first_event > self.prompt.urgency.due

    def is_late(self, now: float) -> bool:
        """Return whether the prompt waits and would miss its objective.

        A prompt that still waits after its due time is late regardless of the forecast.
        """
        waits = not self.is_idle or now > self.prompt.urgency.due
        return waits and self.misses_objective(now)

    @property
    def is_idle(self) -> bool:
        """Return whether an engine counts as idle for the prompt."""
        return self.start <= MAX_IDLE_WAIT_SECONDS


@dataclass(frozen=True, slots=True)
class ReadingRoom:
    """Engine state for a forecast: when each engine is free, and the reading pace.

    ``free`` holds seconds from now, ``seconds_per_token`` is the pace of a mean engine, and
    ``delay`` the time from the end of reading to the first event.
    """

    free: tuple[float, ...]
    seconds_per_token: float
    delay: float

    @property
    def tokens_per_second(self) -> float:
        """Return the reading throughput of all engines together, in tokens a second."""
        return len(self.free) / self.seconds_per_token


class PromptQueue:
    """Waiting prompts, ordered by rank, fair share of tenants and slack."""

    def __init__(self) -> None:
        self._waiting: dict[str, QueuedPrompt] = {}
        self._served: dict[tuple[Rank, str], float] = {}
        self._virtual_time: dict[Rank, float] = {}
        self._credits: dict[Rank, float] = {}
        self.demand = DemandRates()

    def __len__(self) -> int:
        return len(self._waiting)

    def get(self, call_id: str) -> QueuedPrompt | None:
        """Return a waiting prompt."""
        return self._waiting.get(call_id)

    def waiting(self) -> Iterable[QueuedPrompt]:
        """Return all waiting prompts, in no particular order."""
        return self._waiting.values()

    def add(self, prompt: QueuedPrompt) -> None:
        """Add a prompt to the queue."""
        self._waiting[prompt.call_id] = prompt

    def remove(self, call_id: str) -> QueuedPrompt | None:
        """Remove and return a prompt, ``None`` if it does not wait."""
        return self._waiting.pop(call_id, None)

    def remove_lapsed(self, now: float) -> list[QueuedPrompt]:
        """Remove and return the prompts that their gateways have not renewed."""
        lapsed = [item for item in self._waiting.values() if item.lapses_at <= now]
        for item in lapsed:
            del self._waiting[item.call_id]
        return lapsed

    def record_grant(self, prompt: QueuedPrompt) -> None:
        """Remove a granted prompt, charge its tokens to its tenant and update rank credits."""
        self._waiting.pop(prompt.call_id, None)
        key = prompt.rank, prompt.tenant
        start = max(self._served.get(key, 0.0), self._virtual_time.get(prompt.rank, 0.0))
        self._served[key] = start + prompt.tokens
        self._virtual_time[prompt.rank] = start
        waiting = {item.rank for item in self._waiting.values()}
        if any(rank < prompt.rank for rank in waiting):
            credit = self._credits.get(prompt.rank, 0.0) - prompt.tokens
            self._credits[prompt.rank] = max(0.0, credit)
        for rank in waiting:
            if rank > prompt.rank:
                known = self._credits.get(rank, 0.0)
                self._credits[rank] = known + LOWER_RANK_SHARE * prompt.tokens
        if not self._waiting:
            self._served.clear()
            self._virtual_time.clear()
            self._credits.clear()

    def ordered(self) -> list[QueuedPrompt]:
        """Return the waiting prompts in reading order; clamp rank credits."""
        by_rank: dict[Rank, list[QueuedPrompt]] = {}
        for prompt in self._waiting.values():
            by_rank.setdefault(prompt.rank, []).append(prompt)
        ordered: list[QueuedPrompt] = []
        favoured: list[QueuedPrompt] = []
        for rank in sorted(by_rank):
            members = self._fair_order(rank, by_rank[rank])
            credit = self._credits.get(rank, 0.0)
            if ordered and credit > 0 and credit >= members[0].tokens:
                self._credits[rank] = min(credit, MAX_CREDIT_PROMPTS * members[0].tokens)
                favoured.append(members.pop(0))
            ordered += members
        return favoured + ordered

    def _fair_order(self, rank: Rank, prompts: list[QueuedPrompt]) -> list[QueuedPrompt]:
        """Return one rank's prompts, those of the tenant with the fewest tokens read first."""
        prompts.sort(key=lambda item: (item.urgency.due, item.arrived_at))
        virtual_time = self._virtual_time.get(rank, 0.0)
        reached: dict[str, float] = {}
        for prompt in prompts:
            known = max(self._served.get((rank, prompt.tenant), 0.0), virtual_time)
            prompt.order = reached.get(prompt.tenant, known)
            reached[prompt.tenant] = prompt.order + prompt.tokens
        return sorted(prompts, key=lambda item: item.order)

    def forecasts(self, room: ReadingRoom) -> list[PromptForecast]:
        """Return the forecasts of all waiting prompts, in their order."""
        free = list(room.free)
        heapq.heapify(free)
        found, ahead = [], 0
        for place, prompt in enumerate(self.ordered()):
            seconds = prompt.tokens * room.seconds_per_token
            start = free[0]
            heapq.heapreplace(free, start + seconds)
            first_event = start + seconds + room.delay
            found.append(PromptForecast(prompt, place, ahead, start, first_event, free[0]))
            ahead += prompt.tokens
        return found

    def forecast(self, prompt: QueuedPrompt, room: ReadingRoom) -> PromptForecast:
        """Return the forecast of one waiting prompt."""
        return next(item for item in self.forecasts(room) if item.prompt is prompt)

    def offer(self, prompt: QueuedPrompt, room: ReadingRoom, now: float) -> "OfferVerdict":
        """Add a prompt if it can be in time; the verdict gives the forecast and the excess.

        A more urgent prompt may make less urgent ones late, and a tenant with few tokens read may
        make prompts of other tenants late. No prompt makes others of its own rank and tenant late.
        """
        self.demand.observe(prompt.rank, prompt.tokens, now)
        before = self.forecasts(room) if self._waiting else []
        late_before = {item.prompt.call_id for item in before if item.is_late(now)}
        self.add(prompt)
        forecasts = self.forecasts(room)
        own = next(item for item in forecasts if item.prompt is prompt)
        delays_none = len(self) == 1 and own.is_idle
        if prompt.begun or delays_none:
            return OfferVerdict(own, 0.0)
        excess = now + self._cautious_first_event(own, room, now) - prompt.urgency.due
        late = [
            item.prompt
            for item in forecasts
            if item.is_late(now) and item.prompt.call_id not in late_before
        ]
        own_late = [item for item in late if _are_alike(item, prompt)]
        if excess > 0 or own_late:
            self.remove(prompt.call_id)
            return OfferVerdict(own, max(excess, prompt.tokens * room.seconds_per_token))
        return OfferVerdict(own, 0.0)

    def _cautious_first_event(self, own: PromptForecast, room: ReadingRoom, now: float) -> float:
        """Return the forecast first event of a new prompt with a reserve for urgent arrivals.

        More urgent prompts are assumed to arrive at the recent rate. Their number has the standard
        deviation of a Poisson process.
        """
        asked = self.demand.more_urgent(own.prompt.rank, now)
        share = min(MAX_PRIOR_DEMAND, asked / room.tokens_per_second)
        start = own.start / (1.0 - share)
        spread = math.sqrt(asked * start * own.prompt.tokens) / room.tokens_per_second
        reserve = ADMISSION_MARGIN_SECONDS + RESERVED_DEVIATIONS * spread
        return start + reserve + (own.first_event - own.start)

    def select(
        self, choose: Callable[[QueuedPrompt], "EngineTurn | None"], limit: int
    ) -> list[tuple[QueuedPrompt, str]]:
        """Return the prompts that engines begin now, each with its engine, of the first ``limit``.

        ``choose`` returns the best engine for a prompt and counts the prompt there for later
        choices. Prompts behind it choose another engine once waiting for that one costs more.
        """
        chosen = []
        for prompt in self.ordered()[:limit]:
            turn = choose(prompt)
            if turn is not None and turn.can_begin:
                chosen.append((prompt, turn.worker_id))
        return chosen


@dataclass(frozen=True, slots=True)
class EngineTurn:
    """The best engine for a prompt, and whether it can begin to read it now."""

    worker_id: str
    can_begin: bool


@dataclass(frozen=True, slots=True)
class OfferVerdict:
    """Forecast of an offered prompt; ``excess`` is its lateness in seconds."""

    forecast: PromptForecast
    excess: float

    @property
    def admitted(self) -> bool:
        """Return whether the prompt waits now."""
        return self.excess <= 0


def _are_alike(one: QueuedPrompt, other: QueuedPrompt) -> bool:
    return one is not other and one.rank == other.rank and one.tenant == other.tenant
