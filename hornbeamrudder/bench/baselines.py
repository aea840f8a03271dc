"""Policies that run beside the product's decisions, as sets of switches."""

import dataclasses
import enum


class Routing(enum.Enum):
    """How a worker is chosen."""

    POLICY = 'policy'
    ROUND_ROBIN = 'round robin'
    NO_AFFINITY = 'no affinity'
    LEAST_REPORTED = 'least reported load'
    TRUE_LOAD = 'true load'


class Shares(enum.Enum):
    """How the slots of a worker are divided between nodes."""

    DEMAND = 'demand'
    EQUAL = 'equal'
    NONE = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Switches of one run; the defaults are the product's decisions.

    Attributes
    ----------
    ranks, fair : bool
        Whether ranks and accounts are told apart in the queue.
    quiet : bool
        Whether the scenario's quiet workers are used.
    retry_budget : bool
        Without a budget, every failed attempt is repeated, up to
        `max_attempts` in all, without avoiding the failed worker.
    """

    ranks: bool = True
    floors: bool = True
    fair: bool = True
    early_rejection: bool = True
    quiet: bool = True
    routing: Routing = Routing.POLICY
    shares: Shares = Shares.DEMAND
    retry_budget: bool = True
    max_attempts: int = 10


POLICY = 'policy'
POLICIES = {
    POLICY: Policy(),
    'first come first served': Policy(
        ranks=False,
        floors=False,
        fair=False,
        early_rejection=False,
        quiet=False,
    ),
    'no fairness': Policy(fair=False, quiet=False),
    'no quiet workers': Policy(quiet=False),
    'no floors': Policy(floors=False),
    'no early rejection': Policy(early_rejection=False),
    'round robin': Policy(routing=Routing.ROUND_ROBIN),
    'no affinity': Policy(routing=Routing.NO_AFFINITY),
    'least reported': Policy(routing=Routing.LEAST_REPORTED),
    'least reported, no shares': Policy(
        routing=Routing.LEAST_REPORTED, shares=Shares.NONE
    ),
    'no shares': Policy(shares=Shares.NONE),
    'equal shares': Policy(shares=Shares.EQUAL),
    'retry without budget': Policy(retry_budget=False),
    'true load (reference)': Policy(routing=Routing.TRUE_LOAD),
}
