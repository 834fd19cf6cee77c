"""A prompt part that crashes engines is found by what all gateways saw of different requests.

Guards against evidence that is kept by the whole request: requests that have one part in common and
are otherwise never alike crashed engine after engine, and sound requests beside them failed.
"""

import asyncio

import pytest
from core_clock import core_clock
from crashing_parts_world import (
    BAD_PART,
    CONTACT_SECONDS,
    CRASHES_BEFORE_CONTACT,
    FIRST_PART,
    OTHER_PARTS,
    CrashingPartsWorld,
    crashing_parts_world,
    fingerprint,
)
from node_world import peer_of, until
from test_crashing_requests import send
from test_quarantined_requests import gateway_with_store_only

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address

SOUND_RATE = 20.0
BAD_RATE = 4.0
MAX_LATE_SENDS = 3
MIN_SHARE_OF_BEFORE = 0.5
"""Least share of sound requests that are served beside bad ones, of that before them."""

WAYS_IN = ("/talk/x", "/resumed/x", "/staged/x")


@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("path", WAYS_IN)
async def test_part_that_crashes_engines_is_quarantined(path: str, gateways: int) -> None:
    async with core_clock(), crashing_parts_world(gateways) as played:
        await played.load(path, 1.5, sound=SOUND_RATE, bad=0.0)
        began_at = clock.now()
        await played.load(path, 10.0, sound=SOUND_RATE, bad=BAD_RATE)
        assert played.late_sends() <= MAX_LATE_SENDS, len(played.crashes())
        crashes = played.crashes()
        settled_at = crashes[min(len(crashes), CRASHES_BEFORE_CONTACT) - 1][0] + 2 * CONTACT_SECONDS
        before = played.served_share(0.0, began_at)
        beside = played.served_share(settled_at, clock.now())
        assert beside >= MIN_SHARE_OF_BEFORE * before, played.statuses(settled_at, bad=False)
        assert played.held_parts() == {BAD_PART}


async def test_part_is_found_although_engines_send_an_event_before_they_crash() -> None:
    async with core_clock(), crashing_parts_world(events_before=1) as played:
        await played.load("/resumed/x", 1.5, sound=SOUND_RATE, bad=0.0)
        await played.load("/resumed/x", 8.0, sound=SOUND_RATE, bad=BAD_RATE)
        assert played.late_sends() <= MAX_LATE_SENDS
        assert played.held_parts() == {BAD_PART}


async def test_part_is_found_by_gateways_that_have_just_started() -> None:
    """No gateway has seen a success of any part when the first engine crashes."""
    async with core_clock(), crashing_parts_world() as played:
        await played.load("/resumed/x", 9.0, sound=SOUND_RATE, bad=BAD_RATE)
        assert played.late_sends() <= MAX_LATE_SENDS
        assert played.held_parts() == {BAD_PART}


async def test_two_parts_that_crash_engines_are_both_found() -> None:
    async with core_clock(), crashing_parts_world() as played:
        for engine in played.engines:
            engine.crashing_parts.add("bad2")
        await played.load("/resumed/x", 1.5, sound=SOUND_RATE, bad=0.0)
        await played.load("/resumed/x", 10.0, sound=SOUND_RATE, bad=BAD_RATE, bad_parts=2)
        assert played.late_sends() <= MAX_LATE_SENDS
        assert FIRST_PART not in played.held_parts()
        assert BAD_PART in played.held_parts()


async def test_part_that_turns_bad_is_found() -> None:
    """Engines have completed requests with the part before they begin to crash under it."""
    async with core_clock(), crashing_parts_world() as played:
        for engine in played.engines:
            engine.crashing_parts.clear()
        await played.load("/resumed/x", 2.0, sound=SOUND_RATE, bad=BAD_RATE)
        for engine in played.engines:
            engine.crashing_parts.add(BAD_PART)
        await played.load("/resumed/x", 10.0, sound=SOUND_RATE, bad=BAD_RATE)
        assert played.late_sends() <= MAX_LATE_SENDS
        assert played.held_parts() == {BAD_PART}


async def test_refused_requests_with_a_bad_part_have_not_run_and_cost_no_stage() -> None:
    async with core_clock(), crashing_parts_world() as played:
        await played.load("/staged/x", 7.0, sound=SOUND_RATE, bad=BAD_RATE)
        await until(lambda: played.held_parts() == {BAD_PART})
        begun = sum(len(engine.seen) for engine in played.engines)
        answers = [
            await played.ask("/staged/x", number % 3, (FIRST_PART, BAD_PART)) for number in range(6)
        ]
        assert [item.status for item in answers] == [503] * 6
        assert sum(len(engine.seen) for engine in played.engines) == begun


async def test_requests_that_crash_engines_by_themselves_take_no_part_along() -> None:
    """One request crashes engines before anything else has been served with its parts."""
    async with crashing_parts_world() as played:
        await played.send_crashing_request("/resumed/x", 3)
        await played.wait_until_restarted()
        assert played.held_parts() == set()
        begin = clock.now()
        await played.load("/resumed/x", 2.0, sound=SOUND_RATE, bad=0.0)
        assert played.served_share(begin, clock.now()) == 1.0


async def test_engines_that_crash_for_other_reasons_take_no_part_along() -> None:
    async with crashing_parts_world() as played:
        loading = asyncio.create_task(played.load("/resumed/x", 6.0, sound=SOUND_RATE, bad=0.0))
        for number in range(6):
            await asyncio.sleep(0.7)
            engine = played.engines[number % len(played.engines)]
            engine.crash_control.crash(engine)
        await loading
        assert played.held_parts() == set()


async def test_operators_release_a_part() -> None:
    async with crashing_parts_world() as played:
        await played.load("/resumed/x", 6.0, sound=SOUND_RATE, bad=BAD_RATE)
        await until(lambda: played.held_parts() == {BAD_PART})
        for engine in played.engines:
            engine.crashing_parts.clear()
        await played.wait_until_restarted()
        played.nodes[0].crash_watch.release_request(fingerprint(BAD_PART))
        await until(lambda: not played.held_parts())
        answer = await played.ask("/resumed/x", 1, (FIRST_PART, BAD_PART))
        assert answer.served


async def quarantine_part(played: CrashingPartsWorld) -> None:
    """Have the bad part crash engines until every gateway has quarantined it."""
    await played.load("/resumed/x", 5.0, sound=SOUND_RATE, bad=BAD_RATE)
    key = fingerprint(BAD_PART)
    await until(
        lambda: all(
            key in node.crash_watch.quarantine.blamed_parts(clock.now()) for node in played.nodes
        )
    )
    await played.wait_until_restarted()


async def test_gateway_that_starts_later_knows_the_part_before_it_sends() -> None:
    async with crashing_parts_world(gateways=2) as played:
        await quarantine_part(played)
        crashes = len(played.crashes())
        async with peer_of(played.running, loopback_address(3)) as late:
            await until(lambda: late.ready)
            await until(lambda: late.crash_watch.quarantine.blamed_parts(clock.now()) != [])
            assert (await played.ask("/resumed/x", 2, (FIRST_PART, BAD_PART))).status == 503
        assert len(played.crashes()) == crashes


async def test_quarantine_of_a_part_survives_the_stop_of_every_gateway() -> None:
    async with crashing_parts_world(gateways=1) as played:
        await quarantine_part(played)
        running = played.running
        await until(lambda: ("quarantine", fingerprint(BAD_PART)) in running.store.rows)
        crashes = len(played.crashes())
        await running.nodes[0].stop()
        async with gateway_with_store_only(running) as node:
            await until(lambda: bool(node.crash_watch.quarantine.blamed_parts(clock.now())))
            assert (await played.ask("/resumed/x", 1, (FIRST_PART, BAD_PART))).status == 503
            assert (await played.ask("/resumed/x", 1, (FIRST_PART, OTHER_PARTS[0]))).served
        assert len(played.crashes()) == crashes


async def test_plain_requests_are_no_evidence_on_parts() -> None:
    async with crashing_parts_world() as played:
        await played.load("/resumed/x", 6.0, sound=SOUND_RATE, bad=BAD_RATE)
        await until(lambda: played.held_parts() == {BAD_PART})
        assert set(OTHER_PARTS).isdisjoint(played.held_parts())
        assert await send(played.running, "/safe/x", b"harmless") in (200, 503)
