"""The body of a call is freed when the call ends, although its connections live on.

Guards against bodies that stayed in memory: a connection keeps the context of the request for which
it was opened, and the checks of that request in the context referred to the call. Two callers that
sent bodies of 4 MiB one after the other brought a gateway over its memory limit.
"""

import gc
import weakref
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from node_world import LONG_IDLE_TIMEOUT_MS, configuration, until, world
from partitioned_world import partitioned_world
from platform_standins import StandinStageWorker, StandinWorker
from test_partial_heads import PIECES, ROUTES
from test_relayed_requests import partition, send

from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.node.ingress import call_handler
from corkcrank.node.relays import relay_server
from corkcrank.node.workers.worker_request import WorkerRequest

CALLS = 8
FREED_SECONDS = 1.0
"""Longest time until a body is freed: less than an idle connection to a worker is kept."""

BODY = bytes(9_000)
EVENTS = 3


@contextmanager
def without_collector() -> Iterator[None]:
    """Free objects by their reference counts only, so that a cycle shows as well."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def watch_calls(patch: pytest.MonkeyPatch) -> list[weakref.ref[OpaqueCall]]:
    """Return a list that will hold a reference to each call, which does not keep the call."""
    calls: list[weakref.ref[OpaqueCall]] = []
    build = call_handler.build_call

    def build_watched(*parts: object) -> OpaqueCall:
        call = build(*parts)  # type: ignore[arg-type]
        calls.append(weakref.ref(call))
        return call

    patch.setattr(call_handler, "build_call", build_watched)
    return calls


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/talk/x", "/resumed/x", "/staged/x"])
async def test_body_is_freed_when_its_call_ends(path: str, monkeypatch: pytest.MonkeyPatch) -> None:
    calls = watch_calls(monkeypatch)
    served = {
        "plain": (StandinWorker(), "plain"),
        "engine": (StandinWorker(events=EVENTS), "model"),
        "encoder": (StandinStageWorker(), "encode"),
    }
    document = configuration(1, ROUTES)
    document["limits"]["idle_timeout_ms"] = LONG_IDLE_TIMEOUT_MS
    async with world(document, served) as running:  # type: ignore[arg-type]
        with without_collector():
            for _ in range(CALLS):
                response = await running.call(path, data=BODY, headers=PIECES)
                assert response.status == 200
                await response.read()
            assert len(calls) == CALLS
            await until(lambda: not any(call() for call in calls), FREED_SECONDS)


async def test_body_is_freed_when_a_relayed_request_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    requests: list[weakref.ref[WorkerRequest]] = []
    request_type = relay_server.WorkerRequest

    class WatchedRequest(request_type):  # type: ignore[misc,valid-type]
        """A request to which a weak reference is possible."""

        def __init__(self, *parts: object, **named: object) -> None:
            super().__init__(*parts, **named)
            requests.append(weakref.ref(self))

    monkeypatch.setattr(relay_server, "WorkerRequest", WatchedRequest)
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        with without_collector():
            for _ in range(CALLS):
                response = await send(played, "once", body=BODY)
                assert response.status == 200
                await response.read()
            assert len(requests) >= CALLS
            await until(lambda: not any(request() for request in requests), FREED_SECONDS)
