"""The objective of a caller that retries counts from its first attempt."""

import asyncio
from dataclasses import replace

import pytest
from node_world import configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.contracts.opaque_call import CallEnvelope, OpaqueCall
from corkcrank.contracts.opaque_configuration import CallKind, OpaqueRoute, WeightedService

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}

ROUTE = OpaqueRoute(
    name="r",
    host="h",
    path_prefix="/",
    kind=CallKind.STREAM,
    services=(WeightedService("model", 1.0),),
    timeout=4.0,
    objective=1.5,
)


def call_with(budget_seconds: float | None) -> OpaqueCall:
    return OpaqueCall(
        envelope=CallEnvelope("1", budget_seconds=budget_seconds),
        route=ROUTE,
        service="model",
        tenant="",
        rank=(0, 0),
        method="POST",
        target="/",
        headers=[],
        body=b"",
        arrived_at=100.0,
        end_at=104.0,
        caller_end_at=104.0,
        configuration_version=1,
    )


@pytest.mark.parametrize(
    ("budget_seconds", "due_at"), [(4.0, 101.5), (None, 101.5), (3.9, 101.5), (3.0, 100.5)]
)
def test_time_before_a_retry_is_subtracted_from_the_objective(
    budget_seconds: float | None, due_at: float
) -> None:
    assert call_with(budget_seconds).objective_at == pytest.approx(due_at)


async def test_a_late_retry_is_served_without_a_queue_and_refused_immediately_with_one() -> None:
    engine, encode = StandinWorker(events=2), StandinStageWorker()
    served = {"m": (engine, "model"), "e": (encode, "encode")}
    routes = [route("staged", "stream", "model", stages=STAGES)]
    headers = {**PIECES, "X-Corkcrank-Deadline-Ms": "2000"}
    async with world(configuration(1, routes), served) as running:
        response = await running.call("/staged/x", headers=headers)
        assert response.status == 200
        await response.read()
        encode.gate = asyncio.Event()
        before = len(engine.seen)
        waiting = [asyncio.create_task(running.call("/staged/x", headers=PIECES)) for _ in range(2)]
        await until(lambda: len(encode.calls) == 2)
        refused = await running.call("/staged/x", headers=headers)
        assert refused.status == 503
        assert b"CAPACITY_SHORT" in await refused.read()
        assert (len(encode.calls), len(engine.seen)) == (2, before)
        encode.gate.set()
        for call in waiting:
            assert (await (await call).read()).count(b"id:") == 2


def resumed_call(**fields: object) -> OpaqueCall:
    call = call_with(2.0)
    envelope = replace(call.envelope, resume_after="3", resumed_attempt="0")
    return replace(call, envelope=envelope, rank=(1, 2), **fields)


def test_a_resumed_stream_is_due_at_the_deadline_not_at_a_first_byte_that_was_sent() -> None:
    assert resumed_call(precedence=True).due_at == 104.0
    assert resumed_call().due_at == resumed_call().objective_at
    assert replace(call_with(4.0), answer_begun=True).due_at == 104.0
    assert call_with(2.0).due_at == call_with(2.0).objective_at


def test_a_resumed_stream_goes_before_other_routes_but_not_before_urgent_tenants() -> None:
    assert resumed_call().queue_rank == (1, 2)
    assert resumed_call(precedence=True).queue_rank == (1, 0)
    assert resumed_call(answer_begun=True).queue_rank == (1, 0)


@pytest.mark.parametrize("claimed", [False, True])
def test_a_resumed_stream_beyond_the_share_is_judged_as_a_new_call_that_arrives_now(
    claimed: bool,
) -> None:
    resumed, new = resumed_call(claimed=claimed), replace(call_with(4.0), rank=(1, 2))
    assert (resumed.due_at, resumed.queue_rank) == (new.due_at, new.queue_rank)
    assert resumed.returning == claimed


@pytest.mark.parametrize("budget_seconds", [0.5, 2.0, 3.0])
def test_a_shorter_budget_does_not_make_a_resumed_stream_a_retry_of_a_refused_call(
    budget_seconds: float,
) -> None:
    call = resumed_call()
    short = replace(call, envelope=replace(call.envelope, budget_seconds=budget_seconds))
    assert not short.returning
    assert short.objective_at == call_with(4.0).objective_at
