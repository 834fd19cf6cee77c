"""Workers that did not answer lately get no new calls, unless no other worker is left."""

from corkcrank.scheduling.worker_choice import SILENCE_MEMORY_SECONDS, WorkerStatisticsTable

IDS = ["a", "b", "c"]
NOW = 100.0


def table(silent: str, *, at: float = NOW) -> WorkerStatisticsTable:
    statistics = WorkerStatisticsTable()
    for worker_id in IDS:
        statistics.get_or_create(worker_id).heard_at = at - 1.0
    for worker_id in silent:
        statistics.get_or_create(worker_id).unanswered_at = at
    return statistics


def test_silent_workers_are_left_out_while_others_may_answer() -> None:
    assert table("ab").silent_ids(IDS, NOW) == {"a", "b"}


def test_no_worker_is_left_out_where_all_are_silent() -> None:
    assert table("abc").silent_ids(IDS, NOW) == frozenset()


def test_a_worker_that_was_heard_again_is_not_silent() -> None:
    statistics = table("ab")
    statistics.get_or_create("a").heard_at = NOW + 0.1
    assert statistics.silent_ids(IDS, NOW + 0.2) == {"b"}


def test_a_silence_is_forgotten_so_that_the_worker_is_tried_again() -> None:
    assert table("ab").silent_ids(IDS, NOW + SILENCE_MEMORY_SECONDS) == frozenset()
