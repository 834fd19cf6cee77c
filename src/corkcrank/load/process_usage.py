"""Reads the processor time and memory of a process from the operating system."""

import os
import resource
from pathlib import Path

USER_TIME_FIELD = 13
"""Index of the user time in /proc/PID/stat; the system time follows it."""


def cpu_seconds_of(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    # The name in parentheses is the second field; fields are counted from zero.
    user, system = fields[USER_TIME_FIELD - 2 : USER_TIME_FIELD]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident_bytes_of(pid: int) -> int:
    """Return the resident size of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def peak_bytes_of(pid: int) -> int:
    """Return the largest resident size of a process so far, in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM:"))
    return int(peak.split()[1]) * 1024
