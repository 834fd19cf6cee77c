"""Life cycles as state machines defined once per class.

``transitions`` checks that each step is allowed. One machine serves every instance of a
class, because attaching a model per instance costs more than the step itself.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from transitions import Machine, MachineError


class IllegalTransitionError(Exception):
    """A life cycle was asked for a step that its present state does not allow."""


@dataclass(frozen=True, slots=True)
class Step:
    """An allowed step: ``trigger`` leads from any of ``sources`` to ``target``."""

    trigger: StrEnum
    sources: tuple[StrEnum, ...]
    target: StrEnum


class LifeCycle:
    """The life cycle of a class of objects that keep their state in ``state``."""

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
        """Move ``subject`` one step; raises :class:`IllegalTransitionError`."""
        try:
            self._machine.events[str(trigger)].trigger(subject)
        except MachineError as error:
            raise IllegalTransitionError(str(error)) from error
