"""Decoders of the own interface raise nothing but their typed errors, whatever they are sent."""

import asyncio
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from odd_documents import ODD_VALUES, odd_documents

from corkcrank.contracts import table_keys
from corkcrank.contracts.claims import ClaimRow, ClaimRowState, RowSeen, TableUnanswered
from corkcrank.contracts.configuration import (
    Configuration,
    ConfigurationDecodeError,
    Pipeline,
    Tier,
    decode_configuration,
    digest_api_key,
    encode_configuration,
)
from corkcrank.contracts.identifiers import Address, AttemptId, MemberId, TenantName, WorkerId
from corkcrank.contracts.messages import (
    GenerateCall,
    LoadReport,
    MachineList,
    ModelOrder,
    PipelineRequest,
    TokenChunk,
    WorkerEntry,
)
from corkcrank.contracts.plans import DrainWorker, PlanRow, PlanState
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.settings import PlatformSettings, ProcessSettings, Settings
from corkcrank.controller import planning
from corkcrank.controller.planning import Planner
from corkcrank.controller.routes import OperatorRoutes
from corkcrank.controller.zone_holder import ZoneHolder
from corkcrank.gateway.claim_store import ClaimStore
from corkcrank.gateway.request_reader import read_api_key, read_key, read_pipeline_request
from corkcrank.links.back_ends import BackEndClient, BackEndError, NotSent, PossiblySent
from corkcrank.links.http_table import HttpTable
from corkcrank.links.peer_codec import encode_heartbeat, encode_heartbeat_reply
from corkcrank.links.table import (
    CommitAnswer,
    Committed,
    Condition,
    Conflicted,
    ReadAnswer,
    Row,
    Rows,
    Unanswered,
    Write,
)
from corkcrank.links.traffic import ControlTraffic
from corkcrank.machines.leases import LeaseRow
from corkcrank.machines.member import MemberAgent
from corkcrank.machines.peer_routes import PeerRoutes
from corkcrank.zones.peer_messages import Heartbeat, HeartbeatReply

PIPELINE = Pipeline(name=cast("Any", "p"), stages=(), deadline_seconds=1.0)
CONFIGURATION = Configuration(version=3, tiers=(Tier(cast("Any", "t"), 0),), pipelines=(PIPELINE,))
LEASE = LeaseRow(MemberId("m"), Address("127.0.0.1:1"), 3, 4)
PLAN = PlanRow("p", 3, PlanState.DRAWN, DrainWorker(WorkerId("w"), drained=True), ())
CLAIM = ClaimRow(AttemptId("a"), "d", ClaimRowState.FINISHED, "x")
REPORT = LoadReport(WorkerId("w"), leaving=False, running=1, waiting=0, slots=2, fence=3)
ROW = Row("k", 3, "x")


def nested_configurations() -> list[bytes]:
    """Return configurations with an odd value within a tier or a pipeline."""
    sound = encode_configuration(CONFIGURATION)
    assert sound.count(b'"rank":0') == 1
    return [sound.replace(b'"rank":0', b'"rank":' + value) for value in ODD_VALUES] + [
        sound.replace(b'"stages":[]', b'"stages":[],"max_tokens":' + value) for value in ODD_VALUES
    ]


CONFIGURATIONS = [*odd_documents(CONFIGURATION), *nested_configurations()]


class RowsTable:
    """A table with rows that another writer changed."""

    def __init__(self, rows: dict[str, str]) -> None:
        self.rows = rows

    async def read(self, keys: Sequence[str]) -> Rows:
        return Rows(tuple(Row(key, 3, self.rows.get(key)) for key in keys))

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflicted:
        for write in writes:
            msgspec.json.encode(write)
        return Conflicted(tuple(Row(item.key, 3, self.rows.get(item.key)) for item in conditions))


def texts(documents: list[bytes]) -> list[str]:
    """Return the documents that a table can hold as text."""
    return [item.decode() for item in documents if b"\xff" not in item]


def test_odd_pipeline_requests_are_malformed() -> None:
    for body in odd_documents(PipelineRequest("x", 5)):
        result = read_pipeline_request(body)
        assert result.is_ok() or result.error.code is ResultCode.MALFORMED_REQUEST


@given(st.binary(max_size=40))
def test_any_bytes_are_no_pipeline_request_that_raises(body: bytes) -> None:
    read_pipeline_request(body)


@pytest.mark.parametrize("text", ["a\udcff", "\udc80b"])
def test_headers_that_are_no_text_raise_nothing(text: str) -> None:
    headers = {"Authorization": f"Bearer {text}", "Idempotency-Key": text}
    request = cast("Any", SimpleNamespace(headers=headers))
    digest_api_key(read_api_key(request))
    key = read_key(request)
    assert key.is_error()
    assert key.error.code is ResultCode.MALFORMED_REQUEST


def test_odd_configurations_raise_the_typed_error_or_can_be_sent_on() -> None:
    accepted = 0
    for data in CONFIGURATIONS:
        try:
            found = decode_configuration(data)
        except ConfigurationDecodeError:
            continue
        accepted += 1
        encode_configuration(found)
        encode_heartbeat_reply(HeartbeatReply(found.version, True, 1.0, Address("")))
    assert accepted


class AnsweringTable(HttpTable):
    """A client whose table answers one body."""

    def __init__(self, body: bytes) -> None:
        super().__init__(cast("Any", None), "127.0.0.1:1", ControlTraffic())
        self._body = body

    async def _post(self, path: str, body: msgspec.Struct) -> bytes:
        return self._body


def with_rows(document: bytes) -> list[bytes]:
    return [b'{"rows":[%s]}' % document, b'{"committed":true,"rows":[%s]}' % document]


async def test_odd_answers_of_the_table_count_as_none() -> None:
    documents = odd_documents(ReadAnswer((ROW,)), CommitAnswer(True, (ROW,)))
    documents += [body for item in odd_documents(ROW) for body in with_rows(item)]
    documents.append(msgspec.json.encode(CommitAnswer(True, (Row("other", 4, "x"),))))
    documents.append(msgspec.json.encode(CommitAnswer(False, (Row("other", 4, "x"),))))
    for body in documents:
        table = AnsweringTable(body)
        read = await table.read(("k",))
        assert isinstance(read, Unanswered) or read.rows[0].key == "k"
        outcome = await table.commit((Condition("k", 3),), (Write("k", "x"),))
        assert isinstance(outcome, Unanswered) or outcome.rows[0].key == "k"
        for found in (read, outcome):
            if not isinstance(found, Unanswered):
                msgspec.json.encode(Condition("k", found.rows[0].revision))


async def test_a_claim_that_cannot_be_read_is_not_taken_for_none() -> None:
    for value in texts(odd_documents(CLAIM)):
        store = ClaimStore(cast("Any", RowsTable({"k": value})))
        for seen in (await store.read("k"), await store.insert("k", CLAIM, 0)):
            if isinstance(seen, RowSeen):
                assert seen.row is not None
            else:
                assert isinstance(seen, TableUnanswered)


ODD_VERSIONS = ["", "x", "-1", "\u00b2", "1" * 5_000, str(10**23), str(1 << 63), "1.5", "[" * 9]


def planner_tables() -> list[dict[str, str]]:
    head, document = table_keys.CONFIGURATION_HEAD_KEY, table_keys.configuration_document_key(3)
    sound = {
        head: "3",
        document: encode_configuration(CONFIGURATION).decode(),
        table_keys.plan_key("p"): msgspec.json.encode(PLAN).decode(),
    }
    tables = [sound | {head: version} for version in ODD_VERSIONS]
    tables += [sound | {document: text} for text in texts(CONFIGURATIONS)]
    plan = table_keys.plan_key("p")
    return tables + [sound | {plan: text} for text in texts(odd_documents(PLAN))]


async def test_odd_rows_fail_plans_with_a_result_code(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(planning, "MAX_CONFIRM_RETRY_SECONDS", 0.0)
    for rows in planner_tables():
        planner = Planner(cast("Any", RowsTable(rows)))
        (await planner.create_plan(PLAN.intent)).is_ok()
        (await planner.confirm("p")).is_ok()


async def test_odd_intents_are_invalid() -> None:
    planner = Planner(cast("Any", RowsTable({})))
    routes = OperatorRoutes(planner, cast("Any", None), cast("Any", None))
    bodies = odd_documents(PLAN.intent)
    bodies += [b'{"type":"replace","configuration":%s}' % item for item in CONFIGURATIONS]
    for body in bodies:

        async def read(body: bytes = body) -> bytes:
            return body

        response = await routes._create_plan(cast("Any", SimpleNamespace(read=read)))
        assert response.status < 500 or b"TABLE_UNAVAILABLE" in cast("bytes", response.body)


@pytest.mark.parametrize("number", [*ODD_VERSIONS[1:], "0", str((1 << 64) - 1)])
async def test_odd_numbers_in_paths_raise_nothing(number: str) -> None:
    seen: list[int] = []
    holder = SimpleNamespace(encoded_summary=lambda known: seen.append(known))
    request = cast("Any", SimpleNamespace(match_info={"known": number, "version": number}))
    routes = OperatorRoutes(cast("Any", None), cast("Any", holder), cast("Any", None))
    assert (await routes._summary(request)).status == 404
    index = SimpleNamespace(configuration=CONFIGURATION)
    agent = SimpleNamespace(view=SimpleNamespace(adoption=SimpleNamespace(index=index)))
    peers = PeerRoutes(cast("Any", agent), cast("Any", None), cast("Any", None), ControlTraffic())
    found = await peers._send_configuration(request)
    assert found.status == (200 if number == "0" else 404)
    readable = number.isascii() and number.isdigit() and int(number[:30]) < 1 << 64
    assert seen == [int(number) if readable else 0]


def member_of(rows: dict[str, str]) -> MemberAgent:
    settings = Settings(
        ProcessSettings(MemberId("m"), cast("Any", "z"), Address("127.0.0.1:1")),
        PlatformSettings(Address("127.0.0.1:2"), Address("127.0.0.1:3")),
    )
    return MemberAgent(settings, "gateway", cast("Any", RowsTable(rows)), cast("Any", None))


async def test_odd_rows_end_no_loop_of_a_member() -> None:
    head, document = table_keys.CONFIGURATION_HEAD_KEY, table_keys.configuration_document_key(3)
    lease = table_keys.zone_lease_key("z")
    tables = [{head: version} for version in ODD_VERSIONS]
    tables += [{head: "3", document: text} for text in texts(CONFIGURATIONS)]
    tables += [{lease: text} for text in texts(odd_documents(LEASE))]
    for rows in tables:
        agent = member_of(rows)
        await agent.refresh()
        version = agent.view.adoption.announced_version
        encode_heartbeat_reply(HeartbeatReply(version, False, 1.0, Address("")))


async def test_a_lease_that_cannot_be_read_is_not_taken_for_none() -> None:
    key = table_keys.zone_lease_key("z")
    for text in texts(odd_documents(LEASE)):
        agent = member_of({key: msgspec.json.encode(LEASE).decode()})
        table = RowsTable({key: msgspec.json.encode(LEASE).decode()})
        holder = ZoneHolder(agent, cast("Any", table), cast("Any", None), cast("Any", None))
        await holder._refresh_leases()
        table.rows[key] = text
        await holder._refresh_leases()
        row = holder.lease.row
        assert row is not None
        if row.fence != LEASE.fence:
            msgspec.json.encode(row)
            assert 0 <= row.fence < 1 << 63


async def call_all(client: BackEndClient, address: str) -> list[LoadReport]:
    """Call a back end in every way; return the reports that were accepted."""
    call = GenerateCall(**CALL)
    try:
        async for chunk in client.generate(address, call, 5.0):
            msgspec.json.encode(chunk)
    except BackEndError:
        pass
    await client.read_machine_list(address)
    order = ModelOrder("s", WorkerId("w"), 3, ())
    reports = [await client.read_load_report(address), await client.send_order(address, order)]
    for report in reports:
        assert isinstance(report, LoadReport | NotSent | PossiblySent)
    return [report for report in reports if isinstance(report, LoadReport)]


CALL: dict[str, Any] = {
    "request": "r",
    "stage": 0,
    "attempt": "a",
    "tenant": TenantName("t"),
    "model": "m",
    "prompt": "x",
    "cache_salt": "",
    "max_tokens": 3,
}


async def test_odd_answers_of_back_ends_are_failures_or_can_be_reported() -> None:
    machines = MachineList(3, (WorkerEntry(WorkerId("w"), "s", "z", "127.0.0.1:1"),))
    bodies = odd_documents(REPORT, machines, TokenChunk(AttemptId("a"), 3))
    current = [b""]

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(body=current[0])

    server = await asyncio.get_running_loop().create_server(web.Server(answer), "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = BackEndClient(ControlTraffic())
    for body in bodies:
        current[0] = body
        for report in await call_all(client, address):
            beat = Heartbeat(
                member=MemberId("m"),
                role="gateway",
                zone="z",
                address=Address(""),
                configuration_version=1,
                reports=(report,),
            )
            encode_heartbeat(beat)
    await client.close()
    server.close()
