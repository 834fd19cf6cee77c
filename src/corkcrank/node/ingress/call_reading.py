"""Reads a call from a caller's request: its route, its tenant, and the room that its body needs."""

import sys

from aiohttp import web

from corkcrank.contracts.opaque_call import CallEnvelope, OpaqueCall
from corkcrank.contracts.opaque_configuration import (
    KeyedTenant,
    OpaqueConfiguration,
    OpaqueRoute,
    RequestLimits,
)
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.links.platform_ports import CallCodec
from corkcrank.node.callers.refusals import Refusal
from corkcrank.scheduling.body_budget import BodyClaim

DEFAULT_BUDGET_SECONDS = 30.0
"""Time budget of a caller that sends none, in seconds."""

FIELD_FRAMING_BYTES = 4
"""Bytes of a header field besides its name and value: colon, space and line end."""

LAST_RANK = (sys.maxsize, sys.maxsize)
"""Rank of a request that no route or tenant has."""


def claim_room(
    request: web.BaseRequest, configuration: OpaqueConfiguration, calls: CallCodec, size: int
) -> BodyClaim:
    """Return the claim of a request for its body; one that will be refused comes last."""
    envelope = calls.read_envelope(request.headers)
    route = find_route(configuration, request)
    if route is None or isinstance(envelope, str):
        return BodyClaim(size, "", LAST_RANK)
    tenant = find_tenant(configuration, route, envelope)
    if isinstance(tenant, Refusal):
        return BodyClaim(size, "", LAST_RANK)
    return BodyClaim(size, tenant.name if tenant else "", call_rank(tenant, route))


def build_call(
    request: web.BaseRequest,
    body: bytes,
    arrived_at: float,
    configuration: OpaqueConfiguration,
    envelope: CallEnvelope,
    route: OpaqueRoute,
    tenant: KeyedTenant | None,
) -> OpaqueCall:
    """Return the call of a request; its body is forwarded without being parsed.

    ``end_at``, the end of work on the call, applies the caller's budget and the route's timeout;
    ``caller_end_at``, the end of the caller's wait, only the budget.
    """
    budget = envelope.budget_seconds
    caller_seconds = DEFAULT_BUDGET_SECONDS if budget is None else budget
    return OpaqueCall(
        envelope=envelope,
        route=route,
        service=route.service_for(envelope.call_id),
        tenant=tenant.name if tenant is not None else "",
        rank=call_rank(tenant, route),
        method=request.method,
        target=request.raw_path,
        headers=[
            (_decode_header(name), _decode_header(value)) for name, value in request.raw_headers
        ],
        body=body,
        arrived_at=arrived_at,
        end_at=arrived_at + min(caller_seconds, route.timeout),
        caller_end_at=arrived_at + caller_seconds,
        configuration_version=configuration.version,
    )


def find_route(configuration: OpaqueConfiguration, request: web.BaseRequest) -> OpaqueRoute | None:
    """Return the route of a request's host and path."""
    path = request.raw_path.partition("?")[0]
    return configuration.route_for(request.headers.get("Host", ""), path)


def call_rank(tenant: KeyedTenant | None, route: OpaqueRoute) -> tuple[int, int]:
    """Return the rank of a call; that of its tenant comes before that of its route."""
    return (tenant.rank if tenant is not None else 0, route.rank)


def find_tenant(
    configuration: OpaqueConfiguration, route: OpaqueRoute, envelope: CallEnvelope
) -> KeyedTenant | Refusal | None:
    """Return the tenant of a request's key, or a refusal if its route needs a known key."""
    if not configuration.has_tenants:
        return None
    tenant = configuration.tenant_for(envelope.key) if envelope.key else None
    if tenant is None and route.needs_key:
        return Refusal(ResultCode.UNKNOWN_API_KEY, f"version {configuration.version}")
    return tenant


def check_head(request: web.BaseRequest, limits: RequestLimits) -> Refusal | None:
    """Return why a request cannot be read, judged by its head."""
    size = sum(len(name) + len(value) + FIELD_FRAMING_BYTES for name, value in request.raw_headers)
    if size + len(request.raw_path) > limits.header_bytes:
        return Refusal(ResultCode.HEADERS_TOO_LARGE, close=True)
    names = [name.lower() for name, _ in request.raw_headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        return Refusal(
            ResultCode.MALFORMED_REQUEST,
            "both Content-Length and Transfer-Encoding are set",
            close=True,
        )
    if names.count(b"content-length") > 1 or names.count(b"host") != 1:
        return Refusal(
            ResultCode.MALFORMED_REQUEST,
            "more than one Content-Length, or not exactly one Host header",
            close=True,
        )
    length = request.content_length
    if length is not None and length > limits.body_bytes:
        return Refusal(ResultCode.BODY_TOO_LARGE, close=True)
    return None


def _decode_header(raw: bytes) -> str:
    return raw.decode("utf-8", "surrogateescape")
