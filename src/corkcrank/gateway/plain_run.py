"""Runs one call to a plain service, directly or under a claim."""

import asyncio
from dataclasses import dataclass

import xxhash

from corkcrank.contracts import clock, table_keys
from corkcrank.contracts.claims import (
    CallAnswered,
    CallInterrupted,
    CallNotSent,
    ClaimEvent,
    ClaimInstruction,
    ClaimProcess,
    ClaimStarted,
    DeadlineReached,
    InsertClaim,
    ReadClaim,
    RecordRow,
    Reply,
    SendCall,
)
from corkcrank.contracts.configuration import Service
from corkcrank.contracts.identifiers import AttemptId, RequestId, TenantName, new_attempt_id
from corkcrank.contracts.messages import PlainAnswer, PlainCall
from corkcrank.contracts.result_codes import Ran, ResultCode
from corkcrank.gateway import metrics
from corkcrank.gateway.answer_checks import matches_plain_call
from corkcrank.gateway.claim_store import ClaimStore
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.links.back_ends import PLAIN_RESULT_TIMEOUT_SECONDS, NotSent, PossiblySent

READ_PAUSE_SECONDS = 0.1
"""Pause before rereading a claim's row."""


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """One call to a plain service; ``deadline`` is in seconds of :mod:`clock`."""

    request: RequestId
    tenant: TenantName
    service: Service
    operation: str
    key: str
    body: str
    deadline: float


class ClaimedCall:
    """Executes one :class:`ClaimProcess`, even after the caller has disconnected."""

    def __init__(self, request: PlainRequest, dispatcher: Dispatcher, store: ClaimStore) -> None:
        self._request = request
        self._dispatcher = dispatcher
        self._store = store
        digest = xxhash.xxh3_128_hexdigest(
            f"{request.service.name}\x00{request.operation}\x00{request.body}".encode()
        )
        self._process = ClaimProcess(new_attempt_id(), digest, request.deadline)
        self._key = table_keys.claim_key(request.tenant, request.key)
        self.reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

    async def run(self) -> None:
        """Run until the claim is finished; set :attr:`reply` as soon as it is known."""
        alarm = asyncio.create_task(self._watch_deadline())
        try:
            await self._run_instructions()
        finally:
            alarm.cancel()
            if not self.reply.done():
                self.reply.set_result(Reply(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN))

    async def _run_instructions(self) -> None:
        instructions = self._process.handle_event(ClaimStarted(), clock.now())
        while True:
            event = await self._execute(instructions)
            if event is None:
                return
            instructions = self._process.handle_event(event, clock.now())

    async def _watch_deadline(self) -> None:
        await asyncio.sleep(max(0.0, self._request.deadline - clock.now()))
        for instruction in self._process.handle_event(DeadlineReached(), clock.now()):
            if isinstance(instruction, Reply):
                self._set_reply(instruction)

    async def _execute(self, instructions: list[ClaimInstruction]) -> ClaimEvent | None:
        event: ClaimEvent | None = None
        for instruction in instructions:
            match instruction:
                case InsertClaim(row=row, expected_revision=revision):
                    event = await self._store.insert(self._key, row, revision)
                case ReadClaim(after_pause=after_pause):
                    await asyncio.sleep(READ_PAUSE_SECONDS if after_pause else 0.0)
                    event = await self._store.read(self._key)
                case SendCall():
                    event = await self._send()
                case RecordRow(row=row):
                    self._store.record(self._key, row)
                case Reply():
                    self._set_reply(instruction)
        return event

    def _set_reply(self, reply: Reply) -> None:
        if not self.reply.done():
            self.reply.set_result(reply)

    async def _send(self) -> ClaimEvent:
        outcome = await send_plain(
            self._request,
            self._process.attempt,
            self._dispatcher,
            PLAIN_RESULT_TIMEOUT_SECONDS,
            fresh=True,
        )
        match outcome:
            case PlainAnswer(body=body):
                return CallAnswered(body)
            case NotSent():
                return CallNotSent()
            case PossiblySent():
                return CallInterrupted()


async def send_plain(
    request: PlainRequest,
    attempt: AttemptId,
    dispatcher: Dispatcher,
    timeout: float,
    *,
    fresh: bool,
) -> PlainAnswer | NotSent | PossiblySent:
    """Send one call to a chosen back end and check its answer."""
    service = request.service.name
    worker = dispatcher.choose_worker(service, frozenset(), affinity="")
    if worker is None:
        return NotSent("no live back end")
    call = PlainCall(
        request.request, attempt, request.tenant, request.operation, request.key, request.body
    )
    with dispatcher.count_in_flight(worker) as address:
        outcome = await dispatcher.back_ends.call_plain(address, call, timeout, fresh)
    if isinstance(outcome, PlainAnswer):
        if not matches_plain_call(call, outcome):
            metrics.DROPPED_ANSWERS.labels(service).inc()
            return PossiblySent("the answer belongs to another call")
        cost = outcome.busy_seconds * request.service.cost_per_second
        metrics.STAGE_COST.labels(service).inc(cost)
        return outcome
    dispatcher.view.mark_suspect(worker, clock.now())
    return outcome
