"""Queue of one service: floors between ranks, fair queueing by account.

Between ranks, a floor is a weighted virtual time: the service clock advances
by the tokens of every dispatch and a rank's tag by its own tokens divided by
its floor. A waiting rank whose tag is not ahead of the clock is served next;
otherwise the most urgent waiting rank is. Within a rank, accounts are served
by start-time fair queueing (Goyal, Vin and Cheng, 1996) in expected tokens.
"""

import dataclasses
import math
from typing import AbstractSet
from typing import Mapping

from ..core import ids
from ..core import types

DEFAULT_FLOORS = (0.0, 0.10, 0.05)
# Bounds the memory of a node and the cost of a decision. With early
# rejection on, a queue reaches this length only when deadlines are long.
DEFAULT_LENGTH_LIMIT = 256
# Part of the admission margin that an entry needs at its start while its
# rank is overloaded. Every entry then starts at the last moment, and without
# a margin about a quarter of the answers were late.
STRICT_PART = 2 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One waiting request.

    Attributes
    ----------
    expected_tokens : float
        Work of the request, in tokens.
    latest_start : float
        Time after which an answer of mean length would be late, in seconds;
        the entry expires then. At most the deadline itself.
    cautious_start : float
        Time until which a request may be expected to wait when it is
        admitted, with a margin for long answers.
    weight : float
        Weight of the account within its rank.
    """

    key: int
    rank: types.Rank
    account: ids.AccountId
    expected_tokens: float
    latest_start: float
    cautious_start: float
    weight: float = 1.0

    @property
    def strict_start(self) -> float:
        """Time at which the entry expires while its rank is overloaded."""
        margin_s = self.latest_start - self.cautious_start
        return self.latest_start - STRICT_PART * margin_s


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Waiting requests of one account in one rank, in order of arrival.

    Attributes
    ----------
    start_tag : float
        Virtual start time of the first entry; in an empty flow, the virtual
        finish time of the last entry served.
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
        Share of the service kept for this rank, 0 to 1.
    floor_tag : float
        Clock value from which the floor is owed, in tokens.
    next_expiry : float
        Lower bound of the strict starts of all entries.
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
    """Queues of all ranks of one service.

    Attributes
    ----------
    clock : float
        Expected tokens dispatched so far in all ranks.
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
        """No entry expires before this time."""
        return min(rank.next_expiry for rank in self.ranks)


def new_queue(
    floors: tuple[float, ...] = DEFAULT_FLOORS,
    length_limit: int = DEFAULT_LENGTH_LIMIT,
) -> Queue:
    """Make an empty queue with one floor share for each rank.

    Raises
    ------
    ValueError
        Where the floors do not leave a remainder for the first rank.
    """
    if sum(floors) >= 1 or min(floors) < 0:
        raise ValueError('floors must be at least 0 and sum to less than 1')
    return Queue(
        tuple(RankQueue(floor) for floor in floors), length_limit=length_limit
    )


def with_floors(queue: Queue, floors: tuple[float, ...]) -> Queue:
    """Change the floors; waiting entries and their order stay.

    A changed floor is owed from now on: the tag of a rank without a floor
    does not advance and would claim all the service of the past.
    """
    ranks = tuple(
        rank
        if rank.floor == floor
        else dataclasses.replace(rank, floor=floor, floor_tag=queue.clock)
        for rank, floor in zip(queue.ranks, floors, strict=True)
    )
    return dataclasses.replace(queue, ranks=ranks)


def enqueue(queue: Queue, entry: Entry) -> tuple[Queue, Entry | None]:
    """Add an entry; where the rank is full, one entry is dropped.

    The dropped entry is the last one of the account whose backlog ends
    latest in virtual time, so one large caller cannot keep others out.

    Returns
    -------
    Queue, Entry or None
        The new queue and the entry that was dropped (possibly `entry`).
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
        next_expiry=min(rank.next_expiry, entry.strict_start),
        flows_by_account={**rank.flows_by_account, entry.account: flow},
    )
    dropped = None
    if rank.length > queue.length_limit:
        rank, dropped = _drop_last(rank)
    return _with_rank(queue, entry.rank, rank), dropped


def expire(
    queue: Queue, now: float, overloaded: AbstractSet[int] = frozenset()
) -> tuple[Queue, tuple[Entry, ...]]:
    """Remove the entries whose latest start has passed.

    Parameters
    ----------
    overloaded : set of int
        Ranks in which entries expire at their strict start.
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
    queue: Queue, only: AbstractSet[ids.AccountId] | None = None
) -> tuple[Queue, Entry | None]:
    """Remove the entry to serve next and charge its expected tokens.

    Parameters
    ----------
    only : set of AccountId or None
        Accounts to which the choice is limited in ranks below the first.
    """
    index = _next_rank(queue, only)
    if index is None:
        return queue, None
    rank = queue.ranks[index]
    account, flow = min(
        _waiting_flows(rank, only if index > 0 else None),
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
        # Service above the floor is not counted against later floor service
        # for longer than one entry, or a rank that used idle capacity would
        # be starved when a flood begins.
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


def settle(queue: Queue, entry: Entry, used_tokens: float) -> Queue:
    """Correct the charge of a served entry by the tokens that it used."""
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
    rank: RankQueue, only: AbstractSet[ids.AccountId] | None
) -> list[tuple[ids.AccountId, Flow]]:
    return [
        (account, flow)
        for account, flow in rank.flows_by_account.items()
        if flow.entries and (only is None or account in only)
    ]


def _next_rank(
    queue: Queue, only: AbstractSet[ids.AccountId] | None
) -> int | None:
    waiting = [
        index
        for index, rank in enumerate(queue.ranks)
        if rank.length > 0
        and (only is None or index == 0 or _waiting_flows(rank, only))
    ]
    owed = [
        index
        for index in waiting
        if queue.ranks[index].floor > 0
        and queue.ranks[index].floor_tag <= queue.clock
    ]
    if owed:
        return min(owed, key=lambda index: queue.ranks[index].floor_tag)
    return waiting[0] if waiting else None


def _drop_last(rank: RankQueue) -> tuple[RankQueue, Entry]:
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
            limit = entry.strict_start if overloaded else entry.latest_start
            (removed if limit < now else kept).append(entry)
        flows_by_account[account] = dataclasses.replace(
            flow,
            tokens=sum(entry.expected_tokens for entry in kept),
            entries=tuple(kept),
        )
    next_expiry = min(
        (
            entry.strict_start
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
