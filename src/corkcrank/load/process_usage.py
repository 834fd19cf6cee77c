"""Processor time and memory of a process, as the operating system counts them."""

import os
import resource
from pathlib import Path

USER_TIME_FIELD = 13
"""Place of the user time in /proc/PID/stat, with the system time after it."""


def cpu_seconds_of(pid: int) -> float:
    """Return the processor seconds spent by a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    # The name in parentheses is the second field; fields are counted from zero.
    user, system = fields[USER_TIME_FIELD - 2 : USER_TIME_FIELD]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident_bytes_of(pid: int) -> int:
    """Return the resident size of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize()
