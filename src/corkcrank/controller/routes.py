"""The controller's HTTP routes for operators and for the lease holders of other zones."""

from typing import TypeVar, cast

import msgspec
from aiohttp import web
from expression import Result

from corkcrank.contracts.bounded_values import parse_unsigned
from corkcrank.contracts.plans import Intent
from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.controller.planning import Planner
from corkcrank.controller.zone_holder import ZoneHolder
from corkcrank.links.platform_ports import Unreadable
from corkcrank.links.strict_json import decode_strictly
from corkcrank.machines.member import MemberAgent

_BodyT = TypeVar("_BodyT", bound=msgspec.Struct)

MAX_INTENT_BYTES = 1 << 22
"""Maximum size of an intent; a whole configuration of the planned size is about 150 kB."""


class FailureView(msgspec.Struct, frozen=True):
    """A failure as shown to operators."""

    code: int
    name: str
    detail: str


class MemberVersion(msgspec.Struct, frozen=True):
    """The configuration version in force at one member."""

    member: str
    version: int


class HolderView(msgspec.Struct, frozen=True):
    """The last known holder of a zone's lease."""

    zone: str
    address: str


class StatusView(msgspec.Struct, frozen=True):
    """A controller's answer to ``status``."""

    controller: str
    zone: str
    publishes: bool
    fence: int
    committed_version: int
    members: tuple[MemberVersion, ...]
    holders: tuple[HolderView, ...]


class OperatorRoutes:
    """Serves plan, confirm and status, and the summary for other zones."""

    def __init__(self, planner: Planner, holder: ZoneHolder, agent: MemberAgent) -> None:
        self._planner = planner
        self._holder = holder
        self._agent = agent

    def add_to(self, application: web.Application) -> None:
        """Add the routes to an application."""
        application.add_routes(
            [
                web.post("/operator/plans", self._create_plan),
                web.post("/operator/plans/{plan_id}/confirm", self._confirm),
                web.get("/operator/status", self._status),
                web.get("/peer/summary/{known}", self._summary),
            ]
        )

    async def _create_plan(self, request: web.Request) -> web.Response:
        intent = decode_strictly(await request.read(), cast("type[Intent]", Intent))
        if isinstance(intent, Unreadable):
            return _failure(Failure(ResultCode.INTENT_INVALID, intent.reason))
        return _respond(await self._planner.create_plan(intent))

    async def _confirm(self, request: web.Request) -> web.Response:
        result = await self._planner.confirm(request.match_info["plan_id"])
        if result.is_ok() and result.ok.code == ResultCode.OK.number:
            self._agent.view.adoption.record_announced_version(result.ok.version)
            self._holder.wake_if_newer()
            await self._agent.send_heartbeat()
        return _respond(result)

    async def _status(self, request: web.Request) -> web.Response:
        versions = self._holder.member_versions
        live = {entry.member for entry in self._agent.view.tables.membership.members}
        members = tuple(
            MemberVersion(name, versions[name]) for name in sorted(versions) if name in live
        )
        status = StatusView(
            controller=self._agent.settings.process.name,
            zone=self._holder.zone,
            publishes=self._holder.publishes,
            fence=self._holder.lease.fence,
            committed_version=self._agent.view.adoption.announced_version,
            members=members if self._holder.publishes else (),
            holders=tuple(
                HolderView(lease.zone, lease.row.address) for lease in self._holder.known_holders()
            ),
        )
        return _json(status, 200)

    async def _summary(self, request: web.Request) -> web.Response:
        known = parse_unsigned(request.match_info["known"])
        body = self._holder.encoded_summary(known or 0)
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body, content_type="application/octet-stream")


def _respond(result: Result[_BodyT, Failure]) -> web.Response:
    return _json(result.ok, 200) if result.is_ok() else _failure(result.error)


def _failure(failure: Failure) -> web.Response:
    view = FailureView(failure.code.number, failure.code.name, failure.detail)
    return _json(view, failure.code.http_status)


def _json(body: msgspec.Struct, status: int) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
