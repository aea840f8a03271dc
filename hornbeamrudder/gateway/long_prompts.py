"""Where long prompts gather; no I/O.

A prompt that takes longer than the pause that streams bear delays the streams
of its engine and the short prompts that arrive there meanwhile. While there is
room, long prompts go to a few engines with few streams, and short ones prefer
the others. No engine is set aside: how many gather them follows from the long
and the other prompts that all nodes place, and a short prompt goes to such an
engine as soon as the others are behind. When all are busy, none gathers.

The load it answers: bursts of long prompts beside streams and short prompts.
"""

import heapq
from typing import Sequence

# The engines where long prompts gather are prefilling them for this share of
# the time, so that two of them seldom meet at one engine.
GATHERING_BUSY_SHARE = 1 / 8
# Prefills of the other prompts take at most this share of the time of the
# remaining engines.
OTHERS_BUSY_SHARE = 1 / 3


def gathering_count(
    long_load: float, other_load: float, capacity: float
) -> int:
    """Return the number of engines where long prompts gather.

    Parameters
    ----------
    long_load, other_load : float
        Work of long and of other prompts that is placed per unit of time, in
        units of what a server of usual speed does.
    capacity : float
        What all usable servers do, in the same units.
    """
    wanted = long_load / GATHERING_BUSY_SHARE
    spare = capacity - other_load / OTHERS_BUSY_SHARE
    return max(0, int(min(wanted, spare)))


def highest_gathering_hash(hashes: Sequence[int], count: int) -> int:
    """Return the hash up to which servers gather long prompts.

    All nodes know the same servers, so that they agree; -1 if none does.
    """
    return heapq.nsmallest(count, hashes)[-1] if count and hashes else -1
