"""Simulation of claims: a table, a back end that counts runs, and requests in flight."""

from collections import Counter
from dataclasses import dataclass, field

from corkcrank.contracts.claims import (
    CallAnswered,
    CallInterrupted,
    CallNotSent,
    ClaimEvent,
    ClaimInstruction,
    ClaimProcess,
    ClaimRow,
    ClaimStarted,
    DeadlineReached,
    InsertClaim,
    InsertCommitted,
    ReadClaim,
    RecordRow,
    Reply,
    RowSeen,
    SendCall,
    TableUnanswered,
)
from corkcrank.contracts.identifiers import AttemptId
from corkcrank.contracts.result_codes import Ran, ResultCode

KEYS = ("a", "b")
BODIES = ("one", "two")
FATES = ("answered", "answered", "answered", "lost before", "lost after", "late")
CALL_FATES = ("answered", "answered", "not sent", "lost", "never arrives")


@dataclass
class TableModel:
    rows: dict[str, tuple[ClaimRow, int]] = field(default_factory=dict)
    revision: int = 0

    def read(self, key: str) -> RowSeen:
        row, revision = self.rows.get(key, (None, 0))
        return RowSeen(row, revision)

    def write(self, key: str, row: ClaimRow, expected: int) -> bool:
        if self.read(key).revision != expected:
            return False
        self.revision += 1
        self.rows[key] = (row, self.revision)
        return True


@dataclass
class Request:
    key: str
    body: str
    process: ClaimProcess
    pending: list[ClaimInstruction]
    records: list[ClaimRow] = field(default_factory=list)
    reply: Reply | None = None


class ClaimsSimulation:
    """Requests with few distinct keys, executed step by step with injected faults."""

    def __init__(self, process_type: type[ClaimProcess]) -> None:
        self.process_type = process_type
        self.now = 0.0
        self.table = TableModel()
        self.requests: list[Request] = []
        self.late_inserts: list[tuple[str, InsertClaim]] = []
        self.runs: Counter[str] = Counter()
        self.run_bodies: dict[str, set[str]] = {key: set() for key in KEYS}
        self.first_answer: dict[str, str] = {}
        self.started = 0

    def start_request(self, key: str, body: str, patience: float) -> None:
        self.started += 1
        process = self.process_type(AttemptId(f"t{self.started}"), body, self.now + patience)
        pending = process.handle_event(ClaimStarted(), self.now)
        self.requests.append(Request(key, body, process, pending))

    def step_request(self, request: Request, fate: str, call: str) -> None:
        if request.pending:
            self._execute(request, request.pending.pop(0), fate, call)
        elif request.records:
            self._record(request, fate)

    def reach_deadline(self, request: Request) -> None:
        self.now = max(self.now, request.process.deadline)
        for instruction in request.process.handle_event(DeadlineReached(), self.now):
            assert isinstance(instruction, Reply)
            self._reply(request, instruction)

    def apply_late_insert(self, number: int) -> None:
        key, insert = self.late_inserts.pop(number)
        self.table.write(key, insert.row, insert.expected_revision)

    def check_invariants(self) -> None:
        assert max(self.runs.values(), default=0) <= 1, "a call with the same key ran twice"
        for request in self.requests:
            request.process.validate()

    def _execute(
        self, request: Request, instruction: ClaimInstruction, fate: str, call: str
    ) -> None:
        match instruction:
            case InsertClaim():
                self._handle_event(request, self._insert(request.key, instruction, fate))
            case ReadClaim():
                lost = fate != "answered"
                self._handle_event(
                    request, TableUnanswered() if lost else self.table.read(request.key)
                )
            case SendCall():
                self._handle_event(request, self._call(request, call))
            case RecordRow(row=row):
                request.records.append(row)
            case Reply():
                self._reply(request, instruction)

    def _insert(self, key: str, insert: InsertClaim, fate: str) -> ClaimEvent:
        if fate == "lost before":
            return TableUnanswered()
        if fate == "late":
            self.late_inserts.append((key, insert))
            return TableUnanswered()
        committed = self.table.write(key, insert.row, insert.expected_revision)
        if fate == "lost after":
            return TableUnanswered()
        return InsertCommitted() if committed else self.table.read(key)

    def _call(self, request: Request, fate: str) -> ClaimEvent:
        if fate == "not sent":
            return CallNotSent()
        if fate == "never arrives":
            return CallInterrupted()
        self.runs[request.key] += 1
        self.run_bodies[request.key].add(request.body)
        return CallAnswered(f"ran {request.body}") if fate == "answered" else CallInterrupted()

    def _record(self, request: Request, fate: str) -> None:
        row = request.records[0]
        seen = self.table.read(request.key)
        if fate == "lost before":
            return
        if seen.row is None or (seen.row.attempt == row.attempt and seen.row != row):
            self.table.write(request.key, row, seen.revision)
        if fate == "answered":
            request.records.pop(0)

    def _handle_event(self, request: Request, event: ClaimEvent) -> None:
        request.pending += request.process.handle_event(event, self.now)

    def _reply(self, request: Request, reply: Reply) -> None:
        assert request.reply is None, "a request got a second final answer"
        request.reply = reply
        if reply.ran == Ran.NO:
            assert request.body not in self.run_bodies[request.key], (
                "reported as not run, but it ran"
            )
        if reply.code is ResultCode.OK:
            assert self.runs[request.key] == 1
            assert self.first_answer.setdefault(request.key, reply.answer) == reply.answer
            assert request.body in self.run_bodies[request.key]
