"""Runs the plan of a fleet in virtual time against a fake cloud API."""

import dataclasses

from hornbeamrudder.core import ids
from hornbeamrudder.gateway import demand as demand_
from hornbeamrudder.gateway import fleet_plan
from hornbeamrudder.gateway import records
from hornbeamrudder.gateway import server_need

STEP_S = 0.1
SERVICE = ids.ServiceName('s')
DATA_CENTRES = tuple(map(ids.DataCentreName, 'abcd'))
SCALING = records.Scaling(
    1, 15, 4.0, 0.18, dict(zip(DATA_CENTRES, (1.0, 0.8, 1.25, 0.9)))
)
PROMPT_TOKENS = 4000.0
TOKENS_PER_MS = 80.0
REFUSAL_PAUSE_S = 0.5


@dataclasses.dataclass(eq=False)
class Server:
    """A server that was ordered."""

    pool: fleet_plan.ServerPool
    ready_at: float


@dataclasses.dataclass(frozen=True)
class Moment:
    """State at one time.

    Attributes
    ----------
    needed : int
        Servers that carry the present urgent demand.
    """

    at: float
    serving: int
    on_demand: int
    needed: int
    needed_in_calm: int


class FleetRun:
    """The holder of the duties, and the servers that it orders.

    Attributes
    ----------
    releases : list
        Time, pool and number of the servers that an order has released.
    """

    def __init__(self, slots=32, slowness=1.0, rate_per_s=160.0):
        self.capacity = server_need.Capacity(
            slots, TOKENS_PER_MS, 0.4, slowness
        )
        self.rate_by_data_centre = {
            data_centre: rate_per_s / len(DATA_CENTRES)
            for data_centre in DATA_CENTRES
        }
        self.now = 0.0
        self.moments = []
        self.calls = []
        self.releases = []
        self.cost = 0.0
        self.dry_until = float('-inf')
        self._servers = []
        self._demand = demand_.Demand()
        self.start_holder()

    def start_holder(self):
        """Let another node take the duties."""
        self._plan = fleet_plan.Plan()
        self._ordered = {}
        self._retry_at = {}
        self._refused_at = float('-inf')
        self._demand = demand_.Demand()

    def run(self, seconds):
        """Let the time pass."""
        for _ in range(round(seconds / STEP_S)):
            self._step()
        return self

    def reclaim(self, data_centre, dry_s):
        """Take all reclaimable servers of a data centre away."""
        self._servers = [
            server
            for server in self._servers
            if not server.pool.reclaimable
            or server.pool.data_centre != data_centre
        ]
        self.dry_until = max(self.dry_until, self.now + dry_s)

    def since(self, start, until=float('inf')):
        """Return the moments from `start` on."""
        return [
            moment for moment in self.moments if start <= moment.at < until
        ]

    def calls_since(self, start):
        """Return time, pool, count and whether each call was accepted."""
        return [call for call in self.calls if call[0] >= start]

    def reclaimable_counts(self):
        """Return the counts of the plan by data centre."""
        return dict(self._plan.reclaimable)

    def _observed(self, demand, now):
        rates = {
            data_centre: demand_.Rates(
                rate, rate * PROMPT_TOKENS, rate * PROMPT_TOKENS**2
            )
            for data_centre, rate in self.rate_by_data_centre.items()
        }
        # Each request runs for a second.
        running = sum(self.rate_by_data_centre.values())
        return demand_.observe(demand, rates, running, SCALING.boot_s, now)

    def _step(self):
        self.now += STEP_S
        self._demand = self._observed(self._demand, self.now)
        serving = [
            server for server in self._servers if server.ready_at <= self.now
        ]
        counts = {True: {}, False: {}}
        for server in serving:
            kind = counts[server.pool.reclaimable]
            data_centre = server.pool.data_centre
            kind[data_centre] = kind.get(data_centre, 0) + 1
        for pool, count in self._targets(counts).items():
            self._order(pool, count)
        present = self._observed(demand_.Demand(), self.now)
        self.moments.append(
            Moment(
                self.now,
                len(serving),
                sum(counts[False].values()),
                server_need.needed_in_shortage(present, self.capacity),
                server_need.needed_in_calm(present, self.capacity),
            )
        )
        self.cost += STEP_S * sum(
            SCALING.price_by_data_centre[server.pool.data_centre]
            * (SCALING.reclaimable_price if server.pool.reclaimable else 1.0)
            for server in self._servers
        )

    def _targets(self, counts):
        self._plan = fleet_plan.next_plan(
            SCALING,
            self._demand,
            self.capacity,
            fleet_plan.Fleet(
                counts[True], counts[False], self.now - self._refused_at < 3.0
            ),
            self._plan,
            self.now,
        )
        return fleet_plan.counts_by_pool(SERVICE, self._plan)

    def _order(self, pool, count):
        have = [server for server in self._servers if server.pool == pool]
        serving = sum(server.ready_at <= self.now for server in have)
        ordered = self._ordered.get(pool)
        if ordered is not None:
            self._ordered[pool] = ordered.seen(serving)
            if not ordered.is_due(count, serving, self.now):
                return
        if self.now < self._retry_at.get(pool, 0.0) or (
            pool.reclaimable and self.now - self._refused_at < REFUSAL_PAUSE_S
        ):
            return
        accepted = (
            not pool.reclaimable
            or self.now >= self.dry_until
            or count <= len(have)
        )
        self.calls.append((self.now, pool, count, accepted))
        if not accepted:
            self._refused_at = self.now
            self._retry_at[pool] = self.now + 1.5
            return
        self._ordered[pool] = fleet_plan.Order(count, self.now, serving)
        other = dataclasses.replace(pool, reclaimable=not pool.reclaimable)
        room = SCALING.max_servers - sum(
            server.pool == other for server in self._servers
        )
        if have[count:]:
            self.releases.append((self.now, pool, len(have[count:])))
        for server in have[count:]:
            self._servers.remove(server)
        self._servers += [
            Server(pool, self.now + SCALING.boot_s)
            for _ in range(min(count, room) - len(have))
        ]
