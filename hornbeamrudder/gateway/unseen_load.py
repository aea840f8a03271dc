"""Choice among backend servers whose reported load is not current; no I/O.

Each node learns of the others' placements with the next report. Until then,
all nodes would choose the server with the lowest reported load, so that it
gets the work of all of them while the others are idle. The work that the
other nodes place meanwhile is known in sum, so this module assumes that they
spread it as well as the reports allow: it fills the servers up to a common
level, the least loaded first. A server is chosen in proportion to what it
would get of that work, so that the nodes together do what each of them
assumes.

The load it answers: jumps of the load, and failures that leave few servers,
on many nodes whose reports are older than the time a prompt takes.
"""

import itertools
import random
from typing import Sequence


def fill_level_ms(
    costs_ms: Sequence[float],
    speeds: Sequence[float],
    unseen_ms: float,
) -> float:
    """Return the cost that all used servers have once the work is placed.

    Parameters
    ----------
    costs_ms : sequence of float
        Cost of each server by the reported load, in milliseconds.
    speeds : sequence of float
        Work that each server does per unit of time, relative to a usual one.
    unseen_ms : float
        Work that is not in the reports, in milliseconds of a usual server.
    """
    ascending = sorted(zip(costs_ms, speeds))
    level, speed = ascending[0]
    remaining = unseen_ms
    for cost, added_speed in itertools.islice(ascending, 1, None):
        work = (cost - level) * speed
        if work >= remaining:
            break
        remaining -= work
        level = cost
        speed += added_speed
    return level + remaining / speed


def draw(
    costs_ms: Sequence[float],
    speeds: Sequence[float],
    unseen_ms: float,
    rng: random.Random,
) -> int:
    """Return the index of a server, chosen by its share of unseen work.

    Parameters
    ----------
    costs_ms, speeds, unseen_ms
        As for `fill_level_ms`; `unseen_ms` has to be above 0.
    """
    level = fill_level_ms(costs_ms, speeds, unseen_ms)
    shares = [
        max(0.0, level - cost) * speed for cost, speed in zip(costs_ms, speeds)
    ]
    return rng.choices(range(len(shares)), weights=shares)[0]
