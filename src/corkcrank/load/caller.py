"""Sends the requests of a trace and checks each answer against a recomputed one."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.configuration import Configuration, Pipeline
from corkcrank.contracts.identifiers import Address
from corkcrank.contracts.messages import FailureAnswer, PipelineAnswer, PlainResult
from corkcrank.contracts.result_codes import Ran
from corkcrank.load.expected import expected_text
from corkcrank.load.trace import Arrival, ArrivalKind
from corkcrank.standins.outputs import plain_result

PLAIN_DEADLINE_SECONDS = 3.0
"""Deadline that callers set for plain calls."""

CALLER_PATIENCE_SECONDS = 2.0
"""Time past the deadline after which a caller closes its connection."""

CONNECTION_LOST = 0
"""Code recorded when no final answer was received."""


@dataclass(frozen=True, slots=True)
class CallerRecord:
    """The result of one request; ``seconds`` is the time until the final answer."""

    arrival: Arrival
    code: int
    ran: str
    seconds: float
    deadline_seconds: float
    whole: bool
    wrong: bool
    answered_at: float
    first_token_seconds: float | None = None
    costs: Mapping[str, float] = field(default_factory=dict)

    @property
    def attained(self) -> bool:
        """Return whether the complete answer was received within the deadline."""
        return self.whole and self.seconds <= self.deadline_seconds


@dataclass(slots=True)
class _StreamRead:
    text: str = ""
    first_token_seconds: float | None = None
    end: PipelineAnswer | None = None
    error: FailureAnswer | None = None
    numbered: bool = True
    tokens: int = 0


class Caller:
    """Sends arrivals to gateways."""

    def __init__(self, session: aiohttp.ClientSession, configuration: Configuration) -> None:
        self._session = session
        self._configuration = configuration

    async def send(self, arrival: Arrival, gateway: Address) -> CallerRecord:
        """Send the request of one arrival and return its result."""
        started = clock.now()
        try:
            if arrival.kind == ArrivalKind.PIPELINE:
                return await self._send_pipeline(arrival, gateway, started)
            return await self._send_plain(arrival, gateway, started)
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.DecodeError):
            deadline = _deadline_seconds(arrival)
            return _record(arrival, started, deadline, CONNECTION_LOST, str(Ran.UNKNOWN))

    async def _send_pipeline(
        self, arrival: Arrival, gateway: Address, started: float
    ) -> CallerRecord:
        assert arrival.pipeline is not None
        headers = {"Authorization": f"Bearer {arrival.tenant.api_key}"}
        if arrival.streamed:
            headers["Accept"] = "text/event-stream"
        async with self._session.post(
            f"http://{gateway}/v1/pipelines/{arrival.pipeline.name}",
            data=msgspec.json.encode({"input": arrival.text}),
            headers=headers,
            timeout=_patience(arrival),
        ) as response:
            if response.status != 200:
                return _refused(arrival, started, await response.read())
            read = await _read_answer(response, arrival, started)
        return self._judge_pipeline(arrival, arrival.pipeline, started, read)

    def _judge_pipeline(
        self, arrival: Arrival, pipeline: Pipeline, started: float, read: _StreamRead
    ) -> CallerRecord:
        deadline = pipeline.deadline_seconds
        if read.error is not None:
            return _record(arrival, started, deadline, read.error.code, read.error.ran)
        if read.end is None:
            return _record(arrival, started, deadline, CONNECTION_LOST, str(Ran.UNKNOWN))
        expected = expected_text(
            self._configuration,
            pipeline,
            arrival.tenant.name,
            arrival.text,
            pipeline.max_tokens,
        )
        foreign = any(item.tenant != arrival.tenant.name for item in read.end.passages)
        right = read.end.text == expected and read.numbered and not foreign
        if arrival.streamed:
            right = right and read.text == expected
        return _record(
            arrival,
            started,
            deadline,
            read.end.code,
            read.end.ran,
            whole=right,
            wrong=not right,
            first_token_seconds=read.first_token_seconds,
            costs=read.end.stage_costs,
        )

    async def _send_plain(self, arrival: Arrival, gateway: Address, started: float) -> CallerRecord:
        headers = {
            "Authorization": f"Bearer {arrival.tenant.api_key}",
            "Corkcrank-Deadline-Ms": str(int(PLAIN_DEADLINE_SECONDS * 1000)),
        }
        if arrival.key:
            headers["Idempotency-Key"] = arrival.key
        async with self._session.post(
            f"http://{gateway}/v1/services/{arrival.service}/{arrival.operation}",
            data=arrival.text.encode(),
            headers=headers,
            timeout=_patience(arrival),
        ) as response:
            body = await response.read()
            if response.status != 200:
                return _refused(arrival, started, body)
        answer = msgspec.json.decode(body, type=PlainResult)
        right = answer.body == plain_result(arrival.operation, arrival.key, arrival.text)
        return _record(
            arrival,
            started,
            PLAIN_DEADLINE_SECONDS,
            answer.code,
            answer.ran,
            whole=right,
            wrong=not right,
        )


def _deadline_seconds(arrival: Arrival) -> float:
    return arrival.pipeline.deadline_seconds if arrival.pipeline else PLAIN_DEADLINE_SECONDS


def _patience(arrival: Arrival) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=_deadline_seconds(arrival) + CALLER_PATIENCE_SECONDS)


def _refused(arrival: Arrival, started: float, body: bytes) -> CallerRecord:
    failure = msgspec.json.decode(body, type=FailureAnswer)
    return _record(arrival, started, _deadline_seconds(arrival), failure.code, failure.ran)


def _record(
    arrival: Arrival,
    started: float,
    deadline: float,
    code: int,
    ran: str,
    *,
    whole: bool = False,
    wrong: bool = False,
    first_token_seconds: float | None = None,
    costs: Mapping[str, float] | None = None,
) -> CallerRecord:
    return CallerRecord(
        arrival=arrival,
        code=code,
        ran=ran,
        seconds=clock.now() - started,
        deadline_seconds=deadline,
        whole=whole,
        wrong=wrong,
        answered_at=time.time(),
        first_token_seconds=first_token_seconds,
        costs=costs or {},
    )


async def _read_answer(
    response: aiohttp.ClientResponse, arrival: Arrival, started: float
) -> _StreamRead:
    read = _StreamRead()
    if not arrival.streamed:
        read.end = msgspec.json.decode(await response.read(), type=PipelineAnswer)
        return read
    number = ""
    event = ""
    async for line in response.content:
        name, _, value = line.decode().rstrip("\n").partition(": ")
        if name == "id":
            number = value
        elif name == "event":
            event = value
        elif name == "data":
            _apply_event(read, event, number, value, started)
    return read


def _apply_event(read: _StreamRead, event: str, number: str, data: str, started: float) -> None:
    if event == "token":
        if read.first_token_seconds is None:
            read.first_token_seconds = clock.now() - started
        read.numbered = read.numbered and number == str(read.tokens)
        read.tokens += 1
        read.text += msgspec.json.decode(data)["token"]
    elif event == "end":
        read.end = msgspec.json.decode(data, type=PipelineAnswer)
    elif event == "error":
        read.error = msgspec.json.decode(data, type=FailureAnswer)
