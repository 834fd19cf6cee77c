"""Reads the settings file at the start of a process, also while it is being rewritten.

A tool that rewrites the file in place first empties it. A process that starts at this moment
reads a part of the file; if it exited, only the file's next reader would see the whole.
"""

import time
from pathlib import Path

from expression import Result

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeSettings, load_node_settings
from corkcrank.contracts.result_codes import Failure

RETRY_SECONDS = 2.0
"""Time for which a start reads an invalid file again: as long as a running process takes to
poll the file."""

RETRY_INTERVAL_SECONDS = 0.02
"""Pause between two reads of an invalid file."""


def load_settings_at_start(path: Path) -> Result[NodeSettings, Failure]:
    """Return the settings, or the last error if the file stays invalid for ``RETRY_SECONDS``.

    The pause blocks the process: no event loop runs yet.
    """
    give_up_at = clock.now() + RETRY_SECONDS
    result = load_node_settings(path)
    while result.is_error() and clock.now() < give_up_at:
        time.sleep(RETRY_INTERVAL_SECONDS)
        result = load_node_settings(path)
    return result
