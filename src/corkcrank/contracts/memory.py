"""Memory of a process, from which the bounds of what it keeps are derived."""

BYTES_PER_MB = 2**20

IDLE_MEMORY_MB = 56.0
"""Memory of an idle gateway, in MiB: interpreter, libraries and the mirror of the store."""
