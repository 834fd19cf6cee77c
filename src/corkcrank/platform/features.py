"""Decodes the parts of the platform's rules that a deployment names in its settings."""

from collections.abc import Collection

from corkcrank.contracts.node_settings import NodeSchedulingSettings
from corkcrank.contracts.scheduling_features import SchedulingFeatures

COMPETING_CALLERS = "pressure"
"""The platform's word for deployments whose callers compete for too little room."""


def scheduling_features(settings: NodeSchedulingSettings) -> SchedulingFeatures:
    """Return the features of a deployment; what the operator sets goes before all others say.

    >>> scheduling_features(NodeSchedulingSettings(platform_features=("base", "pressure")))
    SchedulingFeatures(competing_callers=True, return_claims=False, follows_paces=True)
    >>> scheduling_features(NodeSchedulingSettings(False, platform_features=("pressure",)))
    SchedulingFeatures(competing_callers=False, return_claims=False, follows_paces=False)
    """
    return SchedulingFeatures(
        competing_callers=_resolve(
            settings.competing_callers, COMPETING_CALLERS, settings.platform_features
        ),
        return_claims=settings.return_claims,
        follows_paces=settings.competing_callers is not False,
    )


def _resolve(setting: bool | None, name: str, reported: Collection[str]) -> bool:
    return name in reported if setting is None else setting
