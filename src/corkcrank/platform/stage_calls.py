"""Encodes calls to stage workers and decodes their answers, in the platform's format."""

from collections.abc import Sequence
from typing import Annotated

import msgspec

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import (
    PieceOrder,
    PieceOutcome,
    PieceResult,
    StageWorkerReport,
    Unreadable,
)
from corkcrank.links.strict_json import decode_strictly
from corkcrank.platform import names
from corkcrank.platform.call_headers import MILLISECONDS_PER_SECOND
from corkcrank.platform.documents import BYTES_PER_MEGABYTE
from corkcrank.platform.worker_entries import BornMilliseconds

_OUTCOMES_BY_REASON = {
    "late": PieceOutcome.LATE,
    "gone": PieceOutcome.INPUT_GONE,
    "room": PieceOutcome.NO_ROOM,
    "error": PieceOutcome.FAILED,
}


class _Item(msgspec.Struct, omit_defaults=True):
    id: str
    stage: int
    segment: int
    remaining_ms: int | None = None
    key: str | None = None
    inputs: tuple[str, ...] | None = None


class _Run(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _RunAnswer(msgspec.Struct):
    items: list[_Result]


class _Report(msgspec.Struct):
    free_mb: Annotated[float, msgspec.Meta(ge=0)]
    born: BornMilliseconds | msgspec.UnsetType = msgspec.UNSET


class _Free(msgspec.Struct):
    handles: list[str]


class PlatformStageCodec:
    """Encodes and decodes the bodies of calls to stage workers."""

    run_path = names.STAGE_RUN_PATH
    free_path = names.STAGE_FREE_PATH
    report_path = names.REPORT_PATH

    def run_headers(self, worker: WorkerRecord) -> dict[str, str]:
        """Return the headers of a call to a stage worker."""
        return {"Content-Type": "application/json", names.EXPECT_INSTANCE: worker.name}

    def encode_run(self, pieces: Sequence[PieceOrder]) -> bytes:
        """Return the body of a request to run pieces."""
        return msgspec.json.encode(_Run([_encode_piece(piece) for piece in pieces]))

    def decode_run(self, body: bytes, count: int) -> list[PieceResult] | None:
        """Return ``count`` results in the order requested, ``None`` for any other body."""
        answer = decode_strictly(body, _RunAnswer)
        if isinstance(answer, Unreadable) or len(answer.items) != count:
            return None
        return [_decode_result(item) for item in answer.items]

    def encode_free(self, handles: Sequence[str]) -> bytes:
        """Return the body of a request to free results."""
        return msgspec.json.encode(_Free(list(handles)))

    def is_free_answer(self, body: bytes) -> bool:
        """Return whether a body is that of the answer to such a request, which has no fields."""
        return body.strip() in (b"", b"{}")

    def decode_report(self, body: bytes) -> StageWorkerReport | Unreadable:
        """Return a stage worker's report, or the reason why it is unreadable."""
        report = decode_strictly(body, _Report)
        if isinstance(report, Unreadable):
            return report
        born = None if report.born is msgspec.UNSET else report.born
        return StageWorkerReport(report.free_mb * BYTES_PER_MEGABYTE, born)


def _encode_piece(piece: PieceOrder) -> _Item:
    remaining = piece.remaining_seconds
    return _Item(
        id=piece.call_id,
        stage=piece.stage,
        segment=piece.piece,
        remaining_ms=None
        if remaining is None
        else max(1, int(remaining * MILLISECONDS_PER_SECOND)),
        key=None if piece.inputs else piece.key,
        inputs=piece.inputs or None,
    )


def _decode_result(item: _Result) -> PieceResult:
    if item.handle:
        return PieceResult(PieceOutcome.DONE, item.handle)
    return PieceResult(_OUTCOMES_BY_REASON.get(item.reason, PieceOutcome.FAILED))
