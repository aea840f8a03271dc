"""Baseline policies that the product's policy is compared with."""

import dataclasses
import enum


class Routing(enum.Enum):
    """Method of selecting a worker."""

    POLICY = 'policy'
    ROUND_ROBIN = 'round robin'
    NO_AFFINITY = 'no affinity'
    LEAST_REPORTED = 'least reported load'
    TRUE_LOAD = 'true load'


class Shares(enum.Enum):
    """Method of dividing the slots of a worker among the nodes."""

    DEMAND = 'demand'
    EQUAL = 'equal'
    NONE = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Feature switches of one run; the defaults are the product's policy.

    Attributes
    ----------
    ranks, fair : bool
        Whether the queue distinguishes ranks and accounts, respectively.
    quiet : bool
        Whether the quiet workers of the scenario are used.
    retry_budget : bool
        If false, every failed attempt is retried, up to `max_attempts`
        attempts in total, and the failed worker is not excluded.
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
