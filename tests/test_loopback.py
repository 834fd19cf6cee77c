"""Tests that concurrent test runs and restarting processes never lose a port to another process."""

import errno
import socket

import pytest

from corkcrank.load.local_cluster import PortSource
from corkcrank.load.loopback import PROCESSES_APART, loopback_address


def outgoing_from_port_of_a_process() -> tuple[socket.socket, str, int]:
    """Return a socket bound to 127.0.0.1 at the port of a process on another loopback address.

    An outgoing connection of another process may already use that port of 127.0.0.1: this failed
    once with "address already in use" during a concurrent test run.
    """
    while True:
        ports = PortSource()
        host, port = ports.address().rsplit(":", 1)
        ports.release()
        outgoing = socket.socket()
        try:
            outgoing.bind(("127.0.0.1", int(port)))
        except OSError as error:
            outgoing.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return outgoing, host, int(port)


def test_an_outgoing_connection_cannot_take_the_port_of_a_restarting_process() -> None:
    outgoing, host, port = outgoing_from_port_of_a_process()
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        outgoing,
        socket.socket() as restarted,
    ):
        outgoing.connect(server.getsockname())
        restarted.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        restarted.bind((host, port))
        restarted.listen()


def test_processes_have_distinct_addresses() -> None:
    addresses = {loopback_address(1, process) for process in range(PROCESSES_APART)}
    assert len(addresses) == PROCESSES_APART
    assert "127.0.0.1" not in addresses


@pytest.mark.parametrize("host", [0, 255])
def test_host_numbers_outside_a_network_are_refused(host: int) -> None:
    with pytest.raises(ValueError, match="1 to 254"):
        loopback_address(host)
