"""Entry point of ``corkcrank-node``, one gateway for opaque calls on the users' platform.

Installs signal handlers before anything else is imported: a signal during the start must not
end the process with an error.
"""

import gc
import os
import signal
import sys
from types import FrameType


def main() -> None:
    """Serve until SIGTERM with the settings file that the platform names."""
    # The settings file is read later, so a change that was signalled before is not missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_before_serving)
    _skip_loading_certificates()
    # Imported objects live as long as the process: garbage collections during the imports
    # free nothing, and took 0.03 s of the 0.43 s of processor time of the imports.
    gc.disable()
    from corkcrank.node.process.node_process import serve

    gc.freeze()
    gc.enable()
    serve(sys.argv[1:])


def _skip_loading_certificates() -> None:
    """Prevent the loading of certificates at import: a node does not use TLS.

    At import the HTTP library loads all certificates that the machine trusts, which takes a
    quarter of the processor time of a start.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull


def _exit_before_serving(number: int, frame: FrameType | None) -> None:
    """Exit the process at once; nothing is open at this point.

    Raising an exception instead is not reliable: the interpreter drops one that is raised in a
    callback of its import locks. With signals at random times, 10 of 2,500 during the imports
    were lost and the process ran until it was killed; 6 more ended it with status 1.
    """
    os._exit(0)


if __name__ == "__main__":
    main()
