"""Starts processes with settings files in a temporary folder, and stops only those."""

import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from corkcrank.load.toml_writer import write_toml


class ProcessGroup:
    """The processes that one tool has started."""

    def __init__(self) -> None:
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="corkcrank-")
        self.root = Path(self._directory.name)

    def start(self, name: str, run_line: str, settings: dict[str, Any]) -> None:
        """Write a process's settings file and start the process, also after it has exited."""
        path = self.root / f"{name}.toml"
        path.write_text(write_toml(settings), encoding="utf-8")
        with (self.root / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-c", run_line, str(path)], stderr=log, stdout=log
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def log_text(self, name: str) -> str:
        """Return the log of a process."""
        return (self.root / f"{name}.log").read_text(encoding="utf-8")

    def close(self) -> None:
        """Stop all processes of the group, including suspended ones."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._directory.cleanup()
