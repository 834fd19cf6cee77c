"""A gateway's view of back ends: leaving is final, and same-zone back ends are preferred."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.messages import WorkerEntry
from corkcrank.machines.load_view import LoadView
from corkcrank.zones.digest import Directory, WorkerLoad

WORKERS = tuple(WorkerId(f"w{number}") for number in range(4))


def directory(version: int, leaving: set[str], boots: dict[str, int]) -> Directory:
    entries = tuple(
        WorkerEntry(worker, "llm", "a", "1.1.1.1:1", str(boots[worker]), worker in leaving)
        for worker in WORKERS
    )
    return Directory(workers=entries, list_version=version)


@settings(max_examples=300)
@given(seed=st.integers(0, 1 << 32))
def test_an_older_directory_or_report_never_makes_a_leaving_worker_live(seed: int) -> None:
    source = random.Random(seed)
    view = LoadView("a")
    truth: set[str] = set()
    boots = dict.fromkeys(WORKERS, 0)
    history = [directory(1, truth, boots)]
    seen_leaving: set[tuple[str, int]] = set()
    for _ in range(60):
        worker = source.choice(WORKERS)
        action = source.randrange(5)
        if action == 0:
            truth.add(worker)
            history.append(directory(len(history) + 1, set(truth), dict(boots)))
        elif action == 1 and worker in truth:
            truth.discard(worker)
            boots[worker] += 1
            history.append(directory(len(history) + 1, set(truth), dict(boots)))
        elif action == 2:
            view.apply_directory(source.choice(history))
        elif action == 3:
            view.apply_loads([WorkerLoad(worker, 1, 0, 8, leaving=worker in truth)], 0.0)
        chosen = {item.worker for item in view.candidates("llm", now=0.0)}
        for entry in view.workers():
            key = (entry.entry.worker, int(entry.entry.boot))
            if entry.leaving:
                seen_leaving.add(key)
            if key in seen_leaving:
                assert entry.entry.worker not in chosen


def test_same_zone_back_ends_are_preferred_until_they_are_full() -> None:
    view = LoadView("a")
    same_zone = WorkerEntry(WorkerId("near"), "llm", "a", "1.1.1.1:1")
    other_zone = WorkerEntry(WorkerId("far"), "llm", "b", "1.1.1.1:2")
    view.apply_directory(Directory(workers=(same_zone, other_zone), list_version=1))
    assert [item.worker for item in view.candidates("llm", 0.0)] == ["near"]
    view.apply_loads([WorkerLoad(WorkerId("near"), 8, 2, 8)], 0.0)
    assert {item.worker for item in view.candidates("llm", 0.0)} == {"near", "far"}


def test_local_calls_since_the_report_count() -> None:
    view = LoadView("a")
    entry = WorkerEntry(WorkerId("w"), "llm", "a", "1.1.1.1:1")
    view.apply_directory(Directory(workers=(entry,), list_version=1))
    view.record_call_start(WorkerId("w"), 10.0)
    view.record_call_start(WorkerId("w"), 19.5)
    view.apply_loads([WorkerLoad(WorkerId("w"), 1, 0, 8)], 20.0)
    assert view.candidates("llm", 20.0)[0].load == 2, "the second was sent after the sample"
    view.record_call_start(WorkerId("w"), 20.5)
    assert view.candidates("llm", 20.5)[0].load == 3
    view.record_call_end(WorkerId("w"), 10.0)
    assert view.candidates("llm", 20.5)[0].load == 3, "the report still counts the first"
    view.record_call_end(WorkerId("w"), 19.5)
    view.record_call_end(WorkerId("w"), 20.5)
    assert view.candidates("llm", 20.5)[0].load == 1
