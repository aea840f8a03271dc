"""Pure choice of a worker for one request."""

import dataclasses
import itertools
import random
from typing import AbstractSet, Iterable, Mapping, Sequence

from ..core import hashing
from ..core import ids
from ..core import types

LOAD_FACTOR = 1.25
# A worker with this much outstanding work for each slot is never too loaded
# to keep a prefix: at low load one request would exceed the mean.
MIN_BOUND_TOKENS = 25.0
# Workers after the first in ring order between which two random choices are
# made; few, so that an overflowing prefix is cached on few workers.
RING_WINDOW = 4
AVOID_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """Own work sent to a worker, in expected tokens."""

    at: float
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLoad:
    """One worker as this node sees it.

    Attributes
    ----------
    share : int
        Slots of the worker that this node may use.
    in_flight : int
        Own requests at the worker.
    reported_tokens : float
        Outstanding expected tokens at `reported_at` (seconds, own clock).
    sent : tuple of Sent
        Own work sent after `reported_at`.
    failed_at : float or None
        Time of the last failure that speaks against the worker.
    """

    worker: ids.WorkerId
    slots: int
    share: int
    in_flight: int = 0
    reported_tokens: float = 0.0
    reported_at: float = 0.0
    sent: tuple[Sent, ...] = ()
    state: types.HostState = types.HostState.LIVE
    failed_at: float | None = None

    @property
    def score(self) -> float:
        """Outstanding expected tokens for each slot."""
        outstanding = self.reported_tokens + sum(
            item.tokens for item in self.sent
        )
        return outstanding / max(1, self.slots)


def with_report(load: WorkerLoad, tokens: float, at: float) -> WorkerLoad:
    """Include a load report; an older one than the last is ignored.

    Parameters
    ----------
    at : float
        Time for which the report holds, or a lower bound of it.
    """
    if at < load.reported_at:
        return load
    return dataclasses.replace(
        load,
        reported_tokens=tokens,
        reported_at=at,
        sent=tuple(item for item in load.sent if item.at > at),
    )


def with_sent(load: WorkerLoad, tokens: float, now: float) -> WorkerLoad:
    """Count a request sent to the worker."""
    return dataclasses.replace(
        load,
        in_flight=load.in_flight + 1,
        sent=load.sent + (Sent(now, tokens),),
    )


def with_answer(load: WorkerLoad) -> WorkerLoad:
    """Count the end of a request."""
    return dataclasses.replace(load, in_flight=load.in_flight - 1)


def with_failure(load: WorkerLoad, now: float) -> WorkerLoad:
    """Avoid the worker for `AVOID_S`."""
    return dataclasses.replace(load, failed_at=now)


def avoided(load: WorkerLoad, now: float) -> bool:
    """Whether the worker failed recently."""
    return load.failed_at is not None and now < load.failed_at + AVOID_S


def usable(load: WorkerLoad, now: float) -> bool:
    """Whether new work may be sent to the worker."""
    return load.state is types.HostState.LIVE and not avoided(load, now)


def usable_slots(loads: Iterable[WorkerLoad], now: float) -> int:
    """Slots for `Controller.set_capacity`, after each change of the loads.

    Own requests at workers that get no new work, or beyond a share that was
    lowered, hold a slot of the controller too and are therefore added. Where
    every live worker failed recently, all of them count, because a new
    attempt is the only way to learn that one works again.
    """
    loads = tuple(loads)
    working = {load.worker for load in loads if usable(load, now)} or {
        load.worker for load in loads if load.state is types.HostState.LIVE
    }
    return sum(
        max(load.share, load.in_flight)
        if load.worker in working
        else load.in_flight
        for load in loads
    )


def quiet_workers(
    service: ids.ServiceName, live: Iterable[ids.WorkerId], count: int
) -> frozenset[ids.WorkerId]:
    """Choose the quiet workers of a service, alike on every node."""
    order = hashing.rendezvous_order(f'quiet/{service}', live)
    return frozenset(ids.WorkerId(name) for name in order[:count])


def free_slots(
    loads_by_worker: Mapping[ids.WorkerId, WorkerLoad],
    workers: Iterable[ids.WorkerId],
    now: float,
) -> int:
    """Free slots of this node at the usable ones of some workers."""
    loads = (loads_by_worker[worker] for worker in workers)
    return sum(
        max(0, load.share - load.in_flight)
        for load in loads
        if usable(load, now)
    )


def open_to(
    loads_by_worker: Mapping[ids.WorkerId, WorkerLoad],
    quiet: frozenset[ids.WorkerId],
    may_use: bool,
    small: bool,
    excluded: AbstractSet[ids.WorkerId],
    now: float,
) -> tuple[Mapping[ids.WorkerId, WorkerLoad], AbstractSet[ids.WorkerId]]:
    """Limit the workers of a request while quiet workers are in force.

    Parameters
    ----------
    may_use, small : bool
        Whether the request may use quiet workers, and whether it is one of
        those for which they are kept.

    Returns
    -------
    mapping, set of WorkerId
        Loads and excluded workers to pass to `choose`.
    """
    if not may_use:
        return loads_by_worker, excluded | quiet
    if small and free_slots(loads_by_worker, quiet - excluded, now) > 0:
        return {worker: loads_by_worker[worker] for worker in quiet}, excluded
    return loads_by_worker, excluded


def choose(
    loads_by_worker: Mapping[ids.WorkerId, WorkerLoad],
    ring_order: Iterable[ids.WorkerId],
    cached_blocks_by_worker: Mapping[ids.WorkerId, int],
    excluded: AbstractSet[ids.WorkerId],
    now: float,
    rng: random.Random,
) -> ids.WorkerId | None:
    """Choose a worker.

    Parameters
    ----------
    ring_order : iterable of WorkerId
        Order of preference by prefix; empty for requests without prefix.
    cached_blocks_by_worker : mapping
        Leading prompt blocks that a worker is believed to hold.
    excluded : set of WorkerId
        Workers already tried by this request.

    Returns
    -------
    WorkerId or None
        None where no live worker has a free slot of this node's share. A
        retry may exceed the share of a worker that was not tried.
    """
    live = [
        load
        for load in loads_by_worker.values()
        if load.state is types.HostState.LIVE and load.worker not in excluded
    ]
    working = [load for load in live if not avoided(load, now)] or live
    free = {
        load.worker: load for load in working if load.in_flight < load.share
    }
    if not free and excluded:
        # The free slots of this node may all be at workers that were tried.
        free = {load.worker: load for load in working}
    if not free:
        return None
    mean = sum(load.score for load in working) / len(working)
    bound = max(LOAD_FACTOR * mean, MIN_BOUND_TOKENS)
    within = {
        worker: load for worker, load in free.items() if load.score <= bound
    } or free
    # The rest of the ring is not walked: it has an entry for each worker.
    window = list(
        itertools.islice(
            (within[worker] for worker in ring_order if worker in within),
            RING_WINDOW,
        )
    )
    if not window:
        return _two_choices(list(within.values()), rng)
    cached = [
        load
        for load in window
        if cached_blocks_by_worker.get(load.worker, 0) > 0
    ]
    if cached:
        return _two_choices(cached, rng)
    return window[0].worker


def _two_choices(
    loads: Sequence[WorkerLoad], rng: random.Random
) -> ids.WorkerId:
    pair = rng.sample(loads, min(2, len(loads)))
    return min(pair, key=lambda load: load.score).worker
