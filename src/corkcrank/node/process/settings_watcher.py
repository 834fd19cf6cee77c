"""Reloads the node's settings file when it changes, on a signal or by polling."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from corkcrank.contracts.node_settings import NodeSettings, load_node_settings
from corkcrank.links.decision_log import DecisionLog, LogEvent

POLL_SECONDS = 2.0
"""Polling interval of the file, as it may change without a signal."""


class SettingsWatcher:
    """Applies changed settings; invalid ones are logged, and the previous ones stay in force.

    Bounds apply at once. Names, addresses and the store apply at the next start only: the log
    names the changed sections.
    """

    def __init__(
        self,
        path: Path,
        settings: NodeSettings,
        log: DecisionLog,
        apply: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._log = log
        self._apply = apply
        self._last_error = ""

    async def watch(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Read the file, and apply its settings if they have changed."""
        result = load_node_settings(self._path)
        if result.is_error():
            detail = result.error.detail
            if detail != self._last_error:
                self._last_error = detail
                self._log.write(LogEvent.SETTINGS_REJECTED, detail=detail)
            return
        self._last_error = ""
        settings = result.ok
        if settings == self._settings:
            return
        restart_sections = [
            name
            for name in ("process", "store", "peers")
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._apply(settings)
        self._log.write(LogEvent.SETTINGS_RELOADED, waits_for_next_start=restart_sections)
