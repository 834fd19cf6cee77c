"""Turns optional scheduling features on and off in a running gateway."""

from corkcrank.contracts.scheduling_features import SchedulingFeatures
from corkcrank.contracts.urgency import DownstreamOrder
from corkcrank.node.calls.services import CallServices
from corkcrank.node.stages.stage_owner import StageOwner


def apply_features(
    features: SchedulingFeatures, services: CallServices, stage_owner: StageOwner
) -> None:
    """Apply the features that the settings call for, at a start or after a reload."""
    services.features = features
    order = DownstreamOrder.RANK if features.competing_callers else DownstreamOrder.DUE
    services.dispatch.downstream_order = order
    services.prefill_grants.downstream_order = order
    stage_owner.backlog.order = order
