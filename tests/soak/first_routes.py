"""The routes of a soak at its start."""

from typing import Any

from node_world import route

STAGES = [
    {"service": "encode", "since_revision": [], "byte_length": 100_000},
    {"service": "rerank", "since_revision": [0], "byte_length": 100_000},
]


def first_routes(*, silences: bool = False) -> dict[str, dict[str, Any]]:
    """Return the routes by name; where services fall silent, there is one more.

    It is staged, and its streams may be resumed.
    """
    routes = [
        route("safe", "safe", "plain", max_attempts=3, timeout_ms=2_000),
        route("once", "unsafe", "plain", timeout_ms=2_000),
        route("moving", "safe", "plain", max_attempts=2, timeout_ms=2_000),
        route("talk", "stream", "model", stream_resume=True, max_attempts=3, timeout_ms=6_000),
        route("say", "stream", "model", timeout_ms=6_000),
        route("staged", "stream", "model", timeout_ms=6_000, stages=STAGES),
    ]
    if silences:
        resumed = {"stream_resume": True, "max_attempts": 3, "timeout_ms": 6_000}
        routes.append(route("story", "stream", "model", stages=STAGES, **resumed))
    return {str(item["name"]): item for item in routes}


def extra_route(name: str) -> dict[str, Any]:
    """Return a route that comes and goes."""
    return route(name, "safe", "plain", max_attempts=2, timeout_ms=2_000)
