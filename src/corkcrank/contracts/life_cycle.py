"""Life cycles of objects as state machines, defined once per class.

The ``transitions`` library checks that each transition is allowed. All instances of a class
share one machine, because attaching a model per instance costs more than the transition.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from transitions import Machine, MachineError


class IllegalTransitionError(Exception):
    """The trigger is not allowed in the current state of the object."""


@dataclass(frozen=True, slots=True)
class Step:
    """An allowed transition: ``trigger`` leads from any of ``sources`` to ``target``."""

    trigger: StrEnum
    sources: tuple[StrEnum, ...]
    target: StrEnum


class LifeCycle:
    """State machine for a class of objects that keep their state in the attribute ``state``."""

    def __init__(self, states: type[StrEnum], steps: Sequence[Step]) -> None:
        self._machine = Machine(
            model=None,
            states=[str(state) for state in states],
            transitions=[
                {
                    "trigger": str(step.trigger),
                    "source": [str(source) for source in step.sources],
                    "dest": str(step.target),
                }
                for step in steps
            ],
            initial=None,
            auto_transitions=False,
        )

    def fire(self, subject: object, trigger: StrEnum) -> None:
        """Apply one transition to ``subject``; raises :class:`IllegalTransitionError`."""
        try:
            self._machine.events[str(trigger)].trigger(subject)
        except MachineError as error:
            raise IllegalTransitionError(str(error)) from error
