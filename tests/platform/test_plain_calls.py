"""Plain calls through a whole gateway: bytes unchanged, answers complete, run at most once."""

import asyncio
import json
from collections import deque

import pytest
from node_world import configuration, route, until, world
from platform_standins import ATTEMPT, SEAL, StandinWorker

from corkcrank.contracts import clock

ROUTES = [
    route("safe", "safe", "plain"),
    route("once", "unsafe", "plain"),
    route("slow", "safe", "plain", timeout_ms=300),
    route("open", "safe", "plain", anonymous=True),
]


def workers(*faults: str, second: tuple[str, ...] = ()) -> dict[str, tuple[StandinWorker, str]]:
    return {
        "one": (StandinWorker(faults=deque(faults)), "plain"),
        "two": (StandinWorker(faults=deque(second)), "plain"),
    }


async def test_method_target_headers_and_body_arrive_byte_for_byte() -> None:
    one = StandinWorker()
    target = "/safe/a%2Fb/%E4;x=1/?q=a%20b&r=%2f+"
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        import yarl

        url = yarl.URL(f"http://{running.address()}{target}", encoded=True)
        assert running.session is not None
        headers = {
            "Host": "calls.example",
            ATTEMPT: "00000000000000aa",
            "X-Corkcrank-Credential": "key-of-tenant",
            "X-Corkcrank-Deadline-Ms": "2000",
            "X-Corkcrank-Tenant": "forged",
            "X-Other": "kept",
            "Connection": "X-Hop",
            "X-Hop": "dropped",
        }
        body = bytes(range(256))
        async with running.session.put(url, data=body, headers=headers) as response:
            assert response.status == 200
            assert response.headers[SEAL] == f"seal-{one.worker_id}"
            assert await response.read() == b"answer of " + one.worker_id.encode()
    (seen,) = one.seen
    assert (seen.method, seen.target, seen.body) == ("PUT", target, body)
    assert seen.headers[ATTEMPT] == "00000000000000aa"
    assert seen.headers["X-Other"] == "kept"
    assert seen.headers["X-Corkcrank-Tenant"] == "tenant"
    assert seen.headers["X-Corkcrank-Expect-Instance"] == one.worker_id
    assert 0 < int(seen.headers["X-Corkcrank-Deadline-Ms"]) <= 2000
    assert "X-Hop" not in seen.headers
    assert "X-Corkcrank-Credential" not in seen.headers


async def test_chunked_body_arrives_complete() -> None:
    one = StandinWorker()

    async def parts():  # type: ignore[no-untyped-def]
        yield b"first,"
        yield b"second"

    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        response = await running.call("/safe/x", data=parts())
        assert response.status == 200
    assert one.seen[0].body == b"first,second"


@pytest.mark.parametrize(
    "fault", ["reset", "no-seal", "foreign-id", "cut-chunk", "unframed-reset", "error", "full"]
)
async def test_repeatable_call_is_served_by_another_worker(fault: str) -> None:
    served = workers(fault, second=(fault,))
    served["one"][0].faults = deque([fault])
    served["two"][0].faults = deque()
    async with world(configuration(1, ROUTES), served) as running:
        for _ in range(2):
            response = await running.call("/safe/x", method="GET")
            assert response.status == 200
            assert (await response.read()).startswith(b"answer of ")
            assert SEAL in response.headers


@pytest.mark.parametrize("fault", ["reset", "no-seal", "foreign-id", "cut-chunk", "unframed-reset"])
async def test_unrepeatable_call_runs_once_and_is_not_invited_to_retry(fault: str) -> None:
    served = workers(fault, second=(fault,))
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/once/x", data=b"order")
        assert response.status == 502
        assert "Retry-After" not in response.headers
        assert SEAL not in response.headers
    assert sum(len(worker.seen) for worker, _ in served.values()) == 1


async def test_unrepeatable_call_is_retried_after_a_worker_that_did_not_run_it() -> None:
    served = workers("full", second=())
    served["two"][0].faults = deque(["full"])
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/once/x", data=b"order")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        assert json.loads(await response.read())["ran"] == "no"
    assert not any(worker.seen for worker, _ in served.values())


async def test_surplus_answer_is_never_used_for_the_next_request() -> None:
    one = StandinWorker(faults=deque(["surplus"]))
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        first = await running.call("/safe/x", method="GET")
        assert await first.read() == b"ok"
        second = await running.call("/safe/x", method="GET", attempt="00000000000000bb")
        assert second.headers[ATTEMPT] == "00000000000000bb"
        assert await second.read() == b"answer of " + one.worker_id.encode()


async def test_worker_at_a_reused_address_gets_no_foreign_call() -> None:
    one = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        one.worker_id = "i-another"
        response = await running.call("/safe/x", method="GET")
        assert response.status == 503
    assert not one.seen


async def test_unknown_routes_and_keys_have_different_statuses() -> None:
    one = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        statuses = [
            (await running.call("/nowhere/x")).status,
            (await running.call("/safe/x", headers={"X-Corkcrank-Credential": "no"})).status,
            (await running.call("/open/x", headers={"X-Corkcrank-Credential": ""})).status,
            (await running.call("/safe/x", headers={"Host": "other.example"})).status,
        ]
    assert statuses == [404, 401, 200, 404]


async def test_answer_at_the_routes_timeout() -> None:
    one = StandinWorker(faults=deque(["hang"]))
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        response = await running.call("/slow/x")
        assert response.status == 504
        await until(lambda: one.left == 1)


async def test_work_ends_when_the_caller_leaves() -> None:
    one = StandinWorker(faults=deque(["hang"]))
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        call = asyncio.create_task(running.call("/safe/x"))
        await until(lambda: len(one.seen) == 1)
        call.cancel()
        await until(lambda: one.left == 1)
        await until(lambda: running.nodes[0].callers.in_flight == 0)


async def test_last_attempt_is_awaited_until_the_deadline() -> None:
    hold = asyncio.Event()
    one, two = StandinWorker(hold=hold), StandinWorker(hold=hold)
    routes = [route("single", "safe", "plain", max_attempts=1, target_latency_ms=20)]
    served = {"one": (one, "plain"), "two": (two, "plain")}
    async with world(configuration(1, routes), served) as running:
        call = asyncio.create_task(running.call("/single/x", method="GET"))
        await until(lambda: len(one.seen) + len(two.seen) == 1)
        # Longer than the wait for a call that has another attempt left.
        await asyncio.sleep(0.9)
        hold.set()
        assert (await call).status == 200


async def test_a_repeatable_call_waits_by_measured_time_and_not_by_its_objective() -> None:
    """A silent worker delayed calls for half of their objective, here 0.75 s."""
    served = workers()
    async with world(configuration(1, ROUTES), served) as running:
        for _ in range(20):
            await (await running.call("/safe/x")).read()
        candidates = [worker for worker, _ in served.values()]
        for worker in candidates:
            worker.faults.append("hang")
        call = asyncio.create_task(running.call("/safe/x"))
        await until(lambda: not all(worker.faults for worker in candidates))
        for worker in candidates:
            worker.faults.clear()
        silent_at = clock.now()
        response = await call
        assert response.status == 200
        assert clock.now() - silent_at < 0.6
