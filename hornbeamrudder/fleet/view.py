"""Hosts and engines of a service as the planning functions expect them."""

from typing import Iterable, Mapping, Sequence

from ..backends import snapshot
from ..backends import state
from ..core import hosts
from ..core import ids
from ..core import types
from . import orders
from . import replace
from . import weights

DRAIN_SETTLE_S = 3.0
"""Nodes have stopped sending new work to a leaving host by then."""
UNREACHABLE_DRAIN_S = 900.0
"""A draining host that answers nothing for this long is stopped."""


def fleet_hosts(
    service: ids.ServiceName,
    cloud_hosts: Iterable[hosts.CloudHost],
    seen: snapshot.Snapshot,
    slots_by_offer: Mapping[hosts.OfferKey, int],
    draining_since: Mapping[ids.HostId, float],
    now: float,
) -> tuple[replace.FleetHost, ...]:
    """Combine the cloud's records with what the nodes see.

    A host that is announced leaving without a deadline, while the cloud
    runs it, is being drained; this way a new lease holder knows the drains
    of the former one.
    """
    return tuple(
        _fleet_host(host, seen, slots_by_offer, draining_since, now)
        for host in cloud_hosts
        if host.service == service
    )


def is_draining(
    host: hosts.CloudHost, seen: snapshot.Snapshot, now: float
) -> bool:
    """Whether the host was told to receive no new work."""
    record = seen.records_by_host.get(host.id)
    return (
        record is not None
        and host.phase is hosts.HostPhase.RUNNING
        and record.incarnation >= host.incarnation
        and record.announced
        and state.seconds_left(record, now) == float('inf')
    )


def _fleet_host(
    host: hosts.CloudHost,
    seen: snapshot.Snapshot,
    slots_by_offer: Mapping[hosts.OfferKey, int],
    draining_since: Mapping[ids.HostId, float],
    now: float,
) -> replace.FleetHost:
    workers = [
        worker
        for worker in seen.workers_by_id.values()
        if worker.host == host.id
    ]
    states = {seen.state_of(worker.id, now) for worker in workers}
    draining = is_draining(host, seen, now)
    ended = host.phase in (hosts.HostPhase.LEAVING, hosts.HostPhase.GONE)
    lost = types.HostState.GONE in states
    since = draining_since.get(host.id, now)
    return replace.FleetHost(
        host.id,
        host.offer,
        sum(worker.slots for worker in workers)
        or slots_by_offer.get(host.offer, 0),
        serving=types.HostState.LIVE in states,
        leaving=ended or (lost and not draining),
        draining=draining,
        idle=draining
        and (
            now - since >= UNREACHABLE_DRAIN_S
            if lost
            else all(
                _is_idle(seen, worker.id, since + DRAIN_SETTLE_S)
                for worker in workers
            )
        ),
    )


def _is_idle(
    seen: snapshot.Snapshot, worker: ids.WorkerId, after: float
) -> bool:
    load = seen.loads_by_worker[worker]
    report = load.report
    return (
        report.taken_at >= after
        and report.running == 0
        and report.waiting == 0
        and load.own_in_progress == 0
    )


def engines(
    observed: Mapping[ids.WorkerId, orders.Observed],
) -> tuple[weights.Engine, ...]:
    """Describe the observed engines for the plan of weight loads."""
    return tuple(
        weights.Engine(worker, item.target.model, item.present, item.loading)
        for worker, item in sorted(observed.items())
    )


def wanted_targets(
    plan: weights.Plan,
    observed: Mapping[ids.WorkerId, orders.Observed],
    target_by_model: Mapping[str, orders.Target],
) -> dict[ids.WorkerId, orders.Target]:
    """Targets of the engines that have their weights or may load them."""
    targets: dict[ids.WorkerId, orders.Target] = {}
    for worker, item in observed.items():
        model = plan.serve.get(worker, item.loading or item.target.model)
        if model not in target_by_model:
            continue
        loads = item.loading == model or worker in plan.load
        if loads or model in item.present:
            targets[worker] = target_by_model[model]
    return targets


def running_by_offer(
    fleet: Sequence[replace.FleetHost],
) -> dict[hosts.OfferKey, int]:
    """Count the hosts that serve now or soon, by offer."""
    counts: dict[hosts.OfferKey, int] = {}
    for host in fleet:
        if host.counts:
            counts[host.offer] = counts.get(host.offer, 0) + 1
    return counts
