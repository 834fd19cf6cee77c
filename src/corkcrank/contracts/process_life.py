"""The life cycle of a daemon process: starting, serving, draining, stopped."""

from enum import StrEnum

from corkcrank.contracts.life_cycle import IllegalTransitionError, LifeCycle, Step


class ProcessState(StrEnum):
    """State of a daemon process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class ProcessTrigger(StrEnum):
    """Transitions of a daemon process."""

    SERVE = "serve"
    DRAIN = "drain"
    STOP = "stop"


_PROCESS_LIFE_CYCLE = LifeCycle(
    ProcessState,
    (
        Step(ProcessTrigger.SERVE, (ProcessState.STARTING,), ProcessState.SERVING),
        Step(
            ProcessTrigger.DRAIN,
            (ProcessState.STARTING, ProcessState.SERVING),
            ProcessState.DRAINING,
        ),
        Step(ProcessTrigger.STOP, (ProcessState.DRAINING,), ProcessState.STOPPED),
    ),
)


class ProcessLife:
    """The current state of one daemon process.

    >>> life = ProcessLife()
    >>> life.fire(ProcessTrigger.SERVE), life.state
    (True, 'serving')
    >>> life.fire(ProcessTrigger.STOP)
    False
    """

    def __init__(self) -> None:
        self.state = ProcessState.STARTING.value

    def fire(self, trigger: ProcessTrigger) -> bool:
        """Apply a transition if it is allowed; return whether it was."""
        try:
            _PROCESS_LIFE_CYCLE.fire(self, trigger)
        except IllegalTransitionError:
            return False
        return True

    @property
    def draining(self) -> bool:
        """Return whether a planned stop has begun or is complete."""
        return self.state in (ProcessState.DRAINING, ProcessState.STOPPED)
