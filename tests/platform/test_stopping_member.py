"""Tests of requests that go through a gateway which is stopped while it relays them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import pytest
from node_world import peer_of, until
from partitioned_world import EVENTS, PartitionedWorld, partitioned_world
from platform_standins import StandinWorker
from test_owners import acquainted
from test_relayed_requests import partition, send

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

GRACE = 1.6
"""Seconds from the signal to the end of a member; its drain ends 0.4 s before."""


@asynccontextmanager
async def relaying_members(
    patch: pytest.MonkeyPatch, count: int
) -> AsyncIterator[tuple[PartitionedWorld, list[Node]]]:
    """Run a gateway that reaches no worker, and members that relay its requests."""
    async with partitioned_world(patch, 2) as played, AsyncExitStack() as stack:
        members = []
        for number in range(count):
            address = loopback_address(3 + number)
            node = await stack.enter_async_context(peer_of(played.running, address, grace=GRACE))
            for other in [played.nodes[0], *members]:
                await acquainted(other, node)
            members.append(node)
        await partition(played, 0)
        await played.nodes[1].stop()
        yield played, members


def hold(workers: list[StandinWorker]) -> None:
    for worker in workers:
        worker.hold = asyncio.Event()


def release(workers: list[StandinWorker]) -> None:
    for worker in workers:
        held, worker.hold = worker.hold, None
        if held is not None:
            held.set()


async def carrier_of(members: list[Node]) -> Node:
    """Return the member that relays a request."""
    await until(lambda: any(node._access.relays.in_flight for node in members))
    return next(node for node in members if node._access.relays.in_flight)


def seen(workers: list[StandinWorker]) -> int:
    return sum(len(worker.seen) for worker in workers)


@pytest.mark.parametrize("name", ["safe", "once"])
async def test_an_answer_that_is_ready_late_in_the_drain_of_a_member_is_relayed(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with relaying_members(monkeypatch, 1) as (played, members):
        hold(played.plain)
        before = seen(played.plain)
        call = asyncio.create_task(send(played, name))
        member = await carrier_of(members)
        await until(lambda: seen(played.plain) > before)
        stopping = asyncio.create_task(member.stop())
        await until(lambda: member.services.drain.signal_received)
        drain = member.services.drain
        await until(lambda: clock.now() > drain.answer_by - 0.1)
        release(played.plain)
        response = await call
        assert response.status == 200
        assert (await response.read()).startswith(b"answer of ")
        await stopping


async def test_a_repeatable_call_is_served_when_the_drain_of_its_member_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relaying_members(monkeypatch, 2) as (played, members):
        hold(played.plain)
        call = asyncio.create_task(send(played, "safe"))
        member = await carrier_of(members)
        before = seen(played.plain)
        stopping = asyncio.create_task(member.stop())
        await stopping
        await until(lambda: seen(played.plain) > before or call.done())
        release(played.plain)
        response = await call
        assert response.status == 200
        assert (await response.read()).startswith(b"answer of ")


async def test_an_unrepeatable_call_is_answered_when_the_drain_of_its_member_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relaying_members(monkeypatch, 2) as (played, members):
        hold(played.plain)
        before = seen(played.plain)
        call = asyncio.create_task(send(played, "once"))
        member = await carrier_of(members)
        await until(lambda: seen(played.plain) > before)
        await member.stop()
        response = await call
        body = await response.read()
        assert response.status == 502
        assert b'"ran":"unknown"' in body
        assert seen(played.plain) == before + 1


@pytest.mark.parametrize("name", ["safe", "once", "talk", "resumed", "staged"])
async def test_no_request_goes_through_a_member_that_was_signalled(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with relaying_members(monkeypatch, 2) as (played, members):
        hold(played.plain)
        open_call = asyncio.create_task(send(played, "once"))
        member = await carrier_of(members)
        stopping = asyncio.create_task(member.stop())
        await until(lambda: member.services.drain.signal_received)
        release(played.plain)
        for number in range(6):
            assert (await played.call_once(0, name, number)).served
        assert (await open_call).status == 200
        await stopping


@pytest.mark.parametrize("name", ["safe", "once", "talk", "resumed", "staged"])
async def test_a_request_that_only_a_stopping_member_could_relay_has_not_run(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with relaying_members(monkeypatch, 1) as (played, members):
        hold(played.plain)
        before = seen(played.plain)
        open_call = asyncio.create_task(send(played, "once"))
        member = await carrier_of(members)
        await until(lambda: seen(played.plain) > before)
        stopping = asyncio.create_task(member.stop())
        await until(lambda: member.services.drain.signal_received)
        before = seen(played.plain) + seen(played.engines)
        answer = await played.call_once(0, name, 1)
        assert answer.detail.startswith("503")
        assert '"ran":"no"' in answer.detail
        assert seen(played.plain) + seen(played.engines) == before
        release(played.plain)
        assert (await open_call).status == 200
        await stopping


async def test_a_resumable_stream_goes_on_through_another_member(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relaying_members(monkeypatch, 2) as (played, members):
        for engine in played.engines:
            engine.gap = GRACE
        response = await send(played, "resumed")
        member = await carrier_of(members)
        for engine in played.engines:
            engine.gap = 0.05
        await member.stop()
        body = await response.read()
        assert (response.status, body.count(b"id: ")) == (200, EVENTS)


async def test_a_stream_that_outlasts_the_grace_of_its_member_does_not_look_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relaying_members(monkeypatch, 2) as (played, members):
        for engine in played.engines:
            engine.gap = GRACE
        response = await send(played, "talk")
        member = await carrier_of(members)
        signalled_at = clock.now()
        await member.stop(signalled_at)
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
        assert clock.now() - signalled_at < GRACE
