"""Runs the examples of ``docs/INTERFACE.md`` and checks the result code of each invalid request."""

import asyncio
import itertools
import re
import shlex
from pathlib import Path
from typing import Any

import msgspec

from corkcrank.contracts.configuration import ServiceKind
from corkcrank.contracts.identifiers import Address
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.load.deployment import Deployment, load_deployment
from corkcrank.load.local_cluster import LocalCluster
from small import small_deployment

PAGE = Path(__file__).parent.parent.parent / "docs" / "INTERFACE.md"
QUOTA_BURST = 10
EXAMPLES = Path(__file__).parent.parent.parent / "examples"


def page_deployment() -> Deployment:
    """Return the small deployment plus every plain service that the page uses."""
    small = small_deployment(machines=1)
    whole = load_deployment(EXAMPLES / "association.toml")
    named = {service.name for service in small.services}
    others = tuple(
        msgspec.structs.replace(service, workers=1)
        for service in whole.services
        if service.kind == ServiceKind.PLAIN and service.name not in named
    )
    return msgspec.structs.replace(small, services=(*small.services, *others))


def examples() -> list[str]:
    blocks = re.findall(r"```sh\n(.*?)```", PAGE.read_text(encoding="utf-8"), re.DOTALL)
    return [block.replace("\\\n", " ").strip() for block in blocks]


async def run_example(cluster: LocalCluster, command: str) -> tuple[int, dict[str, str], bytes]:
    """Run a curl command of the page."""
    gateway = cluster.gateways()[0].caller_address
    key = cluster.deployment.tenants[0].api_key
    words = shlex.split(command.replace("$GATEWAY", gateway).replace("$KEY", key))
    url = next(word for word in words if word.startswith("http://"))
    headers: dict[str, str] = {}
    data = ""
    for flag, value in itertools.pairwise(words):
        if flag == "-H":
            name, _, text = value.partition(": ")
            headers[name] = text
        elif flag == "-d":
            data = value
    async with cluster.session.post(url, headers=headers, data=data.encode()) as response:
        return response.status, dict(response.headers), await response.read()


async def test_examples_of_the_page() -> None:
    async with LocalCluster(page_deployment()) as cluster:
        answers = [await run_example(cluster, command) for command in examples()]
    pipeline, stream, plain, receipt, unknown = answers
    body = msgspec.json.decode(pipeline[2])
    assert (pipeline[0], body["code"], body["tokens"]) == (200, 1000, 16)
    assert stream[2].count(b"event: token") == 3
    assert stream[2].rstrip().split(b"\n")[-2] == b"event: end"
    assert plain[0] == receipt[0] == 200
    assert msgspec.json.decode(unknown[2])["name"] == "UNKNOWN_PIPELINE"


CASES = (
    ("pipelines/nonesuch", {}, b"{}", ResultCode.UNKNOWN_PIPELINE),
    ("pipelines/draft-review", {}, b"{", ResultCode.MALFORMED_REQUEST),
    ("pipelines/draft-review", {}, b'{"input": 3}', ResultCode.MALFORMED_REQUEST),
    ("pipelines/draft-review", {}, b'{"input": "x", "more": 1}', ResultCode.MALFORMED_REQUEST),
    (
        "pipelines/draft-review",
        {},
        b'{"input": "x", "max_tokens": 0}',
        ResultCode.MALFORMED_REQUEST,
    ),
    ("pipelines/draft-review", {}, b"x" * 2_000_000, ResultCode.BODY_TOO_LARGE),
    ("pipelines/draft-review", {"Authorization": "Bearer no"}, b"{}", ResultCode.UNKNOWN_API_KEY),
    (
        "pipelines/draft-review",
        {"Corkcrank-Deadline-Ms": "-5"},
        b'{"input": "x"}',
        ResultCode.DEADLINE_ALREADY_PAST,
    ),
    (
        "pipelines/draft-review",
        {"Corkcrank-Deadline-Ms": "soon"},
        b'{"input": "x"}',
        ResultCode.MALFORMED_REQUEST,
    ),
    (
        "pipelines/draft-review",
        {"Corkcrank-Deadline-Ms": "nan"},
        b'{"input": "x"}',
        ResultCode.MALFORMED_REQUEST,
    ),
    (
        "pipelines/draft-review",
        {"Corkcrank-Deadline-Ms": "5"},
        b'{"input": "x"}',
        ResultCode.DEADLINE_UNREACHABLE,
    ),
    ("services/nonesuch/status", {}, b"", ResultCode.UNKNOWN_SERVICE),
    ("services/tax-llm/status", {}, b"", ResultCode.UNKNOWN_SERVICE),
    (
        "services/member-portal/confirm-receipt",
        {},
        b"",
        ResultCode.IDEMPOTENCY_KEY_REQUIRED,
    ),
    (
        "services/member-portal/confirm-receipt",
        {"Idempotency-Key": "k" * 300},
        b"",
        ResultCode.MALFORMED_REQUEST,
    ),
    ("services/member-portal/status", {}, b"\xff\xfe", ResultCode.MALFORMED_REQUEST),
    ("nonesuch", {}, b"", ResultCode.UNKNOWN_PATH),
)


async def test_invalid_requests_get_their_code_and_the_gateway_keeps_serving() -> None:
    async with LocalCluster(small_deployment(machines=1)) as cluster:
        key = cluster.deployment.tenants[0].api_key
        gateway = cluster.gateways()[0].caller_address
        for path, headers, body, expected in CASES:
            status, answer, retry_after = await post(
                cluster,
                f"http://{gateway}/v1/{path}",
                {"Authorization": f"Bearer {key}", **headers},
                body,
            )
            assert answer["code"] == expected.number, (path, headers, body[:40], answer)
            assert status == expected.http_status
            assert answer["ran"] == str(expected.ran)
            assert (retry_after is not None) == expected.is_refusal
        fine = b'{"input": "x", "max_tokens": 2}'
        headers = {"Authorization": f"Bearer {key}"}
        url = f"http://{gateway}/v1/pipelines/draft-review"
        assert (await post(cluster, url, headers, fine))[0] == 200


async def post(
    cluster: LocalCluster, url: str, headers: dict[str, str], body: bytes
) -> tuple[int, dict[str, Any], str | None]:
    async with cluster.session.post(url, headers=headers, data=body) as response:
        answer = msgspec.json.decode(await response.read())
        return response.status, answer, response.headers.get("Retry-After")


async def test_quota_is_shared_by_the_gateways() -> None:
    deployment = small_deployment(machines=2)
    tenants = tuple(
        msgspec.structs.replace(tenant, requests_per_second=0.001, burst=QUOTA_BURST)
        for tenant in deployment.tenants
    )
    async with LocalCluster(msgspec.structs.replace(deployment, tenants=tenants)) as cluster:
        for gateway in cluster.gateways():
            await wait_for_gateways(cluster, gateway.peer_address, 2)
        headers = {"Authorization": f"Bearer {cluster.deployment.tenants[0].api_key}"}
        codes: list[int] = []
        for number in range(2 * QUOTA_BURST):
            gateway = cluster.gateways()[number % 2]
            url = f"http://{gateway.caller_address}/v1/services/member-portal/status"
            codes.append((await post(cluster, url, headers, b"x"))[1]["code"])
    assert codes.count(ResultCode.OK.number) == QUOTA_BURST
    assert codes.count(ResultCode.TENANT_QUOTA_EXCEEDED.number) == QUOTA_BURST


async def wait_for_gateways(cluster: LocalCluster, address: Address, count: int) -> None:
    while True:
        dump = await cluster.get(address, "/dump", dict[str, Any])
        if dump["member"]["gateways"] == count:
            return
        await asyncio.sleep(0.05)
