"""Progress of a call through its stage graph: order of stages, release and rerun."""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.opaque_configuration import StageDefinition
from corkcrank.scheduling.stage_plan import StagePlan


@st.composite
def graphs(draw: st.DrawFn) -> tuple[tuple[StageDefinition, ...], tuple[int, ...]]:
    count = draw(st.integers(1, 6))
    stages = []
    for number in range(count):
        after = draw(st.sets(st.integers(0, number - 1), max_size=2)) if number else set()
        stages.append(StageDefinition(f"s{number}", tuple(sorted(after)), 10))
    counts = draw(st.lists(st.integers(0, 3), min_size=count, max_size=count))
    return tuple(stages), tuple(counts)


@given(graph=graphs(), order=st.randoms(use_true_random=False))
def test_every_graph_completes_and_each_result_is_freed_once(graph, order) -> None:  # type: ignore[no-untyped-def]
    stages, counts = graph
    plan = StagePlan(stages, counts)
    running: list[int] = []
    freed: list[str] = []
    produced: list[str] = []
    while not plan.complete:
        for stage in plan.ready_stages():
            assert all(
                source in stages_of(produced) or counts[source] == 0
                for source in stages[stage].after
            )
            plan.record_start(stage)
            running.append(stage)
        assert running, "no stage is running or ready, but the plan is not complete"
        stage = running.pop(order.randrange(len(running)))
        handles = tuple(f"{stage}/{piece}" for piece in range(counts[stage]))
        inputs = plan.input_handles(stage)
        assert not set(inputs) & set(freed), "a result was freed before its reader read it"
        assert len(inputs) == sum(counts[source] for source in stages[stage].after)
        plan.record_results(stage, handles)
        produced.extend(handles)
        freed.extend(plan.release_consumed_results())
    finals = plan.final_handles()
    assert not set(finals) & set(freed)
    freed.extend(plan.release_all_results())
    assert sorted(freed) == sorted(produced)


def stages_of(produced: list[str]) -> set[int]:
    return {int(handle.split("/")[0]) for handle in produced}


def test_all_stages_rerun_after_their_results_were_freed() -> None:
    plan = StagePlan((StageDefinition("a"), StageDefinition("b", (0,))), (1, 1))
    for stage, handle in ((0, "x"), (1, "y")):
        assert plan.ready_stages() == [stage]
        plan.record_start(stage)
        plan.record_results(stage, (handle,))
        plan.release_consumed_results()
    plan.release_all_results()
    plan.reset_results()
    assert plan.ready_stages() == [0]
