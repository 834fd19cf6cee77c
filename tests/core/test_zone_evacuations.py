"""Reports of evacuated zones give the same state in any order, repeated and between full reads.

Guards against a late report that restores an ended evacuation, or a stale read that ends a new one.
"""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.zone_evacuations import MAX_ZONES, ZoneEvacuations, ZoneState

ZONES = ("a", "b", "c")


def history(changes: list[tuple[str, bool]]) -> list[ZoneState]:
    """Return zone states with ascending store revisions for the operator's changes."""
    return [
        ZoneState(zone, revision, evacuated)
        for revision, (zone, evacuated) in enumerate(changes, start=1)
    ]


def in_force(states: list[ZoneState]) -> frozenset[str]:
    newest = {state.zone: state.evacuated for state in states}
    return frozenset(zone for zone, evacuated in newest.items() if evacuated)


CHANGES = st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=12).map(history)


@given(states=CHANGES, randomness=st.randoms(use_true_random=False))
def test_the_newest_state_counts_in_any_order_of_arrival(
    states: list[ZoneState], randomness: object
) -> None:
    shuffled = states + states
    randomness.shuffle(shuffled)  # type: ignore[attr-defined]
    known = ZoneEvacuations()
    for state in shuffled:
        known.apply_states([state])
    assert known.evacuated == in_force(states)


@given(states=CHANGES, read_at=st.integers(0, 12), data=st.data())
def test_a_full_read_and_late_reports_give_the_same_state(
    states: list[ZoneState], read_at: int, data: st.DataObject
) -> None:
    """A node that starts later reads the existing rows and then receives older reports."""
    seen = [state for state in states if state.revision <= read_at]
    rows = {state.zone: state for state in seen}
    known = ZoneEvacuations()
    known.replace_all([state for state in rows.values() if state.evacuated], read_at)
    for state in data.draw(st.permutations(states)):
        known.apply_states([state])
    assert known.evacuated == in_force(states)


def test_the_evacuation_of_a_zone_missing_from_a_full_read_ends() -> None:
    known = ZoneEvacuations()
    known.apply_states([ZoneState("a", 5, True)])
    assert known.replace_all([], 9) == (ZoneState("a", 9, False),)
    assert not known.apply_states([ZoneState("a", 5, True)])
    assert not known.evacuated


def test_a_full_read_older_than_an_evacuation_does_not_end_it() -> None:
    known = ZoneEvacuations()
    known.apply_states([ZoneState("a", 12, True)])
    known.replace_all([], 9)
    assert known.evacuated == {"a"}


def test_the_number_of_zones_is_bounded_and_evacuated_ones_are_removed_last() -> None:
    known = ZoneEvacuations()
    known.apply_states([ZoneState("kept", 1, True)])
    known.apply_states(
        [ZoneState(f"z{number}", number + 2, False) for number in range(2 * MAX_ZONES)]
    )
    assert len(known.states_to_report()) == MAX_ZONES
    assert known.evacuated == {"kept"}
