"""Reads from /proc which signals a process handles."""

import signal
from pathlib import Path


def handles_signals(process: int) -> bool:
    """Return whether a process handles or ignores SIGHUP and SIGTERM, or has exited."""
    try:
        lines = Path(f"/proc/{process}/status").read_text(encoding="ascii").splitlines()
    except OSError:
        return True
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigCgt", "SigIgn"))]
    return all(
        any(mask & 1 << (number - 1) for mask in masks)
        for number in (signal.SIGHUP, signal.SIGTERM)
    )
