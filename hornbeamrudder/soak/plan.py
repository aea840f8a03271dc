"""Faults of one run, drawn from its seed; pure."""

import dataclasses
import enum
import random

# Faults start and overlap in series: the pause between two series, and the
# pause between two faults of one series.
SERIES_PAUSE_S = (0.3, 2.5)
FAULT_PAUSE_S = (0.0, 0.4)
MAX_SERIES = 4
# Node counts in turn: where each node reports to each, and through hubs.
NODE_COUNTS = (3, 5, 12)


class Kind(enum.Enum):
    """What is done to the programs and the connections between them."""

    KILL = 'kill a node'
    KILL_ALL = 'kill all nodes'
    TERMINATE = 'stop a node in good order'
    PAUSE = 'pause a node'
    RELOAD = 'tell a node that its settings changed'
    CLOCK_STEP = 'step the time of day of a node'
    STORE_DOWN = 'store refuses all calls'
    STORE_SILENT = 'store answers nobody'
    STORE_LOSES = 'store loses answers of writes'
    STORE_FORGETS = 'store drops its history'
    STORE_DELAYED = 'connections of a node to the store are delayed'
    STORE_ONE_WAY = 'connections of a node to the store pass one way'
    STORE_CUT = 'connections of a node to the store are reset'
    CLOUD_SILENT = 'connections to the cloud API go silent'
    SERVER_RESET = 'connections to a backend server are reset'
    SERVER_SILENT = 'connections to a backend server go silent'
    SERVER_DELAYED = 'connections to a backend server are delayed'
    SERVER_FAULTY = 'a backend server gives faulty answers'
    SERVER_CRASH = 'a backend server ends without notice'
    SERVER_LEAVES = 'a backend server leaves'
    CHANGE = 'the configuration changes'
    REVOKE = 'a key is taken away'


# Faults that last, with the shortest and longest time in seconds.
LASTS_S = {
    Kind.KILL: (0.2, 2.0),
    Kind.KILL_ALL: (0.2, 1.0),
    Kind.PAUSE: (0.3, 6.0),
    Kind.CLOCK_STEP: (1.0, 6.0),
    Kind.STORE_DOWN: (0.5, 5.0),
    Kind.STORE_SILENT: (0.5, 5.0),
    Kind.STORE_LOSES: (0.5, 3.0),
    Kind.STORE_DELAYED: (1.0, 5.0),
    Kind.STORE_ONE_WAY: (1.0, 6.0),
    Kind.STORE_CUT: (0.5, 4.0),
    Kind.CLOUD_SILENT: (0.5, 4.0),
    Kind.SERVER_SILENT: (0.5, 4.0),
    Kind.SERVER_DELAYED: (0.5, 4.0),
    Kind.SERVER_FAULTY: (0.5, 4.0),
    Kind.SERVER_CRASH: (0.5, 3.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at_s, lasts_s : float
        Start after the beginning of the faults, and duration.
    target : int
        Number that picks the node or the backend server.
    strength : float
        From -1 to 1, for faults that have one.
    """

    kind: Kind
    at_s: float
    lasts_s: float
    target: int
    strength: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What one run does."""

    seed: int
    nodes: int
    seconds: float
    faults: tuple[Fault, ...]


def make_plan(
    seed: int,
    seconds: float,
    kinds: tuple[Kind, ...] = tuple(Kind),
    nodes: int | None = None,
) -> Plan:
    """Draw the faults of a run.

    Parameters
    ----------
    seconds : float
        Time in which faults start.
    nodes : int, optional
        Defaults to a number by the seed.
    """
    rng = random.Random(seed)
    faults = []
    now = 0.5
    while now < seconds:
        at = now
        for _ in range(rng.randint(1, MAX_SERIES)):
            kind = rng.choice(kinds)
            faults.append(
                Fault(
                    kind,
                    at,
                    rng.uniform(*LASTS_S.get(kind, (0.0, 0.0))),
                    rng.randrange(1 << 16),
                    rng.uniform(-1.0, 1.0),
                )
            )
            at += rng.uniform(*FAULT_PAUSE_S)
        now = at + rng.uniform(*SERIES_PAUSE_S)
    return Plan(
        seed,
        nodes or NODE_COUNTS[seed % len(NODE_COUNTS)],
        seconds,
        tuple(faults),
    )
