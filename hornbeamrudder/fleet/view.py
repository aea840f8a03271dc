"""Builds the planner's input from cloud records and backend state."""

from typing import Iterable, Mapping, Sequence

from ..backends import snapshot
from ..backends import state
from ..core import hosts
from ..core import ids
from ..core import types
from . import orders
from . import reconcile
from . import weights

DRAIN_SETTLE_S = 3.0
"""Time until all nodes have stopped sending new work to a leaving host."""
UNREACHABLE_DRAIN_TIMEOUT_S = 900.0
"""Time after which a draining host that does not respond is stopped."""


def fleet_hosts(
    service: ids.ServiceName,
    cloud_hosts: Iterable[hosts.CloudHost],
    backends: snapshot.Snapshot,
    slots_by_offer: Mapping[hosts.OfferKey, int],
    draining_since: Mapping[ids.HostId, float],
    now: float,
) -> tuple[reconcile.FleetHost, ...]:
    """Merge the records of the cloud API with the state seen by the nodes.

    A host that is announced as leaving without a deadline while the cloud
    API reports it as running is draining. A new lease holder recognises the
    drains of its predecessor in this way.
    """
    return tuple(
        _fleet_host(host, backends, slots_by_offer, draining_since, now)
        for host in cloud_hosts
        if host.service == service
    )


def is_draining(
    host: hosts.CloudHost, backends: snapshot.Snapshot, now: float
) -> bool:
    """Return whether the host has been told to accept no new work."""
    record = backends.records_by_host.get(host.id)
    return (
        record is not None
        and host.phase is hosts.HostPhase.RUNNING
        and record.incarnation >= host.incarnation
        and record.leaving_announced
        and state.seconds_left(record, now) == float('inf')
    )


def _fleet_host(
    host: hosts.CloudHost,
    backends: snapshot.Snapshot,
    slots_by_offer: Mapping[hosts.OfferKey, int],
    draining_since: Mapping[ids.HostId, float],
    now: float,
) -> reconcile.FleetHost:
    workers = [
        worker
        for worker in backends.workers_by_id.values()
        if worker.host == host.id
    ]
    host_states = {backends.state_of(worker.id, now) for worker in workers}
    draining = is_draining(host, backends, now)
    leaving = host.phase in (hosts.HostPhase.LEAVING, hosts.HostPhase.GONE)
    is_gone = types.HostState.GONE in host_states
    drained_at = draining_since.get(host.id, now)
    return reconcile.FleetHost(
        host.id,
        host.offer,
        sum(worker.slots for worker in workers)
        or slots_by_offer.get(host.offer, 0),
        serving=types.HostState.LIVE in host_states,
        leaving=leaving or (is_gone and not draining),
        draining=draining,
        idle=draining
        and (
            now - drained_at >= UNREACHABLE_DRAIN_TIMEOUT_S
            if is_gone
            else all(
                _is_idle(backends, worker.id, drained_at + DRAIN_SETTLE_S)
                for worker in workers
            )
        ),
    )


def _is_idle(
    backends: snapshot.Snapshot, worker: ids.WorkerId, after: float
) -> bool:
    load = backends.loads_by_worker[worker]
    report = load.report
    return (
        report.sampled_at >= after
        and report.running == 0
        and report.waiting == 0
        and load.local_in_progress == 0
    )


def engines(
    observed: Mapping[ids.WorkerId, orders.ObservedState],
) -> tuple[weights.Engine, ...]:
    """Convert observed engine states to input of the weight load planner."""
    return tuple(
        weights.Engine(
            worker,
            observed_state.target.model,
            observed_state.present,
            observed_state.loading,
        )
        for worker, observed_state in sorted(observed.items())
    )


def desired_targets(
    plan: weights.Plan,
    observed: Mapping[ids.WorkerId, orders.ObservedState],
    target_by_model: Mapping[str, orders.Target],
) -> dict[ids.WorkerId, orders.Target]:
    """Return targets of engines that have the weights or may load them."""
    targets: dict[ids.WorkerId, orders.Target] = {}
    for worker, observed_state in observed.items():
        model = plan.serve.get(
            worker, observed_state.loading or observed_state.target.model
        )
        if model not in target_by_model:
            continue
        may_load = observed_state.loading == model or worker in plan.load
        if may_load or model in observed_state.present:
            targets[worker] = target_by_model[model]
    return targets


def running_by_offer(
    fleet: Sequence[reconcile.FleetHost],
) -> dict[hosts.OfferKey, int]:
    """Count the hosts that serve or will serve, by offer."""
    counts: dict[hosts.OfferKey, int] = {}
    for host in fleet:
        if host.counts_as_capacity:
            counts[host.offer] = counts.get(host.offer, 0) + 1
    return counts
