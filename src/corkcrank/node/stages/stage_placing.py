"""What is known of a call's pieces when their worker is chosen."""

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.urgency import Urgency, begun_urgency
from corkcrank.node.stages.stage_dispatch import StageDispatch
from corkcrank.scheduling.stage_choice import StagePlacing
from corkcrank.scheduling.stage_plan import StagePlan


def stage_placing(
    plan: StagePlan, dispatch: StageDispatch, call: OpaqueCall, stage: int, pieces: int
) -> StagePlacing:
    """Return what is known of some pieces before their inputs and their reader are."""
    definition = plan.definition(stage)
    due = call.objective_at - clock.now()
    urgency = Urgency(call.rank, round(due, 3))
    later = begun_urgency(urgency)
    followers = [
        (plan.definition(reader), plan.counts[reader])
        for reader in plan.reader_stages(stage)
        if plan.counts[reader]
    ]

    def ahead(zone: str) -> float:
        waits = [
            dispatch.wait_in_zone(item.service, zone, later, count, float(item.result_bytes))
            for item, count in followers
        ]
        return max(waits, default=0.0)

    return StagePlacing(
        service=definition.service,
        pieces=pieces,
        size=float(definition.result_bytes),
        urgency=urgency_at(plan, stage, urgency),
        end_by=due,
        next_stage_wait=ahead if followers else None,
    )


def urgency_at(plan: StagePlan, stage: int, urgency: Urgency) -> Urgency:
    """Return the urgency of a call's pieces at one of its stages."""
    return begun_urgency(urgency) if plan.definition(stage).after else urgency
