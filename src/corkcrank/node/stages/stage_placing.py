"""Builds the inputs of a worker choice for pieces of a call's stage."""

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.urgency import DownstreamOrder, Urgency, downstream_urgency
from corkcrank.node.stages.stage_dispatch import StageDispatch
from corkcrank.scheduling.stage_choice import StagePlacing
from corkcrank.scheduling.stage_plan import StagePlan


def stage_placing(
    plan: StagePlan, dispatch: StageDispatch, call: OpaqueCall, stage: int, pieces: int
) -> StagePlacing:
    """Return the inputs of a worker choice, without the locations of inputs and reader."""
    definition = plan.definition(stage)
    seconds_left = call.due_at - clock.now()
    urgency = Urgency(call.queue_rank, round(seconds_left, 3))
    next_urgency = downstream_urgency(urgency, dispatch.downstream_order)
    next_stages = [
        (plan.definition(reader), plan.counts[reader])
        for reader in plan.reader_stages(stage)
        if plan.counts[reader]
    ]

    def longest_next_wait(zone: str) -> float:
        waits = [
            dispatch.shortest_wait_in_zone(
                item.service, zone, next_urgency, count, float(item.result_bytes)
            )
            for item, count in next_stages
        ]
        return max(waits, default=0.0)

    return StagePlacing(
        service=definition.service,
        pieces=pieces,
        size=float(definition.result_bytes),
        urgency=urgency_at(plan, stage, urgency, dispatch.downstream_order),
        end_by=seconds_left,
        next_stage_wait=longest_next_wait if next_stages else None,
    )


def urgency_at(plan: StagePlan, stage: int, urgency: Urgency, order: DownstreamOrder) -> Urgency:
    """Return the urgency of a call's pieces at one of its stages."""
    return downstream_urgency(urgency, order) if plan.definition(stage).after else urgency
