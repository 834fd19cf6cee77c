"""Operators see the quarantined requests, and can release one that they know to be healthy."""

import json
from pathlib import Path

from mortal_workers import CRASHING, crash_count
from node_world import World, configuration, peer_of, until, world
from test_crashing_requests import ROUTES, send, wait_for_restarts
from test_quarantined_requests import plain_workers, quarantine_request, workers_by_id

from corkcrank.cli.explain import explain_call
from corkcrank.contracts import clock
from corkcrank.contracts.request_fingerprint import request_fingerprint
from corkcrank.contracts.request_release import RELEASE_REQUEST_PATH
from corkcrank.load.loopback import loopback_address

REQUEST = request_fingerprint("tenant", "/safe/x", CRASHING)


async def request_operator_path(
    running: World, path: str, body: str | None = None
) -> tuple[int, str]:
    assert running.session is not None
    url = f"http://{running.nodes[0].fleet.local_address}{path}"
    method = "GET" if body is None else "POST"
    async with running.session.request(method, url, data=body) as answer:
        return answer.status, await answer.text()


async def test_dump_and_metrics_show_a_quarantine() -> None:
    workers = plain_workers()
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        await quarantine_request(running, workers)
        (shown,) = running.nodes[0].dump().requests
        _, metrics = await request_operator_path(running, "/metrics")
    assert (shown.request, shown.state, len(shown.ended_workers)) == (REQUEST, "quarantined", 3)
    assert 50.0 < shown.seconds <= 60.0
    assert 'corkcrank_requests_that_crash{state="quarantined"} 1.0' in metrics
    assert "corkcrank_request_quarantines_total 1.0" in metrics
    assert 'corkcrank_worker_ends_total{service="plain"} 3.0' in metrics


async def test_every_gateway_sends_a_released_request_again() -> None:
    workers = plain_workers()
    async with (
        world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running,
        peer_of(running, loopback_address(2)) as peer,
    ):
        await until(lambda: peer.ready)
        await quarantine_request(running, workers)
        crashes = crash_count(workers)
        status, answer = await request_operator_path(running, RELEASE_REQUEST_PATH, REQUEST)
        assert (status, answer) == (
            200,
            f'{{"request":"{REQUEST}","before":"quarantined","state":"sound"}}',
        )
        await until(lambda: not peer.crash_watch.quarantine.blamed_requests(clock.now()))
        await send(running, "/safe/x", CRASHING, number=1)
        await wait_for_restarts(running, workers)
        assert crash_count(workers) > crashes


async def test_an_invalid_fingerprint_gets_a_numbered_error() -> None:
    async with world(configuration(1, ROUTES), workers_by_id("plain", plain_workers(1))) as running:
        for text in ("", "nothing", REQUEST + "0", "\xff\xfe"):
            status, answer = await request_operator_path(running, RELEASE_REQUEST_PATH, text)
            assert status == 400
            assert '"code": 2001' in answer


async def test_a_request_without_crashes_stays_healthy_when_released() -> None:
    async with world(configuration(1, ROUTES), workers_by_id("plain", plain_workers(1))) as running:
        status, answer = await request_operator_path(running, RELEASE_REQUEST_PATH, REQUEST)
    assert status == 200
    assert answer.endswith('"before":"sound","state":"sound"}')


def test_logs_explain_a_request_by_its_fingerprint(tmp_path: Path) -> None:
    lines = [
        {"event": "Call: refused.", "time": 2.0, "process": "b", "call": "c1"},
        {"event": "Workers: ended with a call in progress.", "time": 1.0, "process": "a",
         "call": "c0", "request": REQUEST, "worker": "w 1"},
        {"event": "Request: quarantined, workers end under it.", "time": 1.5, "process": "a",
         "request": REQUEST},
    ]  # fmt: skip
    log = tmp_path / "a.log"
    log.write_text("\n".join(json.dumps(line) for line in lines), encoding="utf-8")
    first, second = explain_call(REQUEST, [log])
    assert "ended with a call in progress" in first
    assert "worker=w 1" in first
    assert second.startswith("   0.500 s  a  Request: quarantined")
