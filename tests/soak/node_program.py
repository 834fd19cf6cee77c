"""A gateway that serves peers on its last peer port, behind a link on the first.

Peers connect to the first port, as its heartbeats tell; datagrams pass beside the link.
"""

import signal

from corkcrank.node import program


def main() -> None:
    """Serve as the program does; signals are handled before anything else is imported."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, program._exit_before_serving)
    from corkcrank.contracts.node_settings import NodeProcessSettings

    def behind_link(settings: NodeProcessSettings) -> list[str]:
        return [f"{settings.ip}:{settings.peer_ports[1]}"]

    NodeProcessSettings.peer_addresses = property(behind_link)  # type: ignore[method-assign, assignment]
    program.main()
