"""Admission state of one service on one node, and its transitions."""

import dataclasses

from ..core import errors
from . import deadline
from . import expect
from . import queue as queues


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceState:
    """Queue and slots of one service.

    Attributes
    ----------
    capacity : int
        Slots that this node may use, the sum of its shares of the workers.
    in_use : int
        Slots granted; above `capacity` for a while after it was lowered.
    tokens_per_slot_s : float
        Observed token rate of one slot, in tokens per second.
    """

    queue: queues.Queue
    capacity: int = 0
    in_use: int = 0
    tokens_per_slot_s: float = expect.DEFAULT_TOKENS_PER_SLOT_S
    early_rejection: bool = True

    @property
    def demand(self) -> int:
        """Slots that the node could use now."""
        return self.in_use + self.queue.length


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """An entry that leaves the queue without a slot."""

    entry: queues.Entry
    failure: errors.Failure


def offer(
    state: ServiceState, entry: queues.Entry, now: float
) -> tuple[ServiceState, Refused | None]:
    """Queue an entry, or refuse one entry (possibly another)."""
    if state.early_rejection:
        failure = deadline.assess(
            state.queue,
            entry,
            now,
            state.capacity - state.in_use,
            state.capacity * state.tokens_per_slot_s,
        )
        if failure is not None:
            return state, Refused(entry, failure)
    queue, dropped = queues.enqueue(state.queue, entry)
    state = dataclasses.replace(state, queue=queue)
    if dropped is None:
        return state, None
    return state, Refused(dropped, deadline.refusal('the queue is full', 0.0))


def grant(
    state: ServiceState, now: float
) -> tuple[ServiceState, tuple[queues.Entry, ...], tuple[Refused, ...]]:
    """Expire entries and give the free slots to waiting entries.

    Returns
    -------
    ServiceState, tuple of Entry, tuple of Refused
        The new state, the entries that have a slot now, the expired ones.
    """
    queue, expired = queues.expire(state.queue, now)
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
    while state.in_use + len(granted) < state.capacity:
        queue, entry = queues.pop(queue)
        if entry is None:
            break
        granted.append(entry)
    state = dataclasses.replace(
        state, queue=queue, in_use=state.in_use + len(granted)
    )
    return state, tuple(granted), refused


def release(
    state: ServiceState,
    entry: queues.Entry,
    used_tokens: float,
    held_s: float,
) -> ServiceState:
    """Return the slot of an entry and correct its charge."""
    rate = state.tokens_per_slot_s
    if used_tokens > 0 and held_s > 0:
        rate = expect.moved_average(rate, used_tokens / held_s)
    return dataclasses.replace(
        state,
        queue=queues.settle(state.queue, entry, used_tokens),
        in_use=state.in_use - 1,
        tokens_per_slot_s=rate,
    )
