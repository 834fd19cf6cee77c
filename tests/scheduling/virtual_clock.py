"""A clock that a simulation advances, and an event loop's selector that advances it."""

import selectors


class VirtualClock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class JumpingSelector(selectors.SelectSelector):
    """Advances the virtual clock to the next timer instead of waiting."""

    def __init__(self, virtual: VirtualClock) -> None:
        super().__init__()
        self._clock = virtual

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("the event loop has no timer; the simulation cannot continue")
        self._clock.now += max(0.0, timeout)
        return super().select(0)
