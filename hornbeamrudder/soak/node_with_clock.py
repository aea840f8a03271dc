"""Runs a node whose time of day is stepped by a file.

Only the clock is replaced, since the time of day of one process can't be
changed from outside.
"""

import os
import pathlib
import signal
import sys
import time

OFFSET_VARIABLE = 'HORNBEAMRUDDER_SOAK_CLOCK'


def main() -> int:
    """Run the node."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ..gateway import __main__ as gateway_main
    from ..gateway import clock

    path = pathlib.Path(os.environ[OFFSET_VARIABLE])

    def stepped() -> float:
        return time.time() + float(path.read_text() or 0.0)

    clock.wall = stepped
    return gateway_main.main()


if __name__ == '__main__':
    sys.exit(main())
