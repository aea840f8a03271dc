"""Numbers of backend servers that the holder of the duties orders."""

import collections
from typing import Iterable, Mapping

from ..core import ids
from . import demand as demand_
from . import fleet_plan
from . import node_state
from . import records
from . import server_need
from . import server_registry
from . import service_load

# Reclaimable servers count as unavailable for this long after a refused order.
RECLAIMABLE_SHORTAGE_S = 3.0
# Pause after a refused order before reclaimable servers are ordered in any
# data centre; the one that refused is asked again later than the others.
REFUSAL_PAUSE_S = 0.5


class FleetOrders:
    """Demand, fleet and plan of each service with scaling.

    What serves and what arrives is seen by each node, so that a node that
    becomes responsible goes on from there; nothing is stored.
    """

    def __init__(self, state: node_state.NodeState) -> None:
        self._state = state
        self._demand_by_service: dict[ids.ServiceName, demand_.Demand] = {}
        self._plan_by_service: dict[ids.ServiceName, fleet_plan.Plan] = {}
        self._refused_at: dict[ids.ServiceName, float] = {}

    def start_anew(self) -> None:
        """Forget the plans of an earlier term."""
        self._plan_by_service.clear()

    def record_refusal(self, service: ids.ServiceName, now: float) -> None:
        """Record that no reclaimable server could be ordered."""
        self._refused_at[service] = now

    def record_availability(self, service: ids.ServiceName) -> None:
        """Record that reclaimable servers can be ordered again."""
        self._refused_at.pop(service, None)

    def must_pause(self, service: ids.ServiceName, now: float) -> bool:
        """Whether an order of reclaimable servers was refused just now."""
        return (
            now - self._refused_at.get(service, float('-inf'))
            < REFUSAL_PAUSE_S
        )

    def target_counts(
        self, service: records.BackendService, now: float
    ) -> Mapping[fleet_plan.ServerPool, int]:
        """Return the number of servers to have in each pool."""
        scaling = service.scaling
        if scaling is None or not scaling.price_by_data_centre:
            return {}
        demand = self._observe(service, scaling, now)
        fleet = self._fleet(service, now)
        capacity = self._capacity(service, demand, now)
        before = self._plan_by_service.get(service.name, fleet_plan.Plan())
        plan = fleet_plan.next_plan(
            scaling, demand, capacity, fleet, before, now
        )
        self._plan_by_service[service.name] = plan
        if (plan.reclaimable, plan.on_demand) != (
            before.reclaimable,
            before.on_demand,
        ):
            self._log(service, demand, capacity, fleet, plan)
            self._measure(service.name, plan)
        return fleet_plan.counts_by_pool(service.name, plan)

    def serving(self, pool: fleet_plan.ServerPool) -> int:
        """Return the usable servers of a pool that no roll-out ends."""
        _, lasts = self._state.rollouts.lasting(pool.service)
        return sum(
            1
            for record in self._state.servers.of_service(pool.service)
            if record.usable
            and lasts(record)
            and record.entry.data_centre == pool.data_centre
            and record.entry.reclaimable == pool.reclaimable
        )

    def _observe(
        self,
        service: records.BackendService,
        scaling: records.Scaling,
        now: float,
    ) -> demand_.Demand:
        state = self._state
        running = sum(
            record.running + record.peer_running
            for record in state.servers.of_service(service.name)
        )
        waiting = len(state.queue_by_service[service.name])
        demand = demand_.observe(
            self._demand_by_service.get(service.name, demand_.Demand()),
            demand_.rates_by_data_centre(
                state.sums.total(demand_.TOPIC),
                service.name,
                scaling.price_by_data_centre,
            ),
            float(running + waiting + state.peers.waiting(service.name)),
            scaling.boot_s,
            now,
        )
        self._demand_by_service[service.name] = demand
        return demand

    def _capacity(
        self,
        service: records.BackendService,
        demand: demand_.Demand,
        now: float,
    ) -> server_need.Capacity:
        state = self._state
        _, lasts = state.rollouts.lasting(service.name)
        usable = [
            record
            for record in state.servers.of_service(service.name)
            if record.usable and lasts(record)
        ]
        configuration = state.configuration
        assert configuration is not None
        urgency = configuration.urgency_by_service.get(
            service.name, records.Urgency()
        )
        return server_need.Capacity(
            service.engine.slots
            if service.engine
            else max((record.entry.slots for record in usable), default=1),
            (demand.tokens_per_ms or service_load.INITIAL_TOKENS_PER_MS)
            if service.engine
            else 0.0,
            urgency.target_s,
            sum(record.slowness(now) for record in usable) / len(usable)
            if usable
            else 1.0,
        )

    def _fleet(
        self, service: records.BackendService, now: float
    ) -> fleet_plan.Fleet:
        counts: dict[bool, collections.Counter[ids.DataCentreName]] = {
            True: collections.Counter(),
            False: collections.Counter(),
        }
        basis, lasts = self._state.rollouts.lasting(service.name)
        for record in _serving(
            filter(lasts, self._state.servers.of_service(service.name))
        ):
            counts[record.entry.reclaimable][record.entry.data_centre] += 1
        refused_at = self._refused_at.get(service.name, float('-inf'))
        return fleet_plan.Fleet(
            counts[True],
            counts[False],
            now - refused_at < RECLAIMABLE_SHORTAGE_S,
            basis,
        )

    def _measure(
        self, service: ids.ServiceName, plan: fleet_plan.Plan
    ) -> None:
        metrics = self._state.metrics
        for price, counts in (
            ('reclaimable', plan.reclaimable),
            ('on demand', plan.on_demand),
        ):
            for data_centre, count in counts.items():
                metrics.planned_servers.set(
                    {
                        'service': service,
                        'data_centre': data_centre,
                        'price': price,
                    },
                    count,
                )
        for situation, needed in (
            ('calm', plan.needed),
            ('shortage', plan.in_shortage),
        ):
            metrics.needed_servers.set(
                {'service': service, 'in': situation}, needed
            )

    def _log(
        self,
        service: records.BackendService,
        demand: demand_.Demand,
        capacity: server_need.Capacity,
        fleet: fleet_plan.Fleet,
        plan: fleet_plan.Plan,
    ) -> None:
        self._state.log.info(
            'fleet is planned',
            service=service.name,
            reclaimable=dict(plan.reclaimable),
            on_demand=dict(plan.on_demand),
            needed=plan.needed,
            needed_in_shortage=plan.in_shortage,
            serving_reclaimable=dict(fleet.reclaimable),
            serving_on_demand=dict(fleet.on_demand),
            unavailable=fleet.reclaimable_unavailable,
            running=round(demand.running),
            arrivals={
                data_centre: {
                    'requests': round(level.fast.requests, 1),
                    'peak': round(level.peak.requests, 1),
                    'steady_peak': round(level.steady_peak.requests, 1),
                    'tokens': round(level.steady_peak.tokens),
                    'token_squares': round(level.steady_peak.token_squares),
                }
                for data_centre, level in demand.level_by_data_centre.items()
            },
            tokens_per_ms=round(capacity.tokens_per_ms, 1),
            slowness=round(capacity.slowness, 2),
        )


def _serving(
    records_: Iterable[server_registry.ServerRecord],
) -> list[server_registry.ServerRecord]:
    """Return the servers that serve.

    An entry that lapses while the store is unstable is that of a server that
    is gone or, if most lapse, the fault of the store.
    """
    usable = [record for record in records_ if record.usable]
    present = [record for record in usable if record.missing_since is None]
    return present if 2 * len(present) >= len(usable) else usable
