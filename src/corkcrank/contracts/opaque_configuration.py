"""Configuration of opaque calls: routes, stage graphs, service capacities, tenants' keys.

An opaque call is an HTTP request that corkcrank forwards without parsing its body. Its
route names the service that answers it and the stages that must finish first. All times
are in seconds, all sizes in bytes.
"""

from collections.abc import Iterable
from enum import StrEnum
from functools import cached_property

import msgspec
import xxhash

_WEIGHT_SCALE = 1 << 32


class CallKind(StrEnum):
    """Whether a call may run more than once, and whether its answer is an event stream."""

    REPEATABLE = "repeatable"
    UNREPEATABLE = "unrepeatable"
    STREAM = "stream"


class StageDefinition(msgspec.Struct, frozen=True):
    """A stage that must finish before a call runs; ``after`` lists the stages it depends on."""

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's calls."""

    service: str
    weight: float


class OpaqueRoute(msgspec.Struct, frozen=True):
    """Services, limits and retry rules for calls with one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout: float
    objective: float
    maximum_attempts: int = 1
    rank: int = 0
    needs_key: bool = True
    resumable: bool = False
    session_affinity: bool = False
    pause_objective: float | None = None
    stages: tuple[StageDefinition, ...] = ()

    @property
    def idempotent(self) -> bool:
        """Return whether a call may run more than once."""
        return self.kind is CallKind.REPEATABLE or (self.kind is CallKind.STREAM and self.resumable)

    def leads_to(self, service: str) -> bool:
        """Return whether calls of the route may go to a service."""
        return any(item.service == service and item.weight > 0 for item in self.services)

    def service_for(self, call_id: str) -> str:
        """Return the service for one call; the same call id always gives the same service.

        >>> route = OpaqueRoute("r", "h", "/", CallKind.REPEATABLE,
        ...     (WeightedService("a", 1.0), WeightedService("b", 0.0)), 1.0, 1.0)
        >>> route.service_for("x")
        'a'
        """
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(item.weight for item in self.services)
        draw = xxhash.xxh3_64_intdigest(call_id.encode()) % _WEIGHT_SCALE
        point = draw * total / _WEIGHT_SCALE
        for item in self.services:
            point -= item.weight
            if point < 0:
                return item.service
        return self.services[-1].service


class StageCapacity(msgspec.Struct, frozen=True):
    """Capacity of one stage worker, as configured by the operator."""

    slots: int
    queue: int
    batch: int
    call_seconds: float
    piece_seconds: float
    room_bytes: float
    result_seconds: float

    @property
    def pieces_a_second(self) -> float:
        """Return how many pieces a second one worker completes with full batches."""
        return self.slots * self.batch / self.full_call_seconds if self.full_call_seconds else 0.0

    @property
    def full_call_seconds(self) -> float:
        """Return the expected duration of a call with a full batch."""
        return self.call_seconds + self.batch * self.piece_seconds


class EngineCapacity(msgspec.Struct, frozen=True):
    """Capacity of one model engine."""

    slots: int
    cache_tokens: int


class ServiceProfile(msgspec.Struct, frozen=True):
    """One service; ``stage`` and ``engine`` are absent for plain services.

    A worker that is warming up should receive at most ``warmup_rate`` requests a second (0: no
    limit). After a start this takes ``warmup_seconds``.
    """

    name: str
    health_path: str = "/"
    connections: int = 0
    warmup_seconds: float = 0.0
    warmup_rate: float = 0.0
    stage: StageCapacity | None = None
    engine: EngineCapacity | None = None


class KeyedTenant(msgspec.Struct, frozen=True):
    """A tenant, its keys, and the rank that it pays for (0 is served first)."""

    name: str
    keys: tuple[str, ...]
    rank: int = 0


class RequestLimits(msgspec.Struct, frozen=True):
    """Size and time limits for requests, and the idle timeout of connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class OpaqueConfiguration(msgspec.Struct, frozen=True, dict=True):
    """One committed version of the routes, services, limits and tenants."""

    version: int
    routes: tuple[OpaqueRoute, ...] = ()
    services: tuple[ServiceProfile, ...] = ()
    limits: RequestLimits = RequestLimits()
    tenants: tuple[KeyedTenant, ...] = ()

    @cached_property
    def _routes_by_host(self) -> dict[str, tuple[OpaqueRoute, ...]]:
        by_host: dict[str, list[OpaqueRoute]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        return {host: _longest_prefix_first(routes) for host, routes in by_host.items()}

    @cached_property
    def _tenants_by_key(self) -> dict[str, KeyedTenant]:
        return {key: tenant for tenant in self.tenants for key in tenant.keys}

    @cached_property
    def _services_by_name(self) -> dict[str, ServiceProfile]:
        return {service.name: service for service in self.services}

    def route_for(self, host: str, path: str) -> OpaqueRoute | None:
        """Return the route of ``host`` with the longest prefix that matches ``path``.

        >>> weights = (WeightedService("s", 1.0),)
        >>> short = OpaqueRoute("short", "h", "/a/", CallKind.REPEATABLE, weights, 1.0, 1.0)
        >>> long = OpaqueRoute("long", "h", "/a/b/", CallKind.REPEATABLE, weights, 1.0, 1.0)
        >>> configuration = OpaqueConfiguration(1, (short, long))
        >>> configuration.route_for("H:80", "/a/b/c").name, configuration.route_for("h", "/b")
        ('long', None)
        """
        name = host.rsplit(":", 1)[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def tenant_for(self, key: str) -> KeyedTenant | None:
        """Return the tenant to which ``key`` belongs."""
        return self._tenants_by_key.get(key)

    @property
    def has_tenants(self) -> bool:
        """Return whether any tenant is configured; without one, calls need no key."""
        return bool(self.tenants)

    @cached_property
    def _shortest_pauses(self) -> dict[str, float]:
        shortest: dict[str, float] = {}
        for route in self.routes:
            pause = route.pause_objective
            if pause is None:
                continue
            for item in route.services:
                shortest[item.service] = min(pause, shortest.get(item.service, pause))
        return shortest

    def shortest_pause(self, service: str) -> float | None:
        """Return the shortest pause objective of a service's routes, in seconds.

        A longer pause between events makes a stream of the service late. ``None`` where no
        route sets an objective.
        """
        return self._shortest_pauses.get(service)

    def service(self, name: str) -> ServiceProfile | None:
        """Return the profile of a service."""
        return self._services_by_name.get(name)


def _longest_prefix_first(routes: Iterable[OpaqueRoute]) -> tuple[OpaqueRoute, ...]:
    return tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
