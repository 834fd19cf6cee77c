"""Checks invariants of a run: compares callers' records with those of the back ends."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from corkcrank.contracts.result_codes import Ran, ResultCode
from corkcrank.load.caller import CallerRecord
from corkcrank.load.trace import ArrivalKind
from corkcrank.standins.plain import Run


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated invariant."""

    promise: str
    detail: str


def check_records(records: Sequence[CallerRecord], runs: Sequence[Run]) -> tuple[Violation, ...]:
    """Return all invariant violations found in a finished run."""
    unrepeatable = [item for item in records if item.arrival.kind == ArrivalKind.UNREPEATABLE]
    keys = {item.arrival.key for item in unrepeatable}
    counted = [run for run in runs if run.key in keys]
    return (
        *_check_once(counted),
        *_check_not_run(unrepeatable, counted),
        *_check_answered(unrepeatable, counted),
        *_check_whole(records),
    )


def _check_once(runs: Sequence[Run]) -> list[Violation]:
    counts = Counter((run.tenant, run.key) for run in runs)
    return [
        Violation("runs at most once", f"{tenant}/{key} ran {count} times")
        for (tenant, key), count in counts.items()
        if count > 1
    ]


def _check_not_run(records: Sequence[CallerRecord], runs: Sequence[Run]) -> list[Violation]:
    first_run = {run.key: run.at for run in sorted(runs, key=lambda run: run.at, reverse=True)}
    return [
        Violation("not run means not run", f"{record.arrival.key} code {record.code}")
        for record in records
        if record.ran == Ran.NO
        and record.code != ResultCode.IDEMPOTENCY_KEY_REUSED.number
        and first_run.get(record.arrival.key, record.answered_at) < record.answered_at
    ]


def _check_answered(records: Sequence[CallerRecord], runs: Sequence[Run]) -> list[Violation]:
    keys_run = {run.key for run in runs}
    return [
        Violation("an answer means a run", record.arrival.key)
        for record in records
        if record.code == ResultCode.OK.number and record.arrival.key not in keys_run
    ]


def _check_whole(records: Sequence[CallerRecord]) -> list[Violation]:
    return [
        Violation("whole answers to their own request", f"request {record.arrival.number}")
        for record in records
        if record.wrong
    ]
