"""Creates configuration plans and confirms them in the table.

A confirm is one conditional commit on the versions that the plan was based on. A commit
whose answer was lost is retried. The conditions make the retry harmless, and the plan's row
shows whether the first commit took effect.
"""

import asyncio
import uuid
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from corkcrank.contracts import clock, table_keys
from corkcrank.contracts.configuration import (
    Configuration,
    ConfigurationDecodeError,
    decode_configuration,
    encode_configuration,
)
from corkcrank.contracts.plans import (
    ConfirmAnswer,
    Intent,
    PlanRow,
    PlanState,
    PlanView,
    apply_intent,
    describe_changes,
    to_plan_view,
)
from corkcrank.contracts.result_codes import Failure, ResultCode
from corkcrank.links.platform_ports import Unreadable
from corkcrank.links.strict_json import decode_strictly
from corkcrank.links.table import Committed, Condition, Row, Table, Unanswered, Write
from corkcrank.machines.member import head_version

MAX_CONFIRM_RETRY_SECONDS = 5.0
"""Maximum time spent on retrying a confirm whose answer was lost."""

CONFIRM_RETRY_PAUSE_SECONDS = 0.2
"""Pause between retries of a confirm."""


@dataclass(frozen=True, slots=True)
class _Head:
    row: Row
    configuration: Configuration


class Planner:
    """Creates plans and confirms them."""

    def __init__(self, table: Table) -> None:
        self._table = table

    async def create_plan(self, intent: Intent) -> Result[PlanView, Failure]:
        """Create a plan from the committed version and store it in the table."""
        head = await self._read_head()
        if head is None:
            return Error(_table_unavailable())
        return await self._create_plan_from(head, intent)

    async def confirm(self, plan_id: str) -> Result[ConfirmAnswer, Failure]:
        """Apply a plan if the version it is based on is still the committed one."""
        retry_until = clock.now() + MAX_CONFIRM_RETRY_SECONDS
        sent = False
        while True:
            outcome = await self._try_confirm(plan_id)
            if not isinstance(outcome, Unanswered):
                return outcome
            sent = sent or outcome.reason == "commit"
            if clock.now() >= retry_until:
                code = ResultCode.CONFIRM_UNKNOWN if sent else ResultCode.TABLE_UNAVAILABLE
                return Error(Failure(code, outcome.reason, retry_after=1.0))
            await asyncio.sleep(CONFIRM_RETRY_PAUSE_SECONDS)

    async def _try_confirm(self, plan_id: str) -> Result[ConfirmAnswer, Failure] | Unanswered:
        plan_key = table_keys.plan_key(plan_id)
        read = await self._table.read((plan_key, table_keys.CONFIGURATION_HEAD_KEY))
        if isinstance(read, Unanswered):
            return read
        plan_row, head_row = read.rows
        if plan_row.value is None:
            return Error(Failure(ResultCode.PLAN_UNKNOWN, plan_id))
        plan = decode_strictly(plan_row.value.encode(), PlanRow)
        if isinstance(plan, Unreadable):
            return Error(Failure(ResultCode.PLAN_UNKNOWN, f"{plan_id}: {plan.reason}"))
        if plan.state == PlanState.CONFIRMED:
            return Ok(_answer(ResultCode.OK, plan.base_version + 1, None))
        if head_version(head_row) != plan.base_version:
            return await self._answer_stale(plan)
        return await self._commit(plan, plan_row, head_row)

    async def _commit(
        self, plan: PlanRow, plan_row: Row, head_row: Row
    ) -> Result[ConfirmAnswer, Failure] | Unanswered:
        head = await self._read_head()
        if head is None:
            return Unanswered("read")
        if head.row != head_row:
            return await self._answer_stale(plan)
        applied = apply_intent(head.configuration, plan.intent)
        if applied.is_error():
            return Error(applied.error)
        after = applied.ok
        document_key = table_keys.configuration_document_key(after.version)
        confirmed = msgspec.structs.replace(plan, state=PlanState.CONFIRMED)
        outcome = await self._table.commit(
            (
                Condition(head_row.key, head_row.revision),
                Condition(plan_row.key, plan_row.revision),
                Condition(document_key, 0),
            ),
            (
                Write(head_row.key, str(after.version)),
                Write(plan_row.key, _encode(confirmed)),
                Write(document_key, encode_configuration(after).decode()),
            ),
        )
        match outcome:
            case Committed():
                return Ok(_answer(ResultCode.OK, after.version, None))
            case Unanswered():
                return Unanswered("commit")
            case _:
                # Another confirm, or an earlier commit of this one, won: the next read shows which.
                return Unanswered("conflict")

    async def _answer_stale(self, plan: PlanRow) -> Result[ConfirmAnswer, Failure] | Unanswered:
        head = await self._read_head()
        if head is None:
            return Unanswered("read")
        fresh = await self._create_plan_from(head, plan.intent)
        if fresh.is_error():
            return Error(fresh.error)
        return Ok(_answer(ResultCode.PLAN_STALE, head.configuration.version, fresh.ok))

    async def _create_plan_from(self, head: _Head, intent: Intent) -> Result[PlanView, Failure]:
        applied = apply_intent(head.configuration, intent)
        if applied.is_error():
            return Error(applied.error)
        plan = PlanRow(
            plan_id=uuid.uuid4().hex[:12],
            base_version=head.configuration.version,
            state=PlanState.DRAWN,
            intent=intent,
            changes=describe_changes(head.configuration, applied.ok),
        )
        key = table_keys.plan_key(plan.plan_id)
        outcome = await self._table.commit((Condition(key, 0),), (Write(key, _encode(plan)),))
        if not isinstance(outcome, Committed):
            return Error(_table_unavailable())
        return Ok(to_plan_view(plan))

    async def _read_head(self) -> _Head | None:
        head = await self._table.read((table_keys.CONFIGURATION_HEAD_KEY,))
        if isinstance(head, Unanswered):
            return None
        version = head_version(head.rows[0])
        if version is None:
            return None
        if version == 0:
            return _Head(head.rows[0], Configuration(version=0))
        document = await self._table.read((table_keys.configuration_document_key(version),))
        if isinstance(document, Unanswered) or document.rows[0].value is None:
            return None
        try:
            configuration = decode_configuration(document.rows[0].value.encode())
        except ConfigurationDecodeError:
            return None
        return _Head(head.rows[0], configuration)


def _answer(code: ResultCode, version: int, fresh_plan: PlanView | None) -> ConfirmAnswer:
    return ConfirmAnswer(code.number, code.name, version, fresh_plan)


def _encode(plan: PlanRow) -> str:
    return msgspec.json.encode(plan).decode()


def _table_unavailable() -> Failure:
    return Failure(ResultCode.TABLE_UNAVAILABLE, "the table did not answer", retry_after=1.0)
