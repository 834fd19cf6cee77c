"""Lists of workers that are reported as the changes since a revision.

When thousands of workers register within seconds, more rows change than heartbeats report. Every
gateway then pulled the whole list, some 300 kB for 3,000 workers, again and again.
"""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.worker_records import WorkerList, WorkerRecord

NAMES = "abcdef"
Change = tuple[str, WorkerRecord | None, int]


def history(steps: list[tuple[str, bool]]) -> list[Change]:
    """Return changes in the order of the store's revisions."""
    return [
        (name, WorkerRecord(name, "s", "", "z", revision=at) if present else None, at)
        for at, (name, present) in enumerate(steps, start=1)
    ]


def list_of(changes: list[Change], read_at: int) -> WorkerList:
    """Return the list of a gateway that read the store at a revision and applied later changes."""
    rows = {name: record for name, record, at in changes if at <= read_at}
    known = WorkerList()
    known.replace_all([record for record in rows.values() if record is not None], read_at)
    for name, record, at in changes:
        if at > read_at:
            known.apply_row(name, record, at)
            known.mark_complete_up_to(at)
    return known


HISTORIES = st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1).map(history)


@given(changes=HISTORIES, read_at=st.integers(0, 40), received_up_to=st.integers(0, 40))
def test_reported_changes_make_the_lists_equal(
    changes: list[Change], read_at: int, received_up_to: int
) -> None:
    newest = list_of(changes, min(read_at, len(changes)))
    behind = list_of([change for change in changes if change[2] <= received_up_to], 0)
    reported = newest.changes_since(behind.revision)
    if reported is None:
        assert behind.revision < min(read_at, len(changes))
        return
    for name, at, record in reported:
        behind.apply_row(name, record, at)
    assert set(behind.records()) == set(newest.records())


def test_no_changes_are_known_from_before_a_whole_list() -> None:
    known = list_of(history([("a", True), ("b", True), ("a", False)]), read_at=3)
    assert known.changes_since(2) is None
    assert known.changes_since(3) == []
