"""The node daemon: runs one node until a stop signal."""

import gc
import signal
import threading

from . import node
from ..settings import schema
from ..telemetry import logs

GC_THRESHOLD = 50_000


def run(settings: schema.NodeSettings) -> int:
    """Run a node until SIGTERM, SIGINT or the reclaim of its own host.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop.
    """
    logs.configure(settings.log_level, settings.node_id)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    running = node.Node(settings, on_reclaim=stop.set)
    running.start()
    # Objects created at start-up live as long as the process, and most later
    # ones are short-lived and freed by reference counting, so that frequent
    # collections would cost time without freeing memory.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    stop.wait()
    running.stop()
    return 0
