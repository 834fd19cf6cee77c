"""Cuts the links of a gateway process to workers, as the soak's file beside its settings says.

The soak writes the file from outside. New connections to the listed hosts are refused or hang;
every connection comes from the gateway's own address, so that the soak's proxies can find the open
ones.
"""

import asyncio
import json
import socket
from asyncio.selector_events import BaseSelectorEventLoop
from pathlib import Path
from typing import Any

REFUSED = "refused"
SILENT = "silent"


def cut_file(settings: Path) -> Path:
    """Return the file that states a process's cut, beside its settings file."""
    return settings.with_suffix(".cut")


class LinkCuts:
    """Applies the cut of one process; ``ip`` is its address, empty until it is known."""

    def __init__(self, settings: Path) -> None:
        self.ip = ""
        self._file = cut_file(settings)

    def install(self) -> None:
        """Check every connection attempt of the event loop."""
        connect = BaseSelectorEventLoop.sock_connect

        async def checked(loop: Any, sock: socket.socket, address: Any) -> None:
            how = self._cut_of(address[0])
            if how == REFUSED:
                raise ConnectionRefusedError
            if how == SILENT:
                await asyncio.Event().wait()
            if self.ip and sock.getsockname()[1] == 0:
                sock.bind((self.ip, 0))
            await connect(loop, sock, address)

        BaseSelectorEventLoop.sock_connect = checked  # type: ignore[method-assign, assignment]

    def _cut_of(self, host: str) -> str:
        if not self._file.exists():
            return ""
        cut = json.loads(self._file.read_text(encoding="utf-8"))
        return cut["how"] if host in cut["hosts"] else ""
