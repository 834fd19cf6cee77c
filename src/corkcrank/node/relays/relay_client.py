"""Sends requests to workers that this gateway cannot reach through members that can."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Collection
from http import HTTPStatus
from weakref import WeakSet

import aiohttp
import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.abandoned_tasks import abandon
from corkcrank.links.client_connections import ClientConnector
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.silence import (
    ConnectionKind,
    SilenceListener,
    SilentConnection,
    drop_idle,
    ignore_silence,
)
from corkcrank.links.sliced_body import request_body
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.members import Member
from corkcrank.node.peers.peer_client import (
    PEER_CONNECT_TIMEOUT_SECONDS,
    PEER_SILENCE_SECONDS,
    PeerClient,
    PeerFailure,
    decode_answer,
)
from corkcrank.node.relays.relay_members import RelayMembers
from corkcrank.node.relays.relay_protocol import (
    RELAY_HEADER,
    RELAY_PATH,
    RELAY_RETRY_HEADER,
    WORKER_PROBE_PATH,
    RelayedRequest,
    RelayOutcome,
    WorkerProbeAnswer,
    WorkerProbeRequest,
    encode_relayed_head,
)
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.worker_client import MAX_IDLE_SECONDS
from corkcrank.node.workers.worker_request import (
    MemberSearch,
    SendFailure,
    SendResult,
    SendTrouble,
    WorkerRequest,
)
from corkcrank.node.workers.worker_sessions import create_session
from corkcrank.scheduling.worker_notices import WorkerNotices

MAX_MEMBERS = 3
"""Maximum number of members to which a request is offered, one after the other."""

PROBED_MEMBERS = 4
"""Number of members that are probed concurrently for a worker."""

MAX_PROBED_MEMBERS = 12
"""Maximum number of members probed in one search, so that its cost is independent of the fleet."""

PROBE_TIMEOUT_SECONDS = 0.4
"""Timeout of a member's probe: longer than the member's own connection attempt."""

MAX_TIMER_LAG_SECONDS = 0.1
"""Maximum delay of a timer. If probes exceed their timeout by more, the event loop of this gateway
was delayed, and the search is inconclusive."""

MEMBER_CHECK_SECONDS = 0.25
"""Interval of checks whether a relaying member is suspected to have failed."""

_NOT_HANDLED_STATUSES = frozenset((HTTPStatus.NOT_FOUND, HTTPStatus.BAD_REQUEST))
"""Statuses of a member whose release does not support relayed requests."""

_FAILURES = {
    RelayOutcome.NOT_SENT: SendTrouble.NOT_SENT,
    RelayOutcome.REFUSED: SendTrouble.REFUSED,
    RelayOutcome.UNKNOWN: SendTrouble.UNKNOWN,
}


class RelayClient:
    """Chooses members for requests, sends each request at most once, and returns the responses.

    ``on_waiting`` is called periodically with the name of a member whose response is pending.
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: PeerClient,
        notices: WorkerNotices,
        log: DecisionLog,
        metrics: NodeMetrics,
    ) -> None:
        self.on_silence: SilenceListener = ignore_silence
        self._fleet = fleet
        self._peers = peers
        self._notices = notices
        self._log = log
        self._metrics = metrics
        self._kept = create_session(ClientConnector(limit=0, keepalive_timeout=MAX_IDLE_SECONDS))
        self._fresh = create_session(ClientConnector(limit=0, force_close=True))
        self._members = RelayMembers(fleet)
        self._open: dict[str, WeakSet[aiohttp.ClientResponse]] = defaultdict(WeakSet)
        self._searches: dict[str, asyncio.Task[MemberSearch]] = {}
        self.on_waiting: Callable[[str], None] = lambda member: None

    async def close(self) -> None:
        """Close every connection."""
        for search in self._searches.values():
            search.cancel()
        await self._kept.close()
        await self._fresh.close()

    @property
    def available(self) -> bool:
        """Return whether any member can relay requests."""
        return self._fleet.has_relay_members(clock.now())

    async def find_member(self, worker: WorkerRecord) -> MemberSearch:
        """Search for a member that can connect to a worker.

        Concurrent requests to the same worker share a search.
        """
        search = self._searches.get(worker.worker_id)
        if search is None:
            search = asyncio.create_task(self._search(worker))
            self._searches[worker.worker_id] = search
            search.add_done_callback(lambda _: self._searches.pop(worker.worker_id, None))
        return await asyncio.shield(search)

    async def send(self, request: WorkerRequest) -> SendResult | None:
        """Send a request through a member; return ``None`` if none accepts it and nothing was sent.

        The member that last reached the worker is tried first.
        """
        declined: set[str] = set()
        while len(declined) < MAX_MEMBERS:
            member = self._members.choose(request.worker, declined)
            if member is None:
                return None
            result = await self._send_through(member, request)
            if result is not None:
                return result
            declined.add(member.heartbeat.name)
        return None

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the members that reached workers which are no longer listed."""
        self._members.retain_only(worker_ids)

    def drop_member(self, name: str) -> None:
        """Abort the responses that a failed member relays, because they may never end."""
        for response in list(self._open.pop(name, ())):
            connection = response.connection
            if connection is not None and connection.transport is not None:
                connection.transport.abort()

    async def _search(self, worker: WorkerRecord) -> MemberSearch:
        found = MemberSearch()
        candidates = self._members.ranked_with_unreachable(worker)[:MAX_PROBED_MEMBERS]
        while candidates and found.member is None:
            asked, candidates = candidates[:PROBED_MEMBERS], candidates[PROBED_MEMBERS:]
            answer = await self._ask_together(asked, worker)
            found = found.joined(answer)
        self._members.record_reached(worker.worker_id, found.member)
        return found

    async def _ask_together(self, members: list[Member], worker: WorkerRecord) -> MemberSearch:
        """Return the first member that reports that it reaches a worker."""
        questions = [asyncio.create_task(self._ask(member, worker)) for member in members]
        found, started = MemberSearch(), clock.loop_time()
        try:
            for question in asyncio.as_completed(questions):
                found = found.joined(await question)
                if found.member is not None:
                    return found
        finally:
            for task in questions:
                task.cancel()
        late = clock.loop_time() - started - PROBE_TIMEOUT_SECONDS > MAX_TIMER_LAG_SECONDS
        return MemberSearch(complete=False) if late else found

    async def _ask(self, member: Member, worker: WorkerRecord) -> MemberSearch:
        """Return the member if it reaches a worker, and whether its answer was conclusive."""
        message = msgspec.msgpack.encode(WorkerProbeRequest(worker.worker_id))
        body = await self._peers.request(
            member.heartbeat.address,
            WORKER_PROBE_PATH,
            message,
            timeout_seconds=PROBE_TIMEOUT_SECONDS,
        )
        answer = decode_answer(body, WorkerProbeAnswer)
        if isinstance(answer, PeerFailure):
            return MemberSearch(complete=answer is not PeerFailure.SILENT)
        if answer.reached:
            return MemberSearch(member.heartbeat.name)
        return MemberSearch(complete=not answer.late, denied=not answer.late)

    async def _send_through(self, member: Member, request: WorkerRequest) -> SendResult | None:
        """Send a request through one member; return ``None`` if the member declines it."""
        if request.still_wanted is not None and not request.still_wanted():
            return SendFailure(SendTrouble.WITHDRAWN, "withdrawn before it was sent")
        name = member.heartbeat.name
        with self._members.count_waiting(name):
            result = await self._exchange(member, request)
        outcome = _outcome_of(result)
        self._metrics.relayed_requests.labels(outcome.value).inc()
        self._log.write(
            LogEvent.REQUEST_RELAYED,
            call=request.call_id,
            worker=request.worker.worker_id,
            member=name,
            outcome=outcome.value,
        )
        if isinstance(result, SendFailure):
            return result
        return self._read_response(request, result, outcome, name)

    def _read_response(
        self,
        request: WorkerRequest,
        response: aiohttp.ClientResponse | None,
        outcome: RelayOutcome,
        name: str,
    ) -> SendResult | None:
        """Return the worker's response, or the failure that the member's response states."""
        if response is None or outcome is RelayOutcome.DECLINED:
            return None
        if outcome is RelayOutcome.ANSWERED:
            self._members.record_reached(request.worker.worker_id, name)
            self._open[name].add(response)
            _remove_relay_headers(response)
            return response
        seconds = _read_seconds(response.headers.get(RELAY_RETRY_HEADER, ""))
        response.release()
        if outcome is RelayOutcome.WITHDRAWN:
            # Without this record, the next choice would be the same worker.
            self._notices.record_backoff(request.worker.worker_id, seconds, clock.now())
            return SendFailure(SendTrouble.WITHDRAWN, f"backoff at member {name}")
        return SendFailure(_FAILURES[outcome], f"{outcome.value} at member {name}")

    async def _exchange(
        self, member: Member, request: WorkerRequest
    ) -> aiohttp.ClientResponse | SendFailure | None:
        """Return a member's response or the failure, or ``None`` if nothing was sent."""
        name, started = member.heartbeat.name, clock.now()
        task = asyncio.create_task(self._post(member.heartbeat.address, request))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=MEMBER_CHECK_SECONDS)
                if task.done():
                    break
                self.on_waiting(name)
                if self._fleet.is_suspected(name, clock.now()):
                    abandon(task, lambda response: response.close())
                    return SendFailure(SendTrouble.UNKNOWN, f"member {name} is lost")
        except asyncio.CancelledError:
            abandon(task, lambda response: response.close())
            raise
        try:
            return task.result()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            self._members.record_unreachable(name)
            drop_idle(self._kept, member.heartbeat.address)
            return None
        except TimeoutError:
            self._record_silence(member.heartbeat.address, clock.now() - started)
            return SendFailure(SendTrouble.UNKNOWN, f"connection to member {name} is silent")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return SendFailure(SendTrouble.UNKNOWN, f"{type(error).__name__} of member {name}")

    async def _post(self, address: str, request: WorkerRequest) -> aiohttp.ClientResponse:
        head = RelayedRequest(
            sender=self._fleet.local_name,
            worker_id=request.worker.worker_id,
            method=request.method,
            target=_encode(request.target),
            headers=tuple((_encode(name), _encode(value)) for name, value in request.headers),
            seconds=request.seconds,
            fresh=request.fresh,
            new_work=request.new_work,
            call_id=request.call_id,
        )
        session = self._fresh if request.fresh else self._kept
        response = await session.post(
            f"http://{address}{RELAY_PATH}",
            data=request_body(encode_relayed_head(head), request.body),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=PEER_CONNECT_TIMEOUT_SECONDS,
                sock_read=PEER_SILENCE_SECONDS,
            ),
        )
        connection = response.connection
        if connection is not None and connection.protocol is not None:
            # Only the member sends interim responses; a worker may pause within its body.
            connection.protocol.read_timeout = None
            connection.protocol._reschedule_timeout()
        return response

    def _record_silence(self, address: str, waited: float) -> None:
        idle = drop_idle(self._kept, address)
        self.on_silence(SilentConnection(ConnectionKind.PEER, address, waited, idle))


def _outcome_of(result: aiohttp.ClientResponse | SendFailure | None) -> RelayOutcome:
    if result is None:
        return RelayOutcome.DECLINED
    if isinstance(result, SendFailure):
        return RelayOutcome.UNKNOWN
    outcome = result.headers.get(RELAY_HEADER)
    if outcome is None and result.status in _NOT_HANDLED_STATUSES:
        return RelayOutcome.DECLINED
    try:
        return RelayOutcome(outcome or "")
    except ValueError:
        return RelayOutcome.UNKNOWN


def _read_seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def _remove_relay_headers(response: aiohttp.ClientResponse) -> None:
    """Remove the headers that the relaying member added."""
    headers = CIMultiDict(response.headers)
    headers.popall(RELAY_HEADER, None)
    response._headers = CIMultiDictProxy(headers)
    # The library caches the headers after the first access.
    response._cache.pop("headers", None)


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")
