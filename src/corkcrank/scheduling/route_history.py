"""Remembers to which services each route has led, and when it last did.

Does no I/O: callers pass the time.
"""

from collections.abc import Iterable

from corkcrank.contracts.opaque_configuration import OpaqueRoute

MAX_KEPT_SECONDS = 700.0
"""Time for which a service is kept after a route last led there; no stream is resumed later."""


class RouteHistory:
    """The services of each route that this gateway has seen in its configurations."""

    def __init__(self) -> None:
        self._led_at: dict[tuple[str, str], float] = {}

    def record(self, routes: Iterable[OpaqueRoute], now: float) -> None:
        """Record the routes of the configuration that is in force."""
        for route in routes:
            for item in route.services:
                if item.weight > 0:
                    self._led_at[route.name, item.service] = now
        for key in [key for key, at in self._led_at.items() if at < now - MAX_KEPT_SECONDS]:
            del self._led_at[key]

    def services_since(self, route_name: str, since: float) -> set[str]:
        """Return the services to which a route led at ``since`` or later.

        >>> from corkcrank.contracts.opaque_configuration import CallKind, WeightedService
        >>> def leading_to(service):
        ...     services = (WeightedService(service, 1.0),)
        ...     return OpaqueRoute("r", "h", "/", CallKind.STREAM, services, 1.0, 1.0)
        >>> history = RouteHistory()
        >>> history.record([leading_to("a")], now=1.0)
        >>> history.record([leading_to("b")], now=2.0)
        >>> sorted(history.services_since("r", 1.0)), history.services_since("r", 1.5)
        (['a', 'b'], {'b'})
        """
        return {
            service
            for (name, service), at in self._led_at.items()
            if name == route_name and at >= since
        }
