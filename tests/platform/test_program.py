"""Tests signals that arrive while a process imports its libraries.

The failure: a gateway ran for 7.5 s after SIGTERM, until it was killed; its log had a traceback.
The signal had arrived during the imports, in a callback of the interpreter's import locks. The
handler raised an exception, and the interpreter drops exceptions raised there (``Exception ignored
in: <function _get_module_lock...>``). Of 2,500 signals at random times during the imports, 10 were
lost like this, and 6 ended the process with status 1 because a library had wrapped the exception.
"""

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
def test_a_signal_during_the_start_causes_no_error_exit(
    name: str, status: int, goes_on: bool
) -> None:
    code = SIGNALLED.replace("{name}", name)
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=False
    )
    assert (process.returncode, "goes on" in process.stdout) == (status, goes_on), process.stderr


IN_A_CALLBACK = """
import gc, os, signal, sys, weakref

class Lock:
    pass

class Signalled:
    def find_spec(self, name, path=None, target=None):
        if name == "aiohttp":
            sys.meta_path.remove(self)
            lock = Lock()
            reference = weakref.ref(lock, lambda _: os.kill(os.getpid(), signal.SIGTERM))
            del lock
            gc.collect()
            print("goes on", flush=True)

sys.meta_path.insert(0, Signalled())
sys.argv = ["node", "/no/such/file"]
from corkcrank.node.program import main
main()
"""

IN_A_WRAPPED_CALL = """
import os, signal, sys

class Descriptor:
    def __set_name__(self, owner, name):
        os.kill(os.getpid(), signal.SIGTERM)

class Signalled:
    def find_spec(self, name, path=None, target=None):
        if name == "aiohttp":
            sys.meta_path.remove(self)
            try:
                type("Owner", (), {"attribute": Descriptor()})
            except BaseException:
                print("goes on", flush=True)
                raise

sys.meta_path.insert(0, Signalled())
sys.argv = ["node", "/no/such/file"]
from corkcrank.node.program import main
main()
"""


@pytest.mark.parametrize("code", [IN_A_CALLBACK, IN_A_WRAPPED_CALL], ids=["callback", "wrapped"])
def test_no_signal_is_lost_where_the_interpreter_drops_exceptions(code: str) -> None:
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=False
    )
    assert (process.returncode, process.stdout) == (0, ""), process.stderr
    assert process.stderr == ""
