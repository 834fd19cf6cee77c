"""HTTP client of the command line for controllers and nodes."""

import asyncio
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec
from expression import Error, Ok, Result

from corkcrank.contracts.plans import ConfirmAnswer, Intent, PlanView
from corkcrank.contracts.request_release import RELEASE_REQUEST_PATH, ReleaseAnswer
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.controller.routes import FailureView, StatusView
from corkcrank.links.client_connections import ClientConnector

TIMEOUT_SECONDS = 10.0
"""Timeout of a call to a controller; a confirm may take some seconds of retries."""

_BodyT = TypeVar("_BodyT")


@dataclass(frozen=True, slots=True)
class ControllerClient:
    """Calls one controller or node at ``ip:port``."""

    address: str

    def create_plan(self, intent: Intent) -> Result[PlanView, FailureView]:
        """Create a plan from an intent."""
        return self._run("POST", "/operator/plans", msgspec.json.encode(intent), PlanView)

    def confirm(self, plan_id: str) -> Result[ConfirmAnswer, FailureView]:
        """Confirm a plan."""
        path = f"/operator/plans/{plan_id}/confirm"
        return self._run("POST", path, b"", ConfirmAnswer)

    def status(self) -> Result[StatusView, FailureView]:
        """Return which versions are in force."""
        return self._run("GET", "/operator/status", b"", StatusView)

    def dump(self) -> Result[dict[str, object], FailureView]:
        """Return the state of any process."""
        return self._run("GET", "/dump", b"", dict[str, object])

    def release_request(self, request: str) -> Result[ReleaseAnswer, FailureView]:
        """Release a quarantined request through a node."""
        return self._run("POST", RELEASE_REQUEST_PATH, request.encode(), ReleaseAnswer)

    def _run(
        self, method: str, path: str, body: bytes, answer_type: type[_BodyT]
    ) -> Result[_BodyT, FailureView]:
        try:
            status, content = asyncio.run(self._request(method, path, body))
            if status == 200:
                return Ok(msgspec.json.decode(content, type=answer_type))
            return Error(msgspec.json.decode(content, type=FailureView))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as error:
            code = ResultCode.TABLE_UNAVAILABLE
            if "confirm" in path and not isinstance(error, aiohttp.ClientConnectorError):
                code = ResultCode.CONFIRM_UNKNOWN
            detail = f"no answer from {self.address}: {type(error).__name__}"
            return Error(FailureView(code.number, code.name, detail))

    async def _request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        async with (
            aiohttp.ClientSession(connector=ClientConnector(), timeout=timeout) as session,
            session.request(method, f"http://{self.address}{path}", data=body or None) as response,
        ):
            return response.status, await response.read()
