"""Checks every request for tenant, confirmed configuration and quota, and counts it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web
from expression import Error, Ok, Result

from corkcrank.contracts import clock
from corkcrank.contracts.configuration import ConfigurationIndex, Tenant
from corkcrank.contracts.identifiers import RequestId, new_request_id
from corkcrank.contracts.process_life import ProcessLife
from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.gateway import metrics
from corkcrank.gateway.quota import TenantQuotas
from corkcrank.gateway.request_reader import read_api_key
from corkcrank.links.logs import ComponentLog
from corkcrank.machines.member_view import MemberView

UNKNOWN_RANK = -1
"""Tier rank in the metrics for requests of unknown callers."""


@dataclass(frozen=True, slots=True)
class Caller:
    """A request's tenant, configuration and arrival time (seconds of :mod:`clock`)."""

    request: RequestId
    tenant: Tenant
    rank: int
    index: ConfigurationIndex
    arrived: float


@dataclass(frozen=True, slots=True)
class Served:
    """A response and its result code."""

    response: web.StreamResponse
    code: ResultCode


Serve = Callable[[web.Request, Caller], Awaitable[Served]]
Refuse = Callable[[web.Request, RequestId, Failure], web.StreamResponse]


class AccessControl:
    """Admits requests of known tenants and counts every request."""

    def __init__(self, view: MemberView, life: ProcessLife) -> None:
        self._view = view
        self._life = life
        self._quotas = TenantQuotas()
        self._log = ComponentLog("request")
        self.in_flight = 0

    async def handle(
        self, request: web.Request, serve: Serve, refuse: Refuse
    ) -> web.StreamResponse:
        """Serve or refuse one request; close the connection afterwards if draining."""
        identifier = new_request_id()
        arrived = clock.now()
        self.in_flight += 1
        metrics.IN_FLIGHT.set(self.in_flight)
        rank = UNKNOWN_RANK
        code = ResultCode.INTERNAL_ERROR
        try:
            caller = self._identify(request, identifier, arrived)
            if caller.is_error():
                code = caller.error.code
                return self._close_if_draining(refuse(request, identifier, caller.error))
            rank = caller.ok.rank
            served = await serve(request, caller.ok)
            code = served.code
            return self._close_if_draining(served.response)
        finally:
            self._record_end(identifier, rank, code, arrived)

    def check_quota(self, caller: Caller) -> Failure | None:
        """Count the request against the tenant's quota; return a refusal if it is exceeded."""
        wait = self._quotas.seconds_until_admission(
            caller.tenant.name,
            caller.tenant.requests_per_second,
            caller.tenant.burst,
            self._view.gateways,
            caller.arrived,
        )
        if wait <= 0:
            return None
        return Failure(ResultCode.TENANT_QUOTA_EXCEEDED, retry_after=wait)

    def _identify(
        self, request: web.Request, identifier: RequestId, arrived: float
    ) -> Result[Caller, Failure]:
        adoption = self._view.adoption
        if adoption.index is None or not adoption.may_admit(arrived):
            return Error(Failure(ResultCode.CONFIGURATION_NOT_CONFIRMED, retry_after=1.0))
        index = adoption.index
        tenant = index.tenant_for_key(read_api_key(request))
        if tenant is None:
            return Error(Failure(ResultCode.UNKNOWN_API_KEY))
        return Ok(Caller(identifier, tenant, index.tenant_rank(tenant), index, arrived))

    def _close_if_draining(self, response: web.StreamResponse) -> web.StreamResponse:
        if self._life.draining and not response.prepared:
            response.force_close()
        return response

    def _record_end(
        self, identifier: RequestId, rank: int, code: ResultCode, arrived: float
    ) -> None:
        self.in_flight -= 1
        elapsed = clock.now() - arrived
        metrics.IN_FLIGHT.set(self.in_flight)
        metrics.REQUESTS.labels(rank, code.number).inc()
        metrics.REQUEST_SECONDS.labels(rank).observe(elapsed)
        if code is not ResultCode.OK:
            self._log.info(
                "Request failed.",
                request=identifier,
                code=code.number,
                name=code.name,
                seconds=round(elapsed, 4),
            )
