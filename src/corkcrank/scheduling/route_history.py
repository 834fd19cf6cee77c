"""Remembers to which services each route has led, and when it last did.

Does no I/O: callers pass the time.
"""

from collections.abc import Sequence

from corkcrank.contracts.opaque_configuration import OpaqueRoute

MAX_KEPT_SECONDS = 700.0
"""Time for which a service is kept after a route last led there; no stream is resumed later."""


class RouteHistory:
    """The services of each route that this gateway has seen in its configurations."""

    def __init__(self) -> None:
        self._led_at: dict[tuple[str, str], float] = {}
        """When each route last led to each service under an earlier configuration."""
        self._routes: Sequence[OpaqueRoute] = ()
        self._leads: frozenset[tuple[str, str]] = frozenset()
        """The routes' names and services under the configuration that is in force."""
        self._in_force_at = float("-inf")

    def record(self, routes: Sequence[OpaqueRoute], now: float) -> None:
        """Record the routes of the configuration that is in force; unchanged ones cost nothing."""
        if routes is not self._routes:
            self._replace(routes, now)
        self._in_force_at = now

    def _replace(self, routes: Sequence[OpaqueRoute], now: float) -> None:
        led_at = self._led_at | dict.fromkeys(self._leads, self._in_force_at)
        self._led_at = {key: at for key, at in led_at.items() if at >= now - MAX_KEPT_SECONDS}
        self._routes = routes
        self._leads = frozenset(
            (route.name, item.service)
            for route in routes
            for item in route.services
            if item.weight > 0
        )

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
        leads = [key for key, at in self._led_at.items() if at >= since]
        if self._in_force_at >= since:
            leads += self._leads
        return {service for name, service in leads if name == route_name}
