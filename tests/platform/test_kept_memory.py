"""What a gateway keeps for clients has one bound over all accounts, besides their own ones."""

import asyncio
from typing import Any

import pytest
from client_crowd import LargeWorker
from node_world import configuration, route, until, world

from corkcrank.contracts.result_codes import ResultCode
from corkcrank.links.kept_memory import KeptMemory, kept_bound_bytes
from corkcrank.scheduling.answer_budget import AnswerBudget, AnswerRoom
from corkcrank.scheduling.body_budget import BodyBudget, BodyClaim
from corkcrank.scheduling.reader_budget import CutCause, Observation, ReaderBudget

MEMORY_MB = 160.0
MEGABYTE = 1_000_000
LARGE_BODY = b"b" * 100_000
MANY_FIELDS = {f"X-{number}": "f" for number in range(80)}
ROUTES = [route("safe", "safe", "plain")]


def nearly_full_memory() -> KeptMemory:
    """Return the accounts of a gateway in which others have left room for a megabyte."""
    memory = KeptMemory()
    memory.bound_bytes = kept_bound_bytes(MEMORY_MB)
    memory.add_account(lambda: memory.bound_bytes - MEGABYTE)
    return memory


def test_bodies_wait_while_all_accounts_are_full() -> None:
    budget: BodyBudget[str] = BodyBudget(20 * MEGABYTE)
    budget.memory = nearly_full_memory()
    budget.memory.add_account(lambda: budget.kept_bytes)
    assert budget.claim("first", BodyClaim(600_000, "one", (0, 0)), 0.0)
    assert not budget.claim("second", BodyClaim(600_000, "other", (0, 0)), 0.0)
    assert budget.release("first", 1.0) == ["second"]


def test_answers_have_no_room_while_all_accounts_are_full() -> None:
    budget = AnswerBudget(10 * MEGABYTE)
    budget.memory = nearly_full_memory()
    budget.memory.add_account(lambda: budget.kept_bytes)
    first, second = AnswerRoom(budget), AnswerRoom(budget)
    assert first.grow(600_000)
    assert not second.grow(600_000)
    first.release()
    assert second.grow(600_000)


def test_callers_that_do_not_read_are_cut_while_all_accounts_are_full() -> None:
    budget: ReaderBudget[str] = ReaderBudget(20 * MEGABYTE)
    budget.memory = nearly_full_memory()
    budget.memory.add_account(lambda: budget.kept_bytes)
    for at in (0.0, 0.3):
        for reader in ("first", "second", "third"):
            budget.observe(reader, Observation(400_000, 0), at)
    cuts = budget.memory_cuts(0.3)
    assert [cut.cause for cut in cuts] == [CutCause.MEMORY]
    assert len(budget) == 2


@pytest.mark.parametrize(
    "request_of", [{"data": LARGE_BODY}, {"headers": MANY_FIELDS}], ids=["body", "head"]
)
async def test_a_request_is_refused_and_has_not_run_while_other_accounts_are_full(
    request_of: dict[str, Any],
) -> None:
    worker = LargeWorker(hold=asyncio.Event())
    played = configuration(1, ROUTES)
    played["limits"]["max_body_bytes"] = 2 * len(LARGE_BODY)
    async with world(played, {"plain": (worker, "plain")}) as running:
        services = running.nodes[0].services
        memory = services.client.received.memory
        services.bodies.budget.bound_bytes = 100 * MEGABYTE
        memory.bound_bytes = kept_bound_bytes(MEMORY_MB)
        memory.add_account(lambda: memory.bound_bytes - len(LARGE_BODY))
        first = asyncio.create_task(running.call("/safe/x", **request_of))
        await until(lambda: bool(worker.seen))
        refused = await running.call("/safe/x", **request_of)
        assert refused.status == 503
        assert (await refused.json())["code"] == ResultCode.MEMORY_SHORT.number
        assert worker.hold is not None
        worker.hold.set()
        assert (await first).status == 200
        assert len(worker.seen) == 1
