"""Queue of one service: rank floors and fair queueing by account.

A floor is the share of the service guaranteed to a rank. It is tracked in
weighted virtual time: each dispatch advances the service clock by its tokens
and the tag of its rank by its tokens divided by the floor. A waiting rank
whose tag is not ahead of the clock is below its floor and served first. If
there is none, the most urgent waiting rank is served. Within a rank, accounts
are served by start-time fair queueing (Goyal, Vin and Cheng, 1996) in expected
tokens.
"""

import dataclasses
import math
from typing import AbstractSet
from typing import Mapping

from ..core import ids
from ..core import types

# Guaranteed shares of the urgent, standard and batch rank.
DEFAULT_FLOORS = (0.0, 0.10, 0.05)
# Waiting entries per rank. Bounds the memory of a node and the cost of a
# decision. With early rejection, a queue reaches this length only if deadlines
# are long.
DEFAULT_LENGTH_LIMIT = 256
# Fraction of the admission margin that must remain when an entry starts while
# its rank is overloaded. Under overload entries start as late as possible;
# without a margin about a quarter of the answers were late.
OVERLOAD_MARGIN_FRACTION = 2 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One waiting request.

    Attributes
    ----------
    expected_tokens : float
        Estimated cost of the request, in tokens.
    latest_start : float
        Latest start, in seconds, at which an answer of mean length meets the
        deadline; the entry expires then. Never after the deadline.
    admission_latest_start : float
        Latest estimated start at which the request is admitted:
        `latest_start` less a margin for long answers.
    weight : float
        Fair-queueing weight of the account within its rank.
    """

    key: int
    rank: types.Rank
    account: ids.AccountId
    expected_tokens: float
    latest_start: float
    admission_latest_start: float
    weight: float = 1.0

    @property
    def overload_latest_start(self) -> float:
        """Time at which the entry expires if its rank is overloaded."""
        margin_s = self.latest_start - self.admission_latest_start
        return self.latest_start - OVERLOAD_MARGIN_FRACTION * margin_s


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Waiting requests of one account in one rank, in order of arrival.

    Attributes
    ----------
    start_tag : float
        Virtual start time of the first entry. If the flow is empty, virtual
        finish time of the last entry that was served.
    """

    weight: float = 1.0
    start_tag: float = 0.0
    tokens: float = 0.0
    entries: tuple[Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RankQueue:
    """Flows of one rank.

    Attributes
    ----------
    floor : float
        Share of the service guaranteed to this rank, 0 to 1.
    floor_tag : float
        Clock value, in tokens, from which the rank is below its floor.
    next_expiry : float
        Lower bound of `overload_latest_start` over all entries.
    """

    floor: float
    floor_tag: float = 0.0
    virtual_time: float = 0.0
    length: int = 0
    next_expiry: float = math.inf
    flows_by_account: Mapping[ids.AccountId, Flow] = dataclasses.field(
        default_factory=dict
    )

    @property
    def tokens(self) -> float:
        """Expected tokens of all waiting entries."""
        return sum(flow.tokens for flow in self.flows_by_account.values())


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Queue of one service, with one sub-queue per rank.

    Attributes
    ----------
    clock : float
        Tokens dispatched so far in all ranks; expected tokens until
        `correct_charge` replaces them by the tokens used.
    """

    ranks: tuple[RankQueue, ...]
    clock: float = 0.0
    length_limit: int = DEFAULT_LENGTH_LIMIT

    @property
    def length(self) -> int:
        """Waiting entries of all ranks."""
        return sum(rank.length for rank in self.ranks)

    @property
    def next_expiry(self) -> float:
        """Lower bound of the time at which the next entry expires."""
        return min(rank.next_expiry for rank in self.ranks)


def new_queue(
    floors: tuple[float, ...] = DEFAULT_FLOORS,
    length_limit: int = DEFAULT_LENGTH_LIMIT,
) -> Queue:
    """Create an empty queue.

    Parameters
    ----------
    floors : tuple of float, shape (ranks,)
        Guaranteed share of the service per rank.
    length_limit : int
        Maximum number of waiting entries per rank.

    Raises
    ------
    ValueError
        If a floor is negative or the floors leave no remainder for the first
        rank.
    """
    if sum(floors) >= 1 or min(floors) < 0:
        raise ValueError('floors must be at least 0 and sum to less than 1')
    return Queue(
        tuple(RankQueue(floor) for floor in floors), length_limit=length_limit
    )


def with_floors(queue: Queue, floors: tuple[float, ...]) -> Queue:
    """Change the floors; waiting entries keep their order.

    The tag of a rank with a changed floor is reset to the current clock. The
    tag of a rank without a floor does not advance, so without the reset the
    rank would be compensated for all past service.
    """
    ranks = tuple(
        rank
        if rank.floor == floor
        else dataclasses.replace(rank, floor=floor, floor_tag=queue.clock)
        for rank, floor in zip(queue.ranks, floors, strict=True)
    )
    return dataclasses.replace(queue, ranks=ranks)


def enqueue(queue: Queue, entry: Entry) -> tuple[Queue, Entry | None]:
    """Add an entry; if the rank is full, drop one entry.

    The dropped entry is the last one of the account with the latest virtual
    finish time, so that one account cannot fill the queue and block others.

    Returns
    -------
    Queue, Entry or None
        The new queue and the dropped entry, which may be `entry` itself.
    """
    rank = queue.ranks[entry.rank]
    flow = rank.flows_by_account.get(entry.account, Flow())
    if not flow.entries:
        flow = dataclasses.replace(
            flow, start_tag=max(flow.start_tag, rank.virtual_time)
        )
    flow = dataclasses.replace(
        flow,
        weight=entry.weight,
        tokens=flow.tokens + entry.expected_tokens,
        entries=flow.entries + (entry,),
    )
    floor_tag = rank.floor_tag
    if rank.length == 0:
        floor_tag = max(floor_tag, queue.clock)
    rank = dataclasses.replace(
        rank,
        floor_tag=floor_tag,
        length=rank.length + 1,
        next_expiry=min(rank.next_expiry, entry.overload_latest_start),
        flows_by_account={**rank.flows_by_account, entry.account: flow},
    )
    dropped = None
    if rank.length > queue.length_limit:
        rank, dropped = _drop_from_longest_backlog(rank)
    return _with_rank(queue, entry.rank, rank), dropped


def expire(
    queue: Queue, now: float, overloaded: AbstractSet[int] = frozenset()
) -> tuple[Queue, tuple[Entry, ...]]:
    """Remove the entries whose latest start has passed.

    Parameters
    ----------
    overloaded : set of int
        Ranks whose entries expire at their `overload_latest_start`.
    """
    expired: tuple[Entry, ...] = ()
    for index, rank in enumerate(queue.ranks):
        if rank.next_expiry >= now:
            continue
        rank, removed = _expire_rank(rank, now, index in overloaded)
        expired += removed
        queue = _with_rank(queue, index, rank)
    return queue, expired


def pop(
    queue: Queue, allowed_accounts: AbstractSet[ids.AccountId] | None = None
) -> tuple[Queue, Entry | None]:
    """Remove the next entry to serve and charge its expected tokens.

    Parameters
    ----------
    allowed_accounts : set of AccountId or None
        Accounts eligible in all ranks but the first; None for all accounts.
    """
    index = _next_rank(queue, allowed_accounts)
    if index is None:
        return queue, None
    rank = queue.ranks[index]
    account, flow = min(
        _waiting_flows(rank, allowed_accounts if index > 0 else None),
        key=lambda pair: (pair[1].start_tag, pair[0]),
    )
    entry = flow.entries[0]
    virtual_time = max(rank.virtual_time, flow.start_tag)
    flow = dataclasses.replace(
        flow,
        start_tag=flow.start_tag + entry.expected_tokens / flow.weight,
        tokens=flow.tokens - entry.expected_tokens,
        entries=flow.entries[1:],
    )
    clock = queue.clock + entry.expected_tokens
    floor_tag = rank.floor_tag
    if rank.floor > 0:
        # The tag is at most one entry ahead of the clock. Service above the
        # floor is not charged beyond that; otherwise a rank that used idle
        # capacity would starve when a burst of other work begins.
        floor_tag = (
            min(rank.floor_tag, clock) + entry.expected_tokens / rank.floor
        )
    flows_by_account = {**rank.flows_by_account, account: flow}
    if not flow.entries:
        flows_by_account = {
            name: other
            for name, other in flows_by_account.items()
            if other.entries or other.start_tag > virtual_time
        }
    rank = dataclasses.replace(
        rank,
        floor_tag=floor_tag,
        virtual_time=virtual_time,
        length=rank.length - 1,
        next_expiry=rank.next_expiry if rank.length > 1 else math.inf,
        flows_by_account=flows_by_account,
    )
    queue = dataclasses.replace(queue, clock=clock)
    return _with_rank(queue, index, rank), entry


def correct_charge(queue: Queue, entry: Entry, used_tokens: float) -> Queue:
    """Adjust the charge of a served entry to the tokens it used."""
    difference = used_tokens - entry.expected_tokens
    rank = queue.ranks[entry.rank]
    flow = rank.flows_by_account.get(
        entry.account, Flow(entry.weight, rank.virtual_time)
    )
    flow = dataclasses.replace(
        flow, start_tag=flow.start_tag + difference / entry.weight
    )
    floor_tag = rank.floor_tag
    if rank.floor > 0:
        floor_tag += difference / rank.floor
    rank = dataclasses.replace(
        rank,
        floor_tag=floor_tag,
        flows_by_account={**rank.flows_by_account, entry.account: flow},
    )
    queue = dataclasses.replace(queue, clock=queue.clock + difference)
    return _with_rank(queue, entry.rank, rank)


def _waiting_flows(
    rank: RankQueue, allowed_accounts: AbstractSet[ids.AccountId] | None
) -> list[tuple[ids.AccountId, Flow]]:
    return [
        (account, flow)
        for account, flow in rank.flows_by_account.items()
        if flow.entries
        and (allowed_accounts is None or account in allowed_accounts)
    ]


def _next_rank(
    queue: Queue, allowed_accounts: AbstractSet[ids.AccountId] | None
) -> int | None:
    waiting = [
        index
        for index, rank in enumerate(queue.ranks)
        if rank.length > 0
        and (
            allowed_accounts is None
            or index == 0
            or _waiting_flows(rank, allowed_accounts)
        )
    ]
    below_floor = [
        index
        for index in waiting
        if queue.ranks[index].floor > 0
        and queue.ranks[index].floor_tag <= queue.clock
    ]
    if below_floor:
        return min(below_floor, key=lambda index: queue.ranks[index].floor_tag)
    return waiting[0] if waiting else None


def _drop_from_longest_backlog(rank: RankQueue) -> tuple[RankQueue, Entry]:
    account, flow = max(
        (pair for pair in rank.flows_by_account.items() if pair[1].entries),
        key=lambda pair: (
            pair[1].start_tag + pair[1].tokens / pair[1].weight,
            pair[0],
        ),
    )
    dropped = flow.entries[-1]
    flow = dataclasses.replace(
        flow,
        tokens=flow.tokens - dropped.expected_tokens,
        entries=flow.entries[:-1],
    )
    flows_by_account = {**rank.flows_by_account, account: flow}
    return (
        dataclasses.replace(
            rank, length=rank.length - 1, flows_by_account=flows_by_account
        ),
        dropped,
    )


def _expire_rank(
    rank: RankQueue, now: float, overloaded: bool
) -> tuple[RankQueue, tuple[Entry, ...]]:
    removed: list[Entry] = []
    flows_by_account = {}
    for account, flow in rank.flows_by_account.items():
        kept: list[Entry] = []
        for entry in flow.entries:
            expires_at = (
                entry.overload_latest_start
                if overloaded
                else entry.latest_start
            )
            (removed if expires_at < now else kept).append(entry)
        flows_by_account[account] = dataclasses.replace(
            flow,
            tokens=sum(entry.expected_tokens for entry in kept),
            entries=tuple(kept),
        )
    next_expiry = min(
        (
            entry.overload_latest_start
            for flow in flows_by_account.values()
            for entry in flow.entries
        ),
        default=math.inf,
    )
    rank = dataclasses.replace(
        rank,
        length=rank.length - len(removed),
        next_expiry=next_expiry,
        flows_by_account=flows_by_account,
    )
    return rank, tuple(removed)


def _with_rank(queue: Queue, index: int, rank: RankQueue) -> Queue:
    ranks = queue.ranks[:index] + (rank,) + queue.ranks[index + 1 :]
    return dataclasses.replace(queue, ranks=ranks)
