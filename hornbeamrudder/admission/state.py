"""Admission state of one service on one node; pure state transitions."""

import collections
import dataclasses
import math
from typing import AbstractSet
from typing import Mapping

from ..core import errors
from ..core import ids
from ..core import types
from . import deadline
from . import estimates
from . import isolation
from . import queue as queues

# A request with a short deadline may wait for at least this fraction of its
# slack; otherwise it would be admitted only if a slot is idle.
MIN_WAIT_FRACTION = 0.5
# Floors apply to answers that meet their deadline. Some answers are late, so
# the scheduler guarantees each rank slightly more than its floor.
FLOOR_HEADROOM = 1.1
# A rank counts as overloaded for this long after a refusal.
OVERLOAD_DURATION_S = 5.0
# The rules allow floors with a sum of 1, but the queue needs a remainder for
# the most urgent waiting rank.
MAX_FLOOR_SUM = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceState:
    """Queue and slots of one service.

    Attributes
    ----------
    capacity : int
        Slots that this node may use: the sum of its shares of all workers.
    quiet_free : int
        Free slots of this node at quiet workers.
    in_use_by_account_rank : mapping
        Granted slots; their sum may exceed `capacity` temporarily after it
        was lowered.
    tokens_average, seconds_average : float
        Exponential averages of the tokens and the slot time of a request.
        Their ratio is the throughput of a slot; averaging the rates of
        single requests would overestimate it.
    """

    queue: queues.Queue
    capacity: int = 0
    quiet_free: int = 0
    in_use_by_account_rank: Mapping[tuple[ids.AccountId, types.Rank], int] = (
        dataclasses.field(default_factory=dict)
    )
    tokens_average: float = estimates.DEFAULT_TOKENS_PER_SLOT_S
    seconds_average: float = 1.0
    duration_ratio_by_rank: tuple[estimates.DurationRatio, ...] = (
        estimates.DurationRatio(),
    ) * len(types.Rank)
    refused_at_by_rank: tuple[float, ...] = (-math.inf,) * len(types.Rank)
    early_rejection: bool = True

    @property
    def tokens_per_slot_s(self) -> float:
        """Throughput of one slot, in tokens per second."""
        return self.tokens_average / self.seconds_average

    @property
    def in_use(self) -> int:
        """Granted slots of all accounts."""
        return sum(self.in_use_by_account_rank.values())

    @property
    def small_accounts(self) -> frozenset[ids.AccountId] | None:
        """Accounts that may use quiet workers; None if all may."""
        return isolation.small_accounts(self._demand_by_account, self.capacity)

    @property
    def small_demand(self) -> int:
        """Slots in use by small accounts plus their waiting requests."""
        demand_by_account = self._demand_by_account
        return sum(
            demand_by_account[account] for account in self.small_accounts or ()
        )

    @property
    def _demand_by_account(self) -> Mapping[ids.AccountId, int]:
        demand: collections.Counter[ids.AccountId] = collections.Counter()
        for (account, _), in_use in self.in_use_by_account_rank.items():
            demand[account] += in_use
        for rank in self.queue.ranks:
            for account, flow in rank.flows_by_account.items():
                demand[account] += len(flow.entries)
        return +demand

    @property
    def demand(self) -> int:
        """Slots in use plus waiting requests."""
        return self.in_use + self.queue.length


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """An entry that was refused, dropped or expired, with the failure."""

    entry: queues.Entry
    failure: errors.Failure


def new_service(
    floors: tuple[float, ...] = queues.DEFAULT_FLOORS,
    length_limit: int = queues.DEFAULT_LENGTH_LIMIT,
) -> ServiceState:
    """Create the state of a service that has no capacity yet.

    Parameters
    ----------
    floors : tuple of float, shape (ranks,)
        Share of the answers in time that is guaranteed to each rank.
    """
    return ServiceState(
        queues.new_queue(_floors_with_headroom(floors), length_limit)
    )


def with_floors(
    state: ServiceState, floors: tuple[float, ...]
) -> ServiceState:
    """Change the floors of a service; waiting requests stay queued."""
    return dataclasses.replace(
        state,
        queue=queues.with_floors(state.queue, _floors_with_headroom(floors)),
    )


def _floors_with_headroom(floors: tuple[float, ...]) -> tuple[float, ...]:
    total = sum(floors)
    headroom = min(FLOOR_HEADROOM, MAX_FLOOR_SUM / total) if total else 1.0
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
    """Create the queue entry of a request.

    Under sustained overload every request waits for as long as it is allowed
    to. Admission therefore keeps a margin for answers of more than average
    length. During a short burst, an admitted request may spend this margin
    waiting.
    """
    duration_ratio = state.duration_ratio_by_rank[rank]
    duration_s = expected_tokens / state.tokens_per_slot_s
    latest_start = deadline_at
    admission_latest_start = deadline_at
    if state.early_rejection:
        latest_start -= duration_s * duration_ratio.mean
        margin_s = (
            duration_s
            * duration_ratio.deviation
            * estimates.ADMISSION_MARGIN_DEVIATIONS
        )
        admission_latest_start = max(
            latest_start - margin_s,
            now + (latest_start - now) * MIN_WAIT_FRACTION,
        )
    return queues.Entry(
        key,
        rank,
        account,
        expected_tokens,
        latest_start,
        min(admission_latest_start, latest_start),
        weight,
    )


def submit(
    state: ServiceState, entry: queues.Entry, now: float
) -> tuple[ServiceState, Refused | None]:
    """Queue an entry; may refuse it or drop another one instead."""
    if state.early_rejection:
        if entry.latest_start <= now:
            # Refused requests produce no observations. Moving the ratio
            # towards 1 keeps a few slow answers from blocking a rank with
            # short deadlines permanently.
            state = _with_observed_ratio(state, entry.rank, 1.0)
        failure = deadline.check_deadline(
            state.queue,
            entry,
            now,
            state.capacity - state.in_use,
            state.capacity * state.tokens_per_slot_s,
            _overloaded_ranks(state, now),
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
    state: ServiceState, now: float, max_grants: int | None = None
) -> tuple[ServiceState, tuple[queues.Entry, ...], tuple[Refused, ...]]:
    """Expire entries and grant the free slots to waiting entries.

    Parameters
    ----------
    max_grants : int or None
        Maximum number of grants; 1 if `quiet_free` must be updated before
        each grant. None for no maximum.

    Returns
    -------
    ServiceState, tuple of Entry, tuple of Refused
        The new state, the entries that were granted a slot and the entries
        that expired.
    """
    queue, expired = queues.expire(
        state.queue, now, _overloaded_ranks(state, now)
    )
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
    in_use = collections.Counter(state.in_use_by_account_rank)
    small = state.small_accounts if state.quiet_free else None
    while len(granted) != max_grants and in_use.total() < state.capacity:
        free = state.capacity - in_use.total()
        # All remaining free slots may be at quiet workers.
        allowed_accounts = small if free <= state.quiet_free else None
        queue, entry = queues.pop(queue, allowed_accounts)
        if entry is None:
            break
        granted.append(entry)
        in_use[entry.account, entry.rank] += 1
    state = dataclasses.replace(
        state, queue=queue, in_use_by_account_rank=in_use
    )
    return state, tuple(granted), refused


def release(
    state: ServiceState,
    entry: queues.Entry,
    used_tokens: float,
    held_s: float,
    completed: bool,
) -> ServiceState:
    """Release the slot of an entry and correct its charge.

    Parameters
    ----------
    completed : bool
        Whether the answer was complete. Incomplete answers do not update
        the averages.
    """
    if completed and used_tokens > 0 and held_s > 0:
        ratio = held_s * state.tokens_per_slot_s / entry.expected_tokens
        state = dataclasses.replace(
            _with_observed_ratio(state, entry.rank, ratio),
            tokens_average=estimates.updated_average(
                state.tokens_average, used_tokens
            ),
            seconds_average=estimates.updated_average(
                state.seconds_average, held_s
            ),
        )
    in_use = collections.Counter(state.in_use_by_account_rank)
    in_use[entry.account, entry.rank] -= 1
    return dataclasses.replace(
        state,
        queue=queues.correct_charge(state.queue, entry, used_tokens),
        in_use_by_account_rank=+in_use,
    )


def _overloaded_ranks(state: ServiceState, now: float) -> AbstractSet[int]:
    return {
        rank
        for rank, refused_at in enumerate(state.refused_at_by_rank)
        if now < refused_at + OVERLOAD_DURATION_S
    }


def _with_observed_ratio(
    state: ServiceState, observed_rank: types.Rank, ratio: float
) -> ServiceState:
    duration_ratio_by_rank = tuple(
        estimates.observe_duration_ratio(duration_ratio, ratio)
        if rank == observed_rank
        else duration_ratio
        for rank, duration_ratio in enumerate(state.duration_ratio_by_rank)
    )
    return dataclasses.replace(
        state, duration_ratio_by_rank=duration_ratio_by_rank
    )
