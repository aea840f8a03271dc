"""Generates the fault plan of a run from a seed; no I/O."""

import dataclasses
import enum
import random

# Faults are started in bursts, in which they may overlap. The intervals are
# between two bursts and between two faults of a burst.
FIRST_BURST_S = 0.5
BURST_INTERVAL_S = (0.3, 2.5)
FAULT_INTERVAL_S = (0.0, 0.4)
MAX_FAULTS_PER_BURST = 4
# Chosen by seed; covers nodes that report to each other directly and nodes
# that report through hubs.
NODE_COUNTS = (3, 5, 12)
# Share of the runs with a roll-out, and time of its order. Its random numbers
# are separate, so that the other faults of a seed stay what they were.
ROLL_OUT_SHARE = 0.5
ROLL_OUT_SEED_MASK = 0x2011
ROLL_OUT_START_S = (0.2, 3.0)


class FaultKind(enum.Enum):
    """Faults of processes and connections, and operator actions."""

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
    ROLL_OUT = 'a service is rolled out'


# Minimum and maximum duration of the kinds with a random duration.
DURATION_RANGE_S = {
    FaultKind.KILL: (0.2, 2.0),
    FaultKind.KILL_ALL: (0.2, 1.0),
    FaultKind.PAUSE: (0.3, 6.0),
    FaultKind.CLOCK_STEP: (1.0, 6.0),
    FaultKind.STORE_DOWN: (0.5, 5.0),
    FaultKind.STORE_SILENT: (0.5, 5.0),
    FaultKind.STORE_LOSES: (0.5, 3.0),
    FaultKind.STORE_DELAYED: (1.0, 5.0),
    FaultKind.STORE_ONE_WAY: (1.0, 6.0),
    FaultKind.STORE_CUT: (0.5, 4.0),
    FaultKind.CLOUD_SILENT: (0.5, 4.0),
    FaultKind.SERVER_SILENT: (0.5, 4.0),
    FaultKind.SERVER_DELAYED: (0.5, 4.0),
    FaultKind.SERVER_FAULTY: (0.5, 4.0),
    FaultKind.SERVER_CRASH: (0.5, 3.0),
    FaultKind.ROLL_OUT: (8.0, 11.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One injected fault.

    Attributes
    ----------
    start_s, duration_s : float
        Start after all nodes are ready for the first time, and duration.
    target : int
        Selects the node or backend server, modulo their number.
    magnitude : float
        From -1 to 1; scales clock steps, delays and the lifetime of keys
        that are revoked. The new version of a roll-out is bad below 0.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    target: int
    magnitude: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The faults and the size of one run."""

    seed: int
    nodes: int
    seconds: float
    faults: tuple[Fault, ...]


def generate_plan(
    seed: int,
    seconds: float,
    kinds: tuple[FaultKind, ...] = tuple(FaultKind),
    nodes: int | None = None,
) -> Plan:
    """Generate the faults of a run.

    Parameters
    ----------
    seconds : float
        Time during which faults are started.
    nodes : int, optional
        Number of nodes; by default chosen by the seed.
    """
    rng = random.Random(seed)
    others = tuple(kind for kind in kinds if kind is not FaultKind.ROLL_OUT)
    faults = _roll_outs(seed, bool(others)) if others != kinds else []
    now = FIRST_BURST_S
    while others and now < seconds:
        at = now
        for _ in range(rng.randint(1, MAX_FAULTS_PER_BURST)):
            faults.append(_fault(rng, rng.choice(others), at))
            at += rng.uniform(*FAULT_INTERVAL_S)
        now = at + rng.uniform(*BURST_INTERVAL_S)
    return Plan(
        seed,
        nodes or NODE_COUNTS[seed % len(NODE_COUNTS)],
        seconds,
        tuple(faults),
    )


def _fault(rng: random.Random, kind: FaultKind, at: float) -> Fault:
    return Fault(
        kind,
        at,
        rng.uniform(*DURATION_RANGE_S.get(kind, (0.0, 0.0))),
        rng.randrange(1 << 16),
        rng.uniform(-1.0, 1.0),
    )


def _roll_outs(seed: int, is_optional: bool) -> list[Fault]:
    rng = random.Random(seed ^ ROLL_OUT_SEED_MASK)
    if rng.random() >= ROLL_OUT_SHARE and is_optional:
        return []
    return [_fault(rng, FaultKind.ROLL_OUT, rng.uniform(*ROLL_OUT_START_S))]
