"""Prompts that wait before engines are granted one or refused before their calls must end."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from prompt_zone import (
    SERVICE,
    SLOTS,
    ZONE,
    OneZoneOwner,
    play,
    prompt,
    request,
    zone_of,
)

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog
from corkcrank.node.engines.held_prompts import hold_seconds
from corkcrank.node.engines.prefill_client import (
    GRANT_TIMEOUT_SECONDS,
    PrefillGrantClient,
    PrefillVerdict,
    PromptPatience,
)
from corkcrank.node.engines.zone_prompts import ZonePrompts
from corkcrank.node.peers.peer_client import PeerFailure
from corkcrank.node.peers.peer_protocol import PromptGrant, PromptRequest

CALL_SECONDS = 6.0
OBJECTIVE_SECONDS = 3.0
CACHED_TOKENS = 40_000
"""Reading them takes two seconds, longer than engines without room are assumed to stay so."""


def fill(zone: ZonePrompts, engine: str) -> None:
    """Let an engine have no slot: nobody reports the ends of what it runs."""
    for number in range(SLOTS):
        zone.engines.memory.hold(f"{engine}{number}", engine, prompt(100), 2.0, clock.now())


async def ask_until_decided(zone: ZonePrompts, asked: PromptRequest) -> PromptGrant | None:
    """Ask as a gateway does; return ``None`` if the call must end before an answer."""
    end_at = clock.now() + CALL_SECONDS
    terms = asked.terms
    assert terms is not None
    while clock.now() < end_at:
        grant = await zone.grant_or_wait(asked, terms)
        if not grant.held:
            return grant
    return None


def test_a_prompt_is_not_held_for_a_full_engine_past_its_call_beside_an_idle_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A gateway ends, and its calls hold their engine's slots for a minute.

    A prompt prefers that engine, which has read most of it. Another one is idle, so the prompt is
    forecast to begin at once and never counts as late, but waits for the first.
    """

    async def wait() -> tuple[PromptGrant | None, float]:
        owner = OneZoneOwner("full", "idle")
        zone = zone_of(owner)
        shape = prompt(CACHED_TOKENS + 1_000, shared=CACHED_TOKENS)
        owner.keep_part("full", shape.parts[0])
        fill(zone, "full")
        started = clock.now()
        grant = await ask_until_decided(zone, request("one", shape, OBJECTIVE_SECONDS))
        return grant, clock.now() - started

    grant, waited = play(wait(), monkeypatch)
    assert grant is not None
    assert grant.worker_id == "idle"
    assert waited < OBJECTIVE_SECONDS


class HoldingOwner:
    """An owner whose queue holds each request for as long as it may, here or at another gateway."""

    def __init__(self, name: str = "here", *, frozen: bool = False) -> None:
        self.name = name
        self.frozen = frozen

    def queues_prompts(self, service: str) -> bool:
        return True

    async def grant_or_wait(self, asked: PromptRequest) -> PromptGrant:
        await asyncio.sleep(hold_seconds(asked))
        return PromptGrant("", held=True)

    async def request(
        self, address: str, path: str, message: bytes, *, timeout_seconds: float
    ) -> bytes | PeerFailure:
        if self.frozen:
            await asyncio.sleep(timeout_seconds)
            return PeerFailure.SILENT
        asked = msgspec.msgpack.decode(message, type=PromptRequest)
        return msgspec.msgpack.encode(await self.grant_or_wait(asked))

    def member(self, name: str) -> Any:
        return SimpleNamespace(heartbeat=SimpleNamespace(name=name, address="there"))


def client_of(owner: HoldingOwner) -> PrefillGrantClient:
    """Return the client of a gateway named "here"; any engine may be sent calls."""
    engine = WorkerRecord("engine", SERVICE, "", ZONE)
    workers = SimpleNamespace(usable_in_zone=lambda service, zone: [engine], get={}.get)
    fleet = SimpleNamespace(
        local_name="here",
        zone_owner=lambda zone, service, now: owner.name,
        member=owner.member,
    )
    client = PrefillGrantClient(
        cast(Any, SimpleNamespace(workers=workers)),
        cast(Any, fleet),
        OneZoneOwner("engine"),
        cast(Any, owner),
        cast(
            Any, SimpleNamespace(unavailable_ids=lambda engines: [], silent_ids=lambda engines: [])
        ),
        cast(Any, SimpleNamespace(limited=lambda engines, now: [])),
        cast(Any, SimpleNamespace(limits=None, brittleness=None)),
        cast(Any, None),
        DecisionLog(None, "test"),
    )
    client.queues = cast(Any, owner)
    return client


def call_of(seconds: float, objective: float) -> OpaqueCall:
    """Return a call that must end and whose first event is due in some seconds."""
    now = clock.now()
    call = SimpleNamespace(
        call_id="one",
        service=SERVICE,
        tenant="t",
        queue_rank=(0, 0),
        envelope=SimpleNamespace(prompt=prompt(1_000)),
        workers_tried=[],
        excluded_workers=(),
        allows_attempt_at=lambda engine: True,
        route=SimpleNamespace(idempotent=True),
        origin=None,
        end_at=now + seconds,
        due_at=now + objective,
    )
    return cast(OpaqueCall, call)


def ask_as_gateway(
    owner: HoldingOwner, seconds: float, *, begun: bool, patch: pytest.MonkeyPatch
) -> tuple[PrefillVerdict, float]:
    """Ask for a call's turn; return the answer, and how long before the call's end it came."""

    async def ask() -> tuple[PrefillVerdict, float]:
        call = call_of(seconds, objective=10 * seconds)
        patience = PromptPatience(seconds, begun, 2.0)
        chosen = WorkerRecord("engine", SERVICE, "", ZONE)
        client = client_of(owner)
        async with asyncio.timeout(10 * seconds):
            verdict = await client.request_grant(call, chosen, long=False, patience=patience)
        return verdict, call.end_at - clock.now()

    return play(ask(), patch)


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("owner", ["here", "there"])
def test_a_prompt_that_is_still_held_when_its_call_must_end_is_refused_then(
    owner: str, begun: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first event is due later than the call must end, so its owner holds the prompt on."""
    verdict, left = ask_as_gateway(HoldingOwner(owner), 0.7, begun=begun, patch=monkeypatch)
    assert verdict.refused
    assert left == pytest.approx(0.0, abs=0.01)


def test_the_owner_of_a_call_about_to_end_is_not_waited_for_as_long_as_it_may_hold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The owner freezes while it holds the prompt of a call that must end a moment later."""
    owner = HoldingOwner("there", frozen=True)
    verdict, left = ask_as_gateway(owner, 0.05, begun=False, patch=monkeypatch)
    assert not verdict.decided
    assert left == pytest.approx(-GRANT_TIMEOUT_SECONDS, abs=0.01)


def test_an_owner_answers_a_held_request_when_its_call_must_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def wait() -> tuple[PromptGrant, float]:
        owner = OneZoneOwner("full")
        zone = zone_of(owner)
        shape = prompt(CACHED_TOKENS + 1_000, shared=CACHED_TOKENS)
        owner.keep_part("full", shape.parts[0])
        fill(zone, "full")
        asked = request("one", shape, OBJECTIVE_SECONDS, seconds=0.05)
        started = clock.now()
        assert asked.terms is not None
        return await zone.grant_or_wait(asked, asked.terms), clock.now() - started

    grant, waited = play(wait(), monkeypatch)
    assert grant.held
    assert waited == pytest.approx(0.05, abs=0.01)
