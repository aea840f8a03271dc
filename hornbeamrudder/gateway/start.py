"""Starts a node with the settings that the environment names."""

import asyncio
import gc

from ..core import errors
from . import decision_log
from . import node
from ..platform import adapter
from ..platform import settings

EXIT_PROBLEMS = 1


def main() -> int:
    """Run a node with the settings that the environment names."""
    writer = decision_log.BoundedWriter()
    loaded = settings.load()
    if isinstance(loaded, errors.Failure):
        decision_log.configure('', writer).error(
            'settings are malformed', failure=str(loaded)
        )
        return EXIT_PROBLEMS
    log = decision_log.configure(loaded.node, writer)
    # What was imported stays until the end.
    gc.freeze()
    asyncio.run(node.Node(loaded, adapter, log).run())
    return 0
