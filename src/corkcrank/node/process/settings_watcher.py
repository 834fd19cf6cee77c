"""Takes up a changed settings file, with a signal or without one."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from corkcrank.contracts.node_settings import NodeSettings, load_node_settings
from corkcrank.links.decision_log import DecisionLog, LogEvent

LOOK_SECONDS = 2.0
"""Time between looks at the file: it may change without a signal."""


class SettingsWatcher:
    """Hands changed settings on; what is wrong is logged, and the former ones stay.

    Bounds are taken up at once. Names, addresses and the store are those of the start: the
    log tells when the file has others.
    """

    def __init__(
        self,
        path: Path,
        settings: NodeSettings,
        log: DecisionLog,
        take: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._log = log
        self._take = take
        self._rejected = ""

    async def watch(self) -> None:
        """Look at the file for ever."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            self.look()

    def look(self) -> None:
        """Read the file, and take it up if it has changed."""
        result = load_node_settings(self._path)
        if result.is_error():
            detail = result.error.detail
            if detail != self._rejected:
                self._rejected = detail
                self._log.write(LogEvent.SETTINGS_REJECTED, detail=detail)
            return
        self._rejected = ""
        settings = result.ok
        if settings == self._settings:
            return
        waits = [
            name
            for name in ("process", "store", "peers")
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._take(settings)
        self._log.write(LogEvent.SETTINGS_RELOADED, waits_for_next_start=waits)
