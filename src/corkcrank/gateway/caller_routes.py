"""The gateway's HTTP routes for callers and load balancers."""

from aiohttp import web
from aiohttp.typedefs import Handler

from corkcrank.contracts import clock
from corkcrank.contracts.identifiers import new_request_id
from corkcrank.contracts.process_life import ProcessLife
from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.contracts.settings import Settings
from corkcrank.gateway.access_control import AccessControl
from corkcrank.gateway.claim_store import ClaimStore
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.gateway.pipeline_handler import PipelineHandler
from corkcrank.gateway.plain_handler import PlainHandler
from corkcrank.gateway.responses import failure_response
from corkcrank.links.logs import ComponentLog
from corkcrank.machines.member_view import MemberView


class CallerRoutes:
    """Serves pipelines, plain services and health checks."""

    def __init__(
        self,
        view: MemberView,
        dispatcher: Dispatcher,
        claims: ClaimStore,
        life: ProcessLife,
        settings: Settings,
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._life = life
        self._access = AccessControl(view, life)
        self._pipelines = PipelineHandler(self._access, dispatcher, settings)
        self._plain = PlainHandler(self._access, dispatcher, claims, settings)
        self._log = ComponentLog("request")

    def add_to(self, application: web.Application) -> None:
        """Add the routes to an application."""
        application.middlewares.append(self._answer_errors)
        application.add_routes(
            [
                web.post("/v1/pipelines/{pipeline}", self._pipelines.handle),
                web.post("/v1/services/{service}/{operation}", self._plain.handle),
                web.get("/healthz", self._handle_health),
                web.get("/readyz", self._handle_ready),
                web.route("*", "/{path:.*}", self._handle_unknown),
            ]
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._access.in_flight

    @property
    def unsettled_claims(self) -> int:
        """Return the number of claims that are running or not recorded."""
        return self._plain.unsettled_claims

    @web.middleware
    async def _answer_errors(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Convert an unexpected exception into an answer with a result code."""
        try:
            return await handler(request)
        except (web.HTTPException, ConnectionResetError):
            raise
        except Exception as error:
            identifier = new_request_id()
            self._log.warning("Fault in the gateway.", request=identifier, error=repr(error))
            return failure_response(identifier, Failure(ResultCode.INTERNAL_ERROR))

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(text="alive")

    async def _handle_ready(self, request: web.Request) -> web.Response:
        confirmed = self._view.adoption.may_admit(clock.now())
        ready = confirmed and self._dispatcher.view.known and not self._life.draining
        return web.Response(status=200 if ready else 503, text="ready" if ready else "not ready")

    async def _handle_unknown(self, request: web.Request) -> web.Response:
        return failure_response(new_request_id(), Failure(ResultCode.UNKNOWN_PATH, request.path))
