"""Tests that the soak detects a call that a gateway cuts beside a sound worker, and only that.

The failure: a gateway left an engine that was silent for a moment, and ended the caller's stream
although the engine went on. The check ``kept`` looks for that in each answer of the soaks in which
workers fall silent.
"""

import random
import time
from collections.abc import Callable, Iterator

import pytest

from soak.bounds import SoakBounds
from soak.disturbances import MACHINE
from soak.fleet import SoakFleet
from soak.ledger import plain_body
from soak.schedule import FIRST_SILENT_SEED
from soak.sent_calls import SILENT, Answer, Run, SentCall
from soak.silent_services import END_SLACK_SECONDS, KeptCalls
from soak.workers import SoakWorker

NODE = "node-0"
SERVICE = "model"
DEADLINE_SECONDS = 5.0
CLIENT = ("127.0.0.1", 5)
BODY = b"body"


class CallInProgress:
    """A call that a sound worker has, in a soak without processes."""

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.ledger = fleet.ledger
        self.worker = self.add_worker()
        self.call = SentCall(
            "1", "talk", NODE, "POST", "/talk/x", {}, BODY, "tenant", True, DEADLINE_SECONDS
        )
        self.call.client = CLIENT
        self.ledger.route_services["talk"].append((float("-inf"), SERVICE))
        self.ledger.record_sent(self.call)
        self.run = self.begin_run()

    def add_worker(self) -> SoakWorker:
        worker = SoakWorker(SERVICE, "z0", self.ledger, random.Random(1), "i-1")
        self.fleet.workers.append(worker)
        return worker

    def begin_run(self) -> Run:
        run = Run(self.worker.worker_id, SERVICE, time.monotonic(), worker=self.worker)
        self.call.runs.append(run)
        return run

    def end(self, answer: Answer) -> list[str]:
        """Record the call's answer; return the promises that it breaks."""
        self.ledger.record_answer(self.call, answer)
        return [violation.promise for violation in self.ledger.violations]


@pytest.fixture
def progress() -> Iterator[CallInProgress]:
    fleet = SoakFleet(FIRST_SILENT_SEED, 1, SoakBounds())
    fleet.ledger.check_kept = KeptCalls(fleet).check
    yield CallInProgress(fleet)
    fleet.processes.close()


def cut(status: int = 0, *, complete: bool = False, trouble: str = "", at: float = 0.0) -> Answer:
    return Answer(status, {}, b"", complete, at or time.monotonic(), trouble)


@pytest.mark.parametrize(
    ("status", "complete"),
    [(502, True), (503, True), (200, False), (0, False)],
    ids=["failed", "refused", "incomplete", "without an answer"],
)
def test_a_call_that_is_cut_beside_a_sound_worker_is_found(
    progress: CallInProgress, status: int, complete: bool
) -> None:
    assert progress.end(cut(status, complete=complete)) == ["kept"]


def test_a_call_is_found_whose_last_worker_is_sound(progress: CallInProgress) -> None:
    progress.run.broken_off = progress.run.ended = True
    progress.begin_run()
    assert progress.end(cut()) == ["kept"]


def test_disturbances_before_the_bounds_of_contact_and_grace_excuse_nothing(
    progress: CallInProgress,
) -> None:
    bounds, sent_at = progress.ledger.bounds, progress.call.sent_at
    for part in (NODE, "store", "workers", MACHINE):
        progress.ledger.disturbances._last[part] = sent_at - bounds.contact - 0.1
    progress.ledger.terminated[NODE] = sent_at - bounds.grace - 0.1
    progress.ledger.silent_clients.add(("127.0.0.1", 6))
    assert progress.end(cut()) == ["kept"]


def test_a_whole_answer_is_no_violation(progress: CallInProgress) -> None:
    progress.run.sealed, progress.run.status = "s", 200
    headers = {"x-corkcrank-server-seal": "s"}
    whole = Answer(200, headers, plain_body("1", BODY), True, time.monotonic())
    assert progress.end(whole) == []


@pytest.mark.parametrize("state", ["ended", "hung", "broken_off"])
def test_a_call_whose_worker_has_ended_its_run_is_no_violation(
    progress: CallInProgress, state: str
) -> None:
    setattr(progress.run, state, True)
    assert progress.end(cut()) == []


def test_a_call_that_no_worker_has_is_no_violation(progress: CallInProgress) -> None:
    progress.call.runs.clear()
    assert progress.end(cut(503, complete=True)) == []


def leave(progress: CallInProgress) -> None:
    progress.ledger.leaving_since[progress.worker.worker_id] = time.monotonic()


def claim(progress: CallInProgress) -> None:
    progress.fleet.claimed.add(progress.worker.worker_id)


def restart(progress: CallInProgress) -> None:
    progress.fleet.workers.clear()
    progress.add_worker()


@pytest.mark.parametrize("lose", [leave, claim, restart])
def test_a_call_whose_worker_is_no_longer_listed_is_no_violation(
    progress: CallInProgress, lose: Callable[[CallInProgress], None]
) -> None:
    lose(progress)
    assert progress.end(cut()) == []


@pytest.mark.parametrize("part", [NODE, f"store of {NODE}", "store", "workers", MACHINE])
def test_a_call_beside_a_disturbance_is_no_violation(progress: CallInProgress, part: str) -> None:
    progress.ledger.disturbances.begin(part)
    progress.ledger.disturbances.end(part)
    assert progress.end(cut()) == []


def test_a_call_at_a_stopping_node_is_no_violation(progress: CallInProgress) -> None:
    progress.ledger.terminated[NODE] = time.monotonic()
    assert progress.end(cut()) == []


def test_a_call_on_a_silent_connection_is_no_violation(progress: CallInProgress) -> None:
    progress.ledger.silent_clients.add(CLIENT)
    assert progress.end(cut()) == []


def test_a_call_is_no_violation_at_its_deadline(progress: CallInProgress) -> None:
    assert progress.end(cut(at=progress.call.due_at - END_SLACK_SECONDS + 0.01)) == []


def test_a_call_without_an_answer_on_an_open_connection_is_left_to_other_checks(
    progress: CallInProgress,
) -> None:
    assert progress.end(cut(trouble=SILENT)) == []
