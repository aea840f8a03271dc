"""Entry point of a node: `python3 -m hornbeamrudder.gateway`."""

import signal
import sys


def main() -> int:
    """Run a node.

    A hang-up signal asks a running node to read its settings again. One that
    comes before the node can handle it must not end the process, so it is
    ignored before anything else is imported.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from . import start

    return start.main()


if __name__ == '__main__':
    sys.exit(main())
