"""Admission state of one service on one node, and its transitions."""

import collections
import dataclasses
import math
from typing import AbstractSet
from typing import Mapping

from ..core import errors
from ..core import ids
from ..core import types
from . import deadline
from . import expect
from . import isolation
from . import queue as queues

# A request with a short deadline may still wait for this part of its spare
# time, or it would only be served by an idle slot.
LEAST_WAITING_PART = 0.5
# Some of the served work ends late, so a rank is served a little more than
# its floor for its answers in time to reach the floor.
FLOOR_HEADROOM = 1.1
# A rank counts as overloaded for this long after a refusal.
OVERLOAD_S = 5.0
# The rules allow floors that add up to 1; a queue needs a remainder for the
# most urgent waiting rank.
MOST_SERVED_FLOORS = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceState:
    """Queue and slots of one service.

    Attributes
    ----------
    capacity : int
        Slots that this node may use, the sum of its shares of the workers.
    quiet_free : int
        Free slots of this node at quiet workers.
    in_use_by_caller : mapping
        Slots granted; above `capacity` for a while after it was lowered.
    tokens_average, seconds_average : float
        Averages of the tokens and of the slot time of a request. Their ratio
        is the throughput of a slot; an average of the rates of requests
        would be higher.
    """

    queue: queues.Queue
    capacity: int = 0
    quiet_free: int = 0
    in_use_by_caller: Mapping[tuple[ids.AccountId, types.Rank], int] = (
        dataclasses.field(default_factory=dict)
    )
    tokens_average: float = expect.DEFAULT_TOKENS_PER_SLOT_S
    seconds_average: float = 1.0
    stretch_by_rank: tuple[expect.Stretch, ...] = (expect.Stretch(),) * len(
        types.Rank
    )
    refused_at_by_rank: tuple[float, ...] = (-math.inf,) * len(types.Rank)
    early_rejection: bool = True

    @property
    def tokens_per_slot_s(self) -> float:
        """Throughput of one slot, in tokens per second."""
        return self.tokens_average / self.seconds_average

    @property
    def in_use(self) -> int:
        """Slots granted to all accounts."""
        return sum(self.in_use_by_caller.values())

    @property
    def small_accounts(self) -> frozenset[ids.AccountId] | None:
        """Accounts that may use quiet workers; None without contention."""
        return isolation.small_accounts(self._demand_by_account, self.capacity)

    @property
    def small_demand(self) -> int:
        """Slots that small accounts could use now."""
        demand_by_account = self._demand_by_account
        return sum(
            demand_by_account[account] for account in self.small_accounts or ()
        )

    @property
    def _demand_by_account(self) -> Mapping[ids.AccountId, int]:
        demand: collections.Counter[ids.AccountId] = collections.Counter()
        for (account, _), in_use in self.in_use_by_caller.items():
            demand[account] += in_use
        for rank in self.queue.ranks:
            for account, flow in rank.flows_by_account.items():
                demand[account] += len(flow.entries)
        return +demand

    @property
    def demand(self) -> int:
        """Slots that the node could use now, in use and waiting."""
        return self.in_use + self.queue.length


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """An entry that leaves the queue without a slot."""

    entry: queues.Entry
    failure: errors.Failure


def new_service(
    floors: tuple[float, ...] = queues.DEFAULT_FLOORS,
    length_limit: int = queues.DEFAULT_LENGTH_LIMIT,
) -> ServiceState:
    """Make the state of a service without capacity.

    Parameters
    ----------
    floors : tuple of float, shape (ranks,)
        Shares of the answers in time that are kept for each rank.
    """
    return ServiceState(queues.new_queue(_served(floors), length_limit))


def with_floors(
    state: ServiceState, floors: tuple[float, ...]
) -> ServiceState:
    """Change the floors of a service; its waiting requests stay."""
    return dataclasses.replace(
        state, queue=queues.with_floors(state.queue, _served(floors))
    )


def _served(floors: tuple[float, ...]) -> tuple[float, ...]:
    total = sum(floors)
    headroom = (
        min(FLOOR_HEADROOM, MOST_SERVED_FLOORS / total) if total else 1.0
    )
    return tuple(floor * headroom for floor in floors)


def new_entry(
    state: ServiceState,
    key: int,
    rank: types.Rank,
    account: ids.AccountId,
    expected_tokens: float,
    deadline_at: float,
    now: float,
    weight: float = 1.0,
) -> queues.Entry:
    """Make the entry of a request with a deadline.

    Under lasting overload every request waits as long as it may. Admission
    therefore keeps a margin for long answers. In a burst, a request that
    was admitted may use this margin for its wait.
    """
    stretch = state.stretch_by_rank[rank]
    duration_s = expected_tokens / state.tokens_per_slot_s
    latest_start = deadline_at
    cautious_start = deadline_at
    if state.early_rejection:
        latest_start -= duration_s * stretch.mean
        margin_s = duration_s * stretch.deviation * expect.ADMISSION_DEVIATIONS
        cautious_start = max(
            latest_start - margin_s,
            now + (latest_start - now) * LEAST_WAITING_PART,
        )
    return queues.Entry(
        key,
        rank,
        account,
        expected_tokens,
        latest_start,
        min(cautious_start, latest_start),
        weight,
    )


def offer(
    state: ServiceState, entry: queues.Entry, now: float
) -> tuple[ServiceState, Refused | None]:
    """Queue an entry, or refuse one entry (possibly another)."""
    if state.early_rejection:
        if entry.latest_start <= now:
            # Refused requests yield no observations; without this, a few
            # slow answers could keep a rank with short deadlines out.
            state = _with_ratio(state, entry.rank, 1.0)
        failure = deadline.assess(
            state.queue,
            entry,
            now,
            state.capacity - state.in_use,
            state.capacity * state.tokens_per_slot_s,
            _overloaded(state, now),
        )
        if failure is not None:
            refused_at = list(state.refused_at_by_rank)
            refused_at[entry.rank] = now
            state = dataclasses.replace(
                state, refused_at_by_rank=tuple(refused_at)
            )
            return state, Refused(entry, failure)
    queue, dropped = queues.enqueue(state.queue, entry)
    state = dataclasses.replace(state, queue=queue)
    if dropped is None:
        return state, None
    return state, Refused(dropped, deadline.refusal('the queue is full', 0.0))


def grant(
    state: ServiceState, now: float, most: int | None = None
) -> tuple[ServiceState, tuple[queues.Entry, ...], tuple[Refused, ...]]:
    """Expire entries and give the free slots to waiting entries.

    Parameters
    ----------
    most : int or None
        Largest number of grants; 1 where `quiet_free` has to be known
        before each of them.

    Returns
    -------
    ServiceState, tuple of Entry, tuple of Refused
        The new state, the entries that have a slot now, the expired ones.
    """
    queue, expired = queues.expire(state.queue, now, _overloaded(state, now))
    refused = tuple(
        Refused(
            entry,
            deadline.refusal(
                'the deadline cannot be met any more',
                0.0,
                errors.FailureKind.DEADLINE,
            ),
        )
        for entry in expired
    )
    granted: list[queues.Entry] = []
    in_use = collections.Counter(state.in_use_by_caller)
    small = state.small_accounts if state.quiet_free else None
    while len(granted) != most and in_use.total() < state.capacity:
        # The free slots that are left are all at quiet workers.
        free = state.capacity - in_use.total()
        only = small if free <= state.quiet_free else None
        queue, entry = queues.pop(queue, only)
        if entry is None:
            break
        granted.append(entry)
        in_use[entry.account, entry.rank] += 1
    state = dataclasses.replace(state, queue=queue, in_use_by_caller=in_use)
    return state, tuple(granted), refused


def release(
    state: ServiceState,
    entry: queues.Entry,
    used_tokens: float,
    held_s: float,
    completed: bool,
) -> ServiceState:
    """Return the slot of an entry and correct its charge.

    Parameters
    ----------
    completed : bool
        Whether the answer was complete; others say nothing about durations.
    """
    if completed and used_tokens > 0 and held_s > 0:
        ratio = held_s * state.tokens_per_slot_s / entry.expected_tokens
        state = dataclasses.replace(
            _with_ratio(state, entry.rank, ratio),
            tokens_average=expect.moved_average(
                state.tokens_average, used_tokens
            ),
            seconds_average=expect.moved_average(
                state.seconds_average, held_s
            ),
        )
    in_use = collections.Counter(state.in_use_by_caller)
    in_use[entry.account, entry.rank] -= 1
    return dataclasses.replace(
        state,
        queue=queues.settle(state.queue, entry, used_tokens),
        in_use_by_caller=+in_use,
    )


def _overloaded(state: ServiceState, now: float) -> AbstractSet[int]:
    return {
        rank
        for rank, refused_at in enumerate(state.refused_at_by_rank)
        if now < refused_at + OVERLOAD_S
    }


def _with_ratio(
    state: ServiceState, observed_rank: types.Rank, ratio: float
) -> ServiceState:
    stretch_by_rank = tuple(
        expect.observe_stretch(stretch, ratio)
        if rank == observed_rank
        else stretch
        for rank, stretch in enumerate(state.stretch_by_rank)
    )
    return dataclasses.replace(state, stretch_by_rank=stretch_by_rank)
