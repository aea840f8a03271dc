"""Entry point of a node: `python3 -m hornbeamrudder.gateway`."""

import signal
import sys


def main() -> int:
    """Run a node.

    SIGHUP makes a running node reload its settings. It is ignored before
    anything else is imported, so that a SIGHUP received before the handler is
    installed does not terminate the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from . import start

    return start.main()


if __name__ == '__main__':
    sys.exit(main())
