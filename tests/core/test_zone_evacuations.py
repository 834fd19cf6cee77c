"""Evacuated zones as members tell each other: any order, told twice, whole readings between."""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.zone_evacuations import MOST_ZONES, ZoneEvacuations, ZoneState

ZONES = ("a", "b", "c")


def history(changes: list[tuple[str, bool]]) -> list[ZoneState]:
    """Return the operator's changes in the order of the store's revisions."""
    return [
        ZoneState(zone, revision, evacuated)
        for revision, (zone, evacuated) in enumerate(changes, start=1)
    ]


def in_force(states: list[ZoneState]) -> frozenset[str]:
    newest = {state.zone: state.evacuated for state in states}
    return frozenset(zone for zone, evacuated in newest.items() if evacuated)


CHANGES = st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=12).map(history)


@given(states=CHANGES, randomness=st.randoms(use_true_random=False))
def test_the_newest_state_stands_in_whatever_order_they_come(
    states: list[ZoneState], randomness: object
) -> None:
    shuffled = states + states
    randomness.shuffle(shuffled)  # type: ignore[attr-defined]
    known = ZoneEvacuations()
    for state in shuffled:
        known.take([state])
    assert known.evacuated == in_force(states)


@given(states=CHANGES, read_at=st.integers(0, 12), data=st.data())
def test_a_whole_reading_and_late_news_end_in_the_same_state(
    states: list[ZoneState], read_at: int, data: st.DataObject
) -> None:
    """A node that starts in the middle reads the rows there are, and hears older news later."""
    seen = [state for state in states if state.revision <= read_at]
    rows = {state.zone: state for state in seen}
    known = ZoneEvacuations()
    known.replace_all([state for state in rows.values() if state.evacuated], read_at)
    for state in data.draw(st.permutations(states)):
        known.take([state])
    assert known.evacuated == in_force(states)


def test_a_zone_that_a_whole_reading_lacks_is_taken_back() -> None:
    known = ZoneEvacuations()
    known.take([ZoneState("a", 5, True)])
    assert known.replace_all([], 9) == (ZoneState("a", 9, False),)
    assert not known.take([ZoneState("a", 5, True)])
    assert not known.evacuated


def test_a_reading_that_is_older_than_an_evacuation_does_not_end_it() -> None:
    known = ZoneEvacuations()
    known.take([ZoneState("a", 12, True)])
    known.replace_all([], 9)
    assert known.evacuated == {"a"}


def test_the_number_of_zones_is_bounded_and_evacuated_ones_are_kept_longest() -> None:
    known = ZoneEvacuations()
    known.take([ZoneState("kept", 1, True)])
    known.take([ZoneState(f"z{number}", number + 2, False) for number in range(2 * MOST_ZONES)])
    assert len(known.told()) == MOST_ZONES
    assert known.evacuated == {"kept"}
