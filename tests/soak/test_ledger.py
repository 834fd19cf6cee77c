"""Tests that the soak's checks detect each violated guarantee."""

import time
from collections.abc import Mapping

import pytest

from soak.accepting import AcceptWatch
from soak.bounds import SoakBounds
from soak.ledger import Ledger, plain_body
from soak.links import FaultLink, LinkTrouble
from soak.sent_calls import SILENT, Answer, Run, SentCall
from soak.streams import event

LONG_AGO = -100.0


@pytest.fixture
def ledger() -> Ledger:
    made = Ledger(SoakBounds())
    made.route_services["once"].append((LONG_AGO, "plain"))
    return made


def sent(ledger: Ledger, *, repeatable: bool = False, events: int = 0) -> SentCall:
    headers = {"X-Corkcrank-Attempt-Id": "1", "X-Corkcrank-Model": "m"}
    call = SentCall(
        "1", "once", "node-0", "POST", "/once/x", headers, b"body", "tenant", repeatable, 2.0
    )
    call.events = events
    ledger.record_sent(call)
    return call


def run(ledger: Ledger, call: SentCall, service: str = "plain", **changes: str) -> Run:
    headers = {
        **call.headers,
        "X-Corkcrank-Tenant": "tenant",
        "X-Corkcrank-Deadline-Ms": "1900",
        **changes,
    }
    begun = ledger.begin_run("i-1", service, call.method, call.target, headers, call.body)
    assert begun is not None
    begun[1].sealed, begun[1].status = "s", 200
    return begun[1]


def answer(
    ledger: Ledger, call: SentCall, status: int, body: bytes, headers: Mapping[str, str]
) -> None:
    ledger.record_answer(call, Answer(status, headers, body, True, time.monotonic()))


def promises(ledger: Ledger) -> list[str]:
    return [violation.promise for violation in ledger.violations]


SEAL = {"x-corkcrank-server-seal": "s"}


def test_a_served_call_is_no_violation(ledger: Ledger) -> None:
    call = sent(ledger)
    run(ledger, call)
    answer(ledger, call, 200, plain_body("1", b"body"), SEAL)
    assert ledger.violations == []


def test_a_second_run_is_found(ledger: Ledger) -> None:
    call = sent(ledger)
    run(ledger, call)
    run(ledger, call)
    assert promises(ledger) == ["at most once"]


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_a_run_before_or_after_a_status_that_excludes_runs_is_found(
    ledger: Ledger, status: int
) -> None:
    call = sent(ledger)
    run(ledger, call)
    answer(ledger, call, status, b"", {})
    late = sent(ledger)
    answer(ledger, late, status, b"", {})
    run(ledger, late)
    assert promises(ledger) == ["not run", "not run"]


@pytest.mark.parametrize(
    ("body", "headers"),
    [(b"another", SEAL), (plain_body("1", b"body"), {}), (plain_body("2", b"body"), SEAL)],
)
def test_an_incomplete_or_foreign_response_is_found(
    ledger: Ledger, body: bytes, headers: dict[str, str]
) -> None:
    call = sent(ledger)
    run(ledger, call)
    answer(ledger, call, 200, body, headers)
    assert promises(ledger) == ["whole"]


@pytest.mark.parametrize("numbers", [(1, 3), (1, 1, 2, 3), (1, 2)])
def test_a_stream_that_misses_or_doubles_an_event_is_found(
    ledger: Ledger, numbers: tuple[int, ...]
) -> None:
    call = sent(ledger, events=3)
    run(ledger, call)
    answer(ledger, call, 200, b"".join(event("1", number) for number in numbers), SEAL)
    assert promises(ledger) == ["whole"]


@pytest.mark.parametrize("events", [1, 2])
def test_a_stream_of_two_versions_is_found(ledger: Ledger, events: int) -> None:
    call = sent(ledger, events=3)
    run(ledger, call)
    versions = ["v1"] * events + ["v2"] * (3 - events)
    body = b"".join(event("1", number + 1, version) for number, version in enumerate(versions))
    answer(ledger, call, 200, body, SEAL)
    assert promises(ledger) == ["version"]


def test_a_stream_that_is_taken_up_at_another_version_is_found(ledger: Ledger) -> None:
    call = sent(ledger, events=3)
    call.resume_after, call.version = 1, "v1"
    run(ledger, call)
    answer(ledger, call, 200, event("1", 2, "v2") + event("1", 3, "v2"), SEAL)
    assert promises(ledger) == ["version"]


def test_a_stream_that_is_taken_up_at_its_version_is_no_violation(ledger: Ledger) -> None:
    call = sent(ledger, events=3)
    call.resume_after, call.version = 1, "v1"
    run(ledger, call)
    answer(ledger, call, 200, event("1", 2, "v1") + event("1", 3, "v1"), SEAL)
    assert promises(ledger) == []


def test_a_sealed_failure_with_another_status_is_found(ledger: Ledger) -> None:
    call = sent(ledger)
    run(ledger, call)
    answer(ledger, call, 502, b"", SEAL)
    assert promises(ledger) == ["whole"]


@pytest.mark.parametrize(
    "changes", [{"X-Corkcrank-Tenant": "other"}, {"X-Corkcrank-Model": "n"}], ids=str
)
def test_a_changed_call_is_found(ledger: Ledger, changes: dict[str, str]) -> None:
    run(ledger, sent(ledger), **changes)
    assert promises(ledger) == ["unasked"]


def test_a_run_at_a_service_outside_every_version_is_found(ledger: Ledger) -> None:
    run(ledger, sent(ledger), service="other")
    assert promises(ledger) == ["route"]


def test_an_old_version_is_allowed_only_within_the_bound(ledger: Ledger) -> None:
    ledger.route_services["once"].append((time.monotonic(), "second"))
    run(ledger, sent(ledger, repeatable=True))
    assert promises(ledger) == []
    ledger.route_services["once"][-1] = (time.monotonic() - 10.0, "second")
    run(ledger, sent(ledger, repeatable=True))
    assert promises(ledger) == ["route"]
    ledger.disturbances.begin("store")
    run(ledger, sent(ledger, repeatable=True))
    assert promises(ledger) == ["route"]


async def test_work_for_an_evacuated_zone_is_found_unless_its_link_delayed_it(
    ledger: Ledger,
) -> None:
    faulty, healthy = FaultLink("127.0.0.1"), FaultLink("127.0.0.1")
    faulty.trouble(LinkTrouble.CUT_TO_TARGET, 0.0)
    ledger.evacuated_since["z0"] = time.monotonic() - 10.0
    ledger.check_evacuated(sent(ledger), "i-1", "z0", faulty)
    assert promises(ledger) == []
    ledger.check_evacuated(sent(ledger), "i-1", "z0", healthy)
    assert promises(ledger) == ["evacuated"]


def test_work_for_a_worker_that_left_is_found(ledger: Ledger) -> None:
    ledger.leaving_since["i-1"] = time.monotonic() - 10.0
    run(ledger, sent(ledger))
    assert promises(ledger) == ["leaving"]


def test_a_deadline_beyond_the_callers_is_found(ledger: Ledger) -> None:
    run(ledger, sent(ledger), **{"X-Corkcrank-Deadline-Ms": "2600"})
    assert promises(ledger) == ["deadline"]


def test_a_later_worker_gets_only_the_remaining_time(ledger: Ledger) -> None:
    call = sent(ledger, repeatable=True)
    run(ledger, call)
    call.sent_at -= 1.2
    assert call.work_ends_at is not None
    call.work_ends_at -= 1.2
    run(ledger, call, **{"X-Corkcrank-Deadline-Ms": "700"})
    assert promises(ledger) == []
    run(ledger, call)
    assert promises(ledger) == ["deadline"]


@pytest.mark.parametrize("status", [502, 0])
def test_a_call_cut_during_planned_work_is_found(ledger: Ledger, status: int) -> None:
    ledger.planned_only = True
    call = sent(ledger)
    run(ledger, call)
    ledger.record_answer(call, Answer(status, {}, b"", bool(status), time.monotonic()))
    assert promises(ledger) == ["not cut"]


def test_a_call_cut_while_the_machine_stalled_is_excused(ledger: Ledger) -> None:
    ledger.planned_only = True
    call = sent(ledger)
    run(ledger, call)
    ledger.record_lag(1.0)
    ledger.record_answer(call, Answer(502, {}, b"", True, time.monotonic()))
    assert promises(ledger) == []
    run(ledger, call)
    assert promises(ledger) == ["at most once"]


def test_a_response_after_the_callers_deadline_is_found(ledger: Ledger) -> None:
    call = sent(ledger)
    call.sent_at -= 10.0
    answer(ledger, call, 504, b"", {})
    assert promises(ledger) == ["in time"]


def test_a_ready_node_that_accepts_no_connection_is_found(ledger: Ledger) -> None:
    watch = AcceptWatch("node-0", "", ledger, lambda: True)
    for moment in range(1, 5):
        watch.record_attempt(False, moment - 0.5, float(moment))
    assert [item.promise for item in ledger.violations] == ["accepts"]


def test_a_slow_unready_or_disturbed_node_is_excused(ledger: Ledger) -> None:
    slow = AcceptWatch("node-0", "", ledger, lambda: True)
    unready = AcceptWatch("node-1", "", ledger, lambda: False)
    down = AcceptWatch("node-2", "", ledger, lambda: True)
    ledger.disturbances.begin("node-2")
    for moment in range(1, 9):
        slow.record_attempt(moment % 3 == 0, moment - 0.5, float(moment))
        unready.record_attempt(False, moment - 0.5, float(moment))
        down.record_attempt(False, moment - 0.5, float(moment))
    assert ledger.violations == []


def test_a_late_response_is_excused_only_on_a_silent_connection(ledger: Ledger) -> None:
    # A connection lost every byte toward the node while a stream's response still arrived on it.
    # The next call on it was lost 6 s after the silence began; the node cannot detect that.
    ledger.silent_clients.add(("127.0.0.1", 5))
    for port in (5, 6):
        call = sent(ledger)
        call.client = ("127.0.0.1", port)
        ledger.record_answer(call, Answer(0, {}, b"", False, call.due_at + 2.0))
    assert promises(ledger) == ["in time"]


def lost(ledger: Ledger, port: int) -> None:
    call = sent(ledger)
    call.client = ("127.0.0.1", port)
    ledger.record_answer(call, Answer(0, {}, b"", False, time.monotonic(), "ConnectionResetError"))


def test_a_call_that_planned_work_cuts_is_found_however_soon_it_ends(ledger: Ledger) -> None:
    """A call that was reset within 0.2 s was excused, also where its node had received it."""
    ledger.planned_only = True
    lost(ledger, port=5)
    assert promises(ledger) == ["not cut"]


def test_a_call_that_did_not_reach_its_node_is_excused_however_late(ledger: Ledger) -> None:
    """A call was reset after 0.987 s by the soak's own proxy, whose node had exited before."""
    ledger.planned_only = True
    ledger.unreached_clients["node-0"].add(("127.0.0.1", 5))
    call = sent(ledger)
    call.sent_at -= 1.0
    call.client = ("127.0.0.1", 5)
    ledger.record_answer(call, Answer(0, {}, b"", False, time.monotonic(), "ConnectionResetError"))
    assert promises(ledger) == []


def test_a_part_of_a_head_is_a_cut_call(ledger: Ledger) -> None:
    ledger.planned_only = True
    ledger.unreached_clients["node-0"].add(("127.0.0.1", 5))
    call = sent(ledger)
    call.client = ("127.0.0.1", 5)
    ledger.record_answer(call, Answer(0, {}, b"HTTP/1.1 2", False, time.monotonic(), "reset"))
    assert promises(ledger) == ["not cut"]


def test_a_cut_call_is_found_also_late_in_its_time_and_after_a_stall(ledger: Ledger) -> None:
    ledger.planned_only = True
    ledger.record_lag(1.0)
    ledger.terminated["node-0"] = time.monotonic() - 6.0
    call = sent(ledger)
    call.sent_at -= 1.9
    ledger.record_answer(call, Answer(0, {}, b"", False, time.monotonic(), "reset"))
    assert promises(ledger) == ["not cut"]


def test_a_call_that_planned_work_leaves_without_an_answer_is_found(ledger: Ledger) -> None:
    ledger.planned_only = True
    ledger.terminated["node-0"] = time.monotonic() - 6.0
    call = sent(ledger)
    call.sent_at -= 3.0
    ledger.record_answer(call, Answer(0, {}, b"", False, time.monotonic(), SILENT))
    assert "not cut" in promises(ledger)
