"""Runs a node whose wall clock is offset by the value in a file.

The clock function is replaced inside the process, because the wall clock of a
single process cannot be changed from outside.
"""

import os
import pathlib
import signal
import sys
import time

OFFSET_VARIABLE = 'HORNBEAMRUDDER_SOAK_CLOCK'


def main() -> int:
    """Run the node."""
    # As in `gateway.__main__`: ignored before the other modules are imported,
    # because a SIGHUP before the node sets its handler would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ..gateway import __main__ as gateway_main
    from ..gateway import clock

    path = pathlib.Path(os.environ[OFFSET_VARIABLE])

    def offset_wall_clock() -> float:
        return time.time() + float(path.read_text() or 0.0)

    clock.wall = offset_wall_clock
    return gateway_main.main()


if __name__ == '__main__':
    sys.exit(main())
