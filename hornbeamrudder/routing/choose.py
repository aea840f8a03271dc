"""Worker selection for one request; pure functions.

Requests with a prompt prefix use consistent hashing with bounded loads; other
requests use the power of two choices.
"""

import dataclasses
import itertools
import random
from typing import AbstractSet, Iterable, Mapping, Sequence

from ..core import hashing
from ..core import ids
from ..core import types

# Load bound of a worker, relative to the mean load of the workers.
LOAD_FACTOR = 1.25
# Lower limit of the load bound. At low load a single request would exceed a
# bound relative to the mean and break prefix affinity.
MIN_LOAD_BOUND_TOKENS_PER_SLOT = 25.0
# Workers considered in ring order. A small number keeps a prefix that
# overflows its worker cached on few workers.
MAX_RING_CANDIDATES = 4
# A worker receives no new work for this long after a failure.
FAILURE_COOLDOWN_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class SentWork:
    """Work that this node sent to a worker, in expected tokens."""

    sent_at: float
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Load of one worker as known to this node.

    Attributes
    ----------
    share : int
        Slots of the worker that this node may use.
    in_flight : int
        Requests of this node in progress at the worker.
    reported_tokens : float
        Outstanding expected tokens at `reported_at`, in seconds of this
        node's clock.
    sent : tuple of SentWork
        Work of this node sent after `reported_at`.
    failed_at : float or None
        Time of the last failure attributed to the worker.
    """

    worker: ids.WorkerId
    slots: int
    share: int
    in_flight: int = 0
    reported_tokens: float = 0.0
    reported_at: float = 0.0
    sent: tuple[SentWork, ...] = ()
    state: types.HostState = types.HostState.LIVE
    failed_at: float | None = None

    @property
    def tokens_per_slot(self) -> float:
        """Outstanding expected tokens per slot."""
        outstanding = self.reported_tokens + sum(
            item.tokens for item in self.sent
        )
        return outstanding / max(1, self.slots)


def with_report(load: WorkerLoad, tokens: float, at: float) -> WorkerLoad:
    """Apply a load report; reports older than the last one are ignored.

    Parameters
    ----------
    at : float
        Time at which the report was taken, or a lower bound of it.
    """
    if at < load.reported_at:
        return load
    return dataclasses.replace(
        load,
        reported_tokens=tokens,
        reported_at=at,
        sent=tuple(item for item in load.sent if item.sent_at > at),
    )


def with_request_sent(
    load: WorkerLoad, tokens: float, now: float
) -> WorkerLoad:
    """Add a request that was sent to the worker."""
    return dataclasses.replace(
        load,
        in_flight=load.in_flight + 1,
        sent=load.sent + (SentWork(now, tokens),),
    )


def with_request_ended(load: WorkerLoad) -> WorkerLoad:
    """Remove a request that ended."""
    return dataclasses.replace(load, in_flight=load.in_flight - 1)


def with_failure(load: WorkerLoad, now: float) -> WorkerLoad:
    """Record a failure; the worker is unusable for `FAILURE_COOLDOWN_S`."""
    return dataclasses.replace(load, failed_at=now)


def recently_failed(load: WorkerLoad, now: float) -> bool:
    """Return whether the worker failed within `FAILURE_COOLDOWN_S`."""
    return (
        load.failed_at is not None
        and now < load.failed_at + FAILURE_COOLDOWN_S
    )


def usable(load: WorkerLoad, now: float) -> bool:
    """Return whether the worker is live and did not fail recently."""
    return load.state is types.HostState.LIVE and not recently_failed(
        load, now
    )


def usable_slots(loads: Iterable[WorkerLoad], now: float) -> int:
    """Calculate the capacity for `Controller.set_capacity`.

    Must be called after each change of the loads. Requests at workers that get
    no new work, or beyond a share that was lowered, also hold a slot of the
    controller and are therefore included. If every live worker failed
    recently, all of them are included, because only a new attempt shows that
    a worker has recovered.
    """
    loads = tuple(loads)
    healthy = {load.worker for load in loads if usable(load, now)} or {
        load.worker for load in loads if load.state is types.HostState.LIVE
    }
    return sum(
        max(load.share, load.in_flight)
        if load.worker in healthy
        else load.in_flight
        for load in loads
    )


def quiet_workers(
    service: ids.ServiceName, live: Iterable[ids.WorkerId], count: int
) -> frozenset[ids.WorkerId]:
    """Choose the quiet workers of a service; the same ones on every node."""
    order = hashing.rendezvous_order(f'quiet/{service}', live)
    return frozenset(ids.WorkerId(name) for name in order[:count])


def free_slots(
    loads_by_worker: Mapping[ids.WorkerId, WorkerLoad],
    workers: Iterable[ids.WorkerId],
    now: float,
) -> int:
    """Count the free slots of this node at the usable workers given."""
    loads = (loads_by_worker[worker] for worker in workers)
    return sum(
        max(0, load.share - load.in_flight)
        for load in loads
        if usable(load, now)
    )


def eligible_workers(
    loads_by_worker: Mapping[ids.WorkerId, WorkerLoad],
    quiet: frozenset[ids.WorkerId],
    may_use_quiet: bool,
    from_small_account: bool,
    excluded: AbstractSet[ids.WorkerId],
    now: float,
) -> tuple[Mapping[ids.WorkerId, WorkerLoad], AbstractSet[ids.WorkerId]]:
    """Restrict the workers of a request while there are quiet workers.

    Parameters
    ----------
    may_use_quiet : bool
        Whether the request may use quiet workers.
    from_small_account : bool
        Whether quiet workers are preferred for the request.

    Returns
    -------
    mapping, set of WorkerId
        Loads and excluded workers to pass to `choose`.
    """
    if not may_use_quiet:
        return loads_by_worker, excluded | quiet
    if (
        from_small_account
        and free_slots(loads_by_worker, quiet - excluded, now) > 0
    ):
        return {worker: loads_by_worker[worker] for worker in quiet}, excluded
    return loads_by_worker, excluded


def choose(
    loads_by_worker: Mapping[ids.WorkerId, WorkerLoad],
    ring_order: Iterable[ids.WorkerId],
    cached_blocks_by_worker: Mapping[ids.WorkerId, int],
    excluded: AbstractSet[ids.WorkerId],
    now: float,
    rng: random.Random,
    may_exceed_share: bool = False,
) -> ids.WorkerId | None:
    """Choose a worker.

    Parameters
    ----------
    ring_order : iterable of WorkerId
        Workers in ring order of the prefix; empty for requests without one.
    cached_blocks_by_worker : mapping
        Leading prompt blocks in the cache of a worker, as far as known.
    excluded : set of WorkerId
        Workers that the request must not use, such as those it tried before.
    may_exceed_share : bool
        Whether the share of a worker may be exceeded if this node has no free
        slot. It may in any case if `excluded` is not empty (a retry).

    Returns
    -------
    WorkerId or None
        None if no worker is live, or this node has no free slot at any and
        must not exceed its shares.
    """
    live = [
        load
        for load in loads_by_worker.values()
        if load.state is types.HostState.LIVE and load.worker not in excluded
    ]
    healthy = [load for load in live if not recently_failed(load, now)] or live
    free = {
        load.worker: load for load in healthy if load.in_flight < load.share
    }
    if not free and (excluded or may_exceed_share):
        # The free slots may be at workers that the request has tried, or the
        # shares may have fallen since the request was given a slot.
        free = {load.worker: load for load in healthy}
    if not free:
        return None
    mean = sum(load.tokens_per_slot for load in healthy) / len(healthy)
    bound = max(LOAD_FACTOR * mean, MIN_LOAD_BOUND_TOKENS_PER_SLOT)
    within_bound = {
        worker: load
        for worker, load in free.items()
        if load.tokens_per_slot <= bound
    } or free
    # Iterates lazily, because the full ring order contains every worker.
    ring_candidates = list(
        itertools.islice(
            (
                within_bound[worker]
                for worker in ring_order
                if worker in within_bound
            ),
            MAX_RING_CANDIDATES,
        )
    )
    if not ring_candidates:
        return _less_loaded_of_two(list(within_bound.values()), rng)
    cached = [
        load
        for load in ring_candidates
        if cached_blocks_by_worker.get(load.worker, 0) > 0
    ]
    if cached:
        return _less_loaded_of_two(cached, rng)
    return ring_candidates[0].worker


def _less_loaded_of_two(
    loads: Sequence[WorkerLoad], rng: random.Random
) -> ids.WorkerId:
    pair = rng.sample(loads, min(2, len(loads)))
    return min(pair, key=lambda load: load.tokens_per_slot).worker
