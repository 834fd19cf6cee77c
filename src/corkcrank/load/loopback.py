"""Computes loopback addresses that no other process of this machine uses.

Every address in 127.0.0.0/8 belongs to this machine. Outgoing connections use a free port
of 127.0.0.1 as their source, which can be a port that a killed process is about to bind again.
A server with its own address loses its port neither to them nor to another test run.
"""

import os

PROCESSES_APART = 254 * 256
"""Minimum difference of process ids at which two processes can share an address."""


def loopback_address(host: int, process: int | None = None) -> str:
    """Return the address of a host number, 1 to 254, of a process, by default this one.

    >>> loopback_address(7, process=515), loopback_address(7, process=516)
    ('127.3.3.7', '127.3.4.7')
    """
    if not 1 <= host <= 254:
        raise ValueError(f"a host number is 1 to 254, not {host}")
    process_id = os.getpid() if process is None else process
    network, rest = divmod(process_id % PROCESSES_APART, 256)
    return f"127.{network + 1}.{rest}.{host}"
