"""Gateway program that serves peers on its last peer port, with a fault link on the first.

Peers connect to the first port, which its heartbeats announce; datagrams bypass the link. Its links
to workers may be cut.
"""

import signal
import sys
from pathlib import Path

from corkcrank.node import program


def main() -> None:
    """Run the gateway program; install signal handlers before the other imports."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, program._exit_before_serving)
    from corkcrank.contracts.node_settings import NodeProcessSettings
    from soak.link_cuts import LinkCuts

    cuts = LinkCuts(Path(sys.argv[1]))
    cuts.install()

    def behind_link(settings: NodeProcessSettings) -> list[str]:
        cuts.ip = settings.ip
        return [f"{settings.ip}:{settings.peer_ports[1]}"]

    NodeProcessSettings.peer_addresses = property(behind_link)  # type: ignore[method-assign, assignment]
    program.main()
