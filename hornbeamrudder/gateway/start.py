"""Start-up of a node from the settings file named in the environment."""

import asyncio
import gc

from ..core import errors
from . import decision_log
from . import node
from ..platform import adapter
from ..platform import settings

EXIT_PROBLEMS = 1


def main() -> int:
    """Run a node with the settings file named in the environment."""
    writer = decision_log.RateLimitedWriter()
    loaded = settings.load()
    if isinstance(loaded, errors.Failure):
        decision_log.configure('', writer).error(
            'settings are malformed', failure=str(loaded)
        )
        return EXIT_PROBLEMS
    log = decision_log.configure(loaded.node, writer)
    # Imported modules live as long as the process.
    gc.freeze()
    asyncio.run(node.Node(loaded, adapter, log).run())
    return 0
