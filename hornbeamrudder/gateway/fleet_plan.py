"""Plan of the backend servers of a service over its data centres; no I/O.

Reclaimable servers carry the load: enough that those left by the reclaims that
may come before new ones boot carry the urgent demand, and all of them a jump
of callers. On-demand servers fill what is missing from the notice of a reclaim
on, and stay until reclaimable ones serve again.
"""

import dataclasses
import math
from typing import Mapping

from ..core import ids
from . import demand as demand_
from . import records
from ..rollouts import choice
from . import server_need

# An order is repeated if the servers do not serve after this time.
ORDER_RETRY_S = 6.0
# With a lower maximum in a data centre, the need follows the requests in
# progress only: single long prompts are much of the work of a few servers, so
# that rates of prompt tokens swing too widely to order by.
MIN_PLANNED_MAXIMUM = 8
# Growth of the demand that the reclaimable servers carry until others boot.
JUMP = 2.5
# Data centres that may be reclaimed before ordered servers have booted.
RECLAIMS_IN_A_ROW = 2
# Least share of the operator's maximum kept as reclaimable servers, and the
# share while the demand is not known.
MIN_RECLAIMABLE_SHARE = 0.5
UNKNOWN_DEMAND_SHARE = 0.8
# Least number likewise: of fewer, each is too large a part of the capacity.
MIN_RECLAIMABLE = 4
# The risk of another reclaim is covered for this long after one was seen.
RECLAIM_RISK_S = 10.0
# A reclaim leaves at most this share of the reclaimable servers of a data
# centre, of at least as many, that served within this time.
RECLAIMED_SHARE = 0.5
MIN_RECLAIMED = 2
SERVED_DECAY_S = 2.0
# A lower count is ordered after the need was lower for this long, and by no
# less than this share of the present count.
RELEASE_DELAY_S = 2.5
MIN_RELEASE_SHARE = 0.25
# A raise of the on-demand servers is so much larger, as the need grows on
# while they boot.
RAISE_FACTOR = 1.2
# The same while no demand is seen: that of all nodes is heard by then.
IDLE_RELEASE_DELAY_S = 1.0
# Largest share of the on-demand servers in one data centre, where others have
# room.
MAX_ON_DEMAND_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPool:
    """Backend servers that are ordered as one number."""

    service: ids.ServiceName
    data_centre: ids.DataCentreName
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Usable backend servers of a service.

    Attributes
    ----------
    reclaimable, on_demand : mapping
        Number of servers by data centre. In a roll-out those of the side that
        carries the requests.
    reclaimable_unavailable : bool
        Whether an order of reclaimable servers was refused recently.
    basis : Basis
        Which servers these are.
    """

    reclaimable: Mapping[ids.DataCentreName, int]
    on_demand: Mapping[ids.DataCentreName, int]
    reclaimable_unavailable: bool = False
    basis: choice.Basis = choice.Basis()


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Number of servers of a pool that was ordered.

    Attributes
    ----------
    at : float
        Time on `clock.now` at which the order was accepted.
    served : int
        Most servers of the pool that have served at a time since.
    """

    count: int
    at: float
    served: int = 0

    def seen(self, serving: int) -> 'Order':
        """Return the order after `serving` servers were seen."""
        return dataclasses.replace(self, served=max(self.served, serving))

    def is_due(self, count: int, serving: int, now: float) -> bool:
        """Whether `count` servers have to be ordered, or ordered again.

        Servers that have served and are gone are not replaced without an
        order; those that have not served yet may still be booting.
        """
        if count != self.count:
            return True
        return serving < count and (
            serving < self.served or now - self.at >= ORDER_RETRY_S
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Servers to have, and what the next plan starts from.

    Attributes
    ----------
    reclaimable, on_demand : mapping
        Counts by data centre.
    served : mapping
        Reclaimable servers that served shortly before, by data centre.
    at : float
        Time of the plan.
    reclaimed_at : float
        Time of the last reclaim that was seen.
    lower_since : float or None
        Since when fewer on-demand servers would do.
    fewer_since : float or None
        Since when fewer reclaimable servers would do.
    needed, in_shortage : int
        Servers needed in calm and in a shortage, for the log.
    basis : Basis
        Which servers the counts started from.
    """

    reclaimable: Mapping[ids.DataCentreName, int] = dataclasses.field(
        default_factory=dict
    )
    on_demand: Mapping[ids.DataCentreName, int] = dataclasses.field(
        default_factory=dict
    )
    served: Mapping[ids.DataCentreName, float] = dataclasses.field(
        default_factory=dict
    )
    at: float = float('-inf')
    reclaimed_at: float = float('-inf')
    lower_since: float | None = None
    fewer_since: float | None = None
    needed: int = 0
    in_shortage: int = 0
    basis: choice.Basis = choice.Basis()


def counts_by_pool(
    service: ids.ServiceName, plan: Plan
) -> dict[ServerPool, int]:
    """Return the counts to order; reclaimable ones first.

    The operator's minimum applies to the sum of both pools, so an order that
    reduces the on-demand servers is only accepted after the reclaimable
    servers are ordered.
    """
    return {
        ServerPool(service, data_centre, reclaimable): counts[data_centre]
        for data_centre in plan.on_demand
        for reclaimable, counts in (
            (True, plan.reclaimable),
            (False, plan.on_demand),
        )
        if data_centre in counts
    }


def next_plan(
    scaling: records.Scaling,
    demand: demand_.Demand,
    capacity: server_need.Capacity,
    fleet: Fleet,
    before: Plan,
    now: float,
) -> Plan:
    """Return the plan for what serves now.

    Parameters
    ----------
    fleet : Fleet
        Servers that serve now. A node that has just become responsible
        begins with an empty plan and keeps the servers that it finds until
        it knows that they can go.
    """
    if scaling.max_servers < MIN_PLANNED_MAXIMUM:
        capacity = dataclasses.replace(capacity, tokens_per_ms=0.0)
    in_shortage = server_need.needed_in_shortage(demand, capacity)
    needed = server_need.needed_in_calm(demand, capacity)
    if fleet.basis != before.basis:
        before = _rebased(fleet, before)
    if scaling.reclaimable_price is None:
        on_demand = _even(scaling, needed)
        if not fleet.basis.is_over:
            on_demand = _raised(scaling, on_demand, before.on_demand)
        return Plan(
            on_demand=on_demand,
            at=now,
            needed=needed,
            in_shortage=in_shortage,
            basis=fleet.basis,
        )
    served = _served(fleet, before, now)
    reclaimed_at = now if _is_reclaimed(fleet, served) else before.reclaimed_at
    at_risk = (
        fleet.reclaimable_unavailable or now - reclaimed_at < RECLAIM_RISK_S
    )
    present = before.on_demand or dict(fleet.on_demand)
    total, lower_since = _on_demand_total(
        fleet, sum(present.values()), in_shortage, at_risk, before, now
    )
    occupied = fleet.reclaimable
    if not fleet.basis.is_over:
        occupied = _raised(scaling, occupied, before.reclaimable)
    on_demand = _place_on_demand(scaling, occupied, present, total)
    reclaimable, fewer_since = _damped(
        scaling,
        before.reclaimable or fleet.reclaimable,
        before.fewer_since,
        _reclaimable(scaling, demand, needed, in_shortage),
        at_risk or not fleet.basis.is_over,
        now,
    )
    return Plan(
        {
            data_centre: min(
                count, scaling.max_servers - on_demand[data_centre]
            )
            for data_centre, count in reclaimable.items()
        },
        on_demand,
        served,
        now,
        reclaimed_at,
        lower_since,
        fewer_since,
        needed,
        in_shortage,
        fleet.basis,
    )


def _rebased(fleet: Fleet, before: Plan) -> Plan:
    """Return the plan to go on from when other servers count.

    The servers of one side are not the others after a reclaim. A roll-out
    that is over has ended those of the other side, so the plan starts from
    what is left; until then nothing is released.
    """
    keeps = not fleet.basis.is_over
    return dataclasses.replace(
        before,
        reclaimable=(keeps and before.reclaimable) or fleet.reclaimable,
        on_demand=(keeps and before.on_demand) or fleet.on_demand,
        served={},
        lower_since=None,
        fewer_since=None,
    )


def _raised(
    scaling: records.Scaling,
    counts: Mapping[ids.DataCentreName, int],
    floor: Mapping[ids.DataCentreName, int],
) -> dict[ids.DataCentreName, int]:
    return {
        data_centre: max(
            counts.get(data_centre, 0),
            min(scaling.max_servers, floor.get(data_centre, 0)),
        )
        for data_centre in scaling.price_by_data_centre
    }


def _even(
    scaling: records.Scaling, needed: int
) -> dict[ids.DataCentreName, int]:
    data_centres = list(scaling.price_by_data_centre)
    each = max(scaling.min_servers, math.ceil(needed / len(data_centres)))
    return dict.fromkeys(data_centres, min(each, scaling.max_servers))


def _served(
    fleet: Fleet, before: Plan, now: float
) -> dict[ids.DataCentreName, float]:
    kept = math.exp(-(now - before.at) / SERVED_DECAY_S)
    return {
        data_centre: max(
            fleet.reclaimable.get(data_centre, 0),
            kept * before.served.get(data_centre, 0),
        )
        for data_centre in {*fleet.reclaimable, *before.served}
    }


def _is_reclaimed(
    fleet: Fleet, served: Mapping[ids.DataCentreName, float]
) -> bool:
    """Whether most reclaimable servers of a data centre have left at once.

    Those that are still booting stay. Crashes take single servers, and
    roll-outs replace one after another.
    """
    return any(
        count >= MIN_RECLAIMED
        and fleet.reclaimable.get(data_centre, 0) <= RECLAIMED_SHARE * count
        for data_centre, count in served.items()
    )


def _on_demand_total(
    fleet: Fleet,
    present: int,
    in_shortage: int,
    at_risk: bool,
    before: Plan,
    now: float,
) -> tuple[int, float | None]:
    """Return the on-demand servers to have, and since when fewer would do."""
    serving = sum(fleet.reclaimable.values())
    # Servers are only released once another reclaim would do no harm, and
    # not in a shortage, where a new one takes its time to boot.
    after_reclaim = serving - max(fleet.reclaimable.values(), default=0)
    enough = max(0, in_shortage - after_reclaim)
    # Without a shortage reclaimable servers come as soon and cost less.
    if at_risk and present < enough:
        return int(RAISE_FACTOR * enough), None
    if (
        fleet.reclaimable_unavailable
        or not fleet.basis.is_over
        or not _is_worth_release(enough, present)
    ):
        return present, None
    since = now if before.lower_since is None else before.lower_since
    delay_s = RELEASE_DELAY_S if in_shortage else IDLE_RELEASE_DELAY_S
    if now - since < delay_s:
        return present, since
    return enough, None


def _is_worth_release(count: int, present: int) -> bool:
    return count < present and (
        not count or present - count >= MIN_RELEASE_SHARE * present
    )


def _place_on_demand(
    scaling: records.Scaling,
    occupied: Mapping[ids.DataCentreName, int],
    present: Mapping[ids.DataCentreName, int],
    total: int,
) -> dict[ids.DataCentreName, int]:
    """Place on-demand servers: cheapest first, not all in one data centre.

    Servers that are there stay, as a new one takes its time to boot.
    """
    by_price = sorted(
        scaling.price_by_data_centre,
        key=lambda data_centre: (
            scaling.price_by_data_centre[data_centre],
            data_centre,
        ),
    )
    counts = {
        data_centre: min(present.get(data_centre, 0), scaling.max_servers)
        for data_centre in scaling.price_by_data_centre
    }
    for data_centre in reversed(by_price):
        excess = max(0, sum(counts.values()) - total)
        counts[data_centre] -= min(excess, counts[data_centre])
    for limit in (
        math.ceil(MAX_ON_DEMAND_SHARE * total),
        scaling.max_servers,
    ):
        for data_centre in by_price:
            room = min(
                limit,
                scaling.max_servers - occupied.get(data_centre, 0),
            )
            missing = max(0, total - sum(counts.values()))
            counts[data_centre] += min(
                missing, max(0, room - counts[data_centre])
            )
    return counts


def _reclaimable(
    scaling: records.Scaling,
    demand: demand_.Demand,
    needed: int,
    in_shortage: int,
) -> dict[ids.DataCentreName, int]:
    """Return the reclaimable servers to have in each data centre."""
    data_centres = list(scaling.price_by_data_centre)
    share = MIN_RECLAIMABLE_SHARE if demand.known else UNKNOWN_DEMAND_SHARE
    least = max(
        scaling.min_servers,
        min(scaling.max_servers, MIN_RECLAIMABLE),
        math.ceil(share * scaling.max_servers),
    )
    # As many in each, so that the loss of any of them leaves the most.
    survivors = max(1, len(data_centres) - RECLAIMS_IN_A_ROW)
    even = max(least, math.ceil(in_shortage / survivors))
    # The rest follows the callers, whose requests stay in their data centre.
    rest = max(
        0,
        max(needed, math.ceil(JUMP * in_shortage)) - even * len(data_centres),
    )
    return {
        data_centre: min(
            scaling.max_servers,
            even
            + math.ceil(
                rest
                * (
                    demand.share(data_centre)
                    if demand.known
                    else 1 / len(data_centres)
                )
            ),
        )
        for data_centre in data_centres
    }


def _damped(
    scaling: records.Scaling,
    present: Mapping[ids.DataCentreName, int],
    fewer_since: float | None,
    counts: Mapping[ids.DataCentreName, int],
    must_keep: bool,
    now: float,
) -> tuple[dict[ids.DataCentreName, int], float | None]:
    """Return the counts without small or hasty reductions."""
    raised = _raised(scaling, counts, present)
    if must_keep or not _is_worth_release(
        sum(counts.values()), sum(raised.values())
    ):
        return raised, None
    since = now if fewer_since is None else fewer_since
    if now - since < RELEASE_DELAY_S:
        return raised, since
    return dict(counts), None
