"""Optional scheduling features of a deployment."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulingFeatures:
    """Which optional features are on.

    ``competing_callers`` holds where callers compete for too little room: prompts wait in a queue
    before engines, calls that it cannot serve in time are refused at once, and later stages keep
    the order of the ranks.

    With ``follows_paces`` prompts also wait in a queue before engines of a service whose workers
    state their pace.

    With ``return_claims`` a refused caller that returns when it was told goes before new callers
    of its rank: more of those that return are served, and fewer of the others.
    """

    competing_callers: bool = False
    return_claims: bool = False
    follows_paces: bool = True
