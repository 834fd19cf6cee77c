"""Signals that come while a process still imports its libraries."""

import subprocess
import sys

import pytest

SIGNALLED = """
import os, signal, sys

class Signalled:
    def find_spec(self, name, path=None, target=None):
        if name == "aiohttp":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.{name})
            print("goes on", flush=True)

sys.meta_path.insert(0, Signalled())
sys.argv = ["node", "/no/such/file"]
from corkcrank.node.program import main
main()
"""


@pytest.mark.parametrize(
    ("name", "status", "goes_on"), [("SIGHUP", 3, True), ("SIGTERM", 0, False)]
)
def test_a_signal_during_the_start_ends_no_process_with_a_fault(
    name: str, status: int, goes_on: bool
) -> None:
    code = SIGNALLED.replace("{name}", name)
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=False
    )
    assert (process.returncode, "goes on" in process.stdout) == (status, goes_on), process.stderr
