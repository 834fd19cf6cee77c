"""``corkcrank-node``: one gateway for opaque calls on the users' platform.

Handles signals before anything else is imported: one that comes while the process starts
must not end it with a fault.
"""

import gc
import os
import signal
import sys
from types import FrameType


def main() -> None:
    """Serve until SIGTERM with the settings file that the platform names."""
    # The settings file is read after this; a change that was signalled before is not missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end_before_serving)
    _skip_certificates()
    # What is imported lives as long as the process: collections while it comes in find
    # nothing, and cost 0.03 s of the 0.43 s of a core that the imports took.
    gc.disable()
    from corkcrank.node.process.node_process import serve

    gc.freeze()
    gc.enable()
    serve(sys.argv[1:])


def _skip_certificates() -> None:
    """Have no certificates read at import: a node speaks no TLS.

    The HTTP library reads all that the machine trusts when it is imported, a quarter of the
    processor time of a start.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull


def _end_before_serving(number: int, frame: FrameType | None) -> None:
    """End the process at once; nothing is open yet.

    No exception is raised for it: the interpreter drops one that comes up in a callback of its
    import locks, so that 10 of 2,500 signals during the imports were lost and the process went
    on until it was killed; 6 more ended it with status 1 (signals at random moments).
    """
    os._exit(0)


if __name__ == "__main__":
    main()
