"""Thread-safe executor of the admission decisions of one node."""

from concurrent import futures
import dataclasses
import itertools
import math
import threading
import time
from typing import Callable, Iterable, Mapping

from returns import result

from ..core import errors
from ..core import ids
from ..core import types
from . import deadline as deadlines
from . import expect
from . import queue as queues
from . import state as states

SlotResult = result.Result['Slot', errors.Failure]
SlotFuture = futures.Future[SlotResult]

# Entries between their strict and their latest start are checked this often.
EXPIRY_INTERVAL_S = 0.02

_SHUTTING_DOWN = deadlines.refusal(
    'the node is shutting down', 0.0, errors.FailureKind.UNAVAILABLE
)


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Permission to send one request to a worker of a service.

    Attributes
    ----------
    granted_at : float
        Time of the grant, in seconds of the controller's clock.
    """

    service: ids.ServiceName
    entry: queues.Entry
    granted_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Figures of one service, for metrics and for the heartbeat.

    Attributes
    ----------
    demand : int
        Slots in use and wanted, for `shares.worker_shares` on every node.
    small_demand : int
        Part of small accounts, for `isolation.quiet_count` on every node.
    """

    capacity: int
    in_use: int
    demand: int
    small_demand: int
    length_by_rank: Mapping[types.Rank, int]
    served_by_rank: Mapping[types.Rank, int]
    rejected_by_rank: Mapping[types.Rank, int]


class Controller:
    """Admits requests of all services of one node.

    Futures are resolved outside the lock, in the thread that caused the
    decision; callbacks must not block.

    Parameters
    ----------
    weights_by_account : mapping
        Weights within a rank; 1 for accounts that are not named.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        floors: tuple[float, ...] = queues.DEFAULT_FLOORS,
        weights_by_account: Mapping[ids.AccountId, float] | None = None,
        length_limit: int = queues.DEFAULT_LENGTH_LIMIT,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._floors = floors
        self._weights_by_account = dict(weights_by_account or {})
        self._length_limit = length_limit
        self._clock = clock
        self._changed = threading.Condition()
        self._closed = False
        self._keys = itertools.count()
        self._states_by_service: dict[
            ids.ServiceName, states.ServiceState
        ] = {}
        self._futures_by_key: dict[int, SlotFuture] = {}
        self._held_keys: set[int] = set()
        self._expectations_by_service: dict[
            ids.ServiceName, expect.Expectations
        ] = {}
        self._served: dict[tuple[ids.ServiceName, types.Rank], int] = {}
        self._rejected: dict[tuple[ids.ServiceName, types.Rank], int] = {}
        self._thread = threading.Thread(
            target=self._expire_entries, name='admission-expiry', daemon=True
        )
        self._thread.start()

    def expected_tokens(
        self,
        service: ids.ServiceName,
        account: ids.AccountId,
        rank: types.Rank,
        max_tokens: float,
    ) -> float:
        """Expected tokens of a request, for `submit`."""
        with self._changed:
            expectations = self._expectations_by_service.get(
                service, expect.Expectations()
            )
        return expect.expected_tokens(expectations, account, rank, max_tokens)

    def submit(
        self,
        rank: types.Rank,
        account: ids.AccountId,
        service: ids.ServiceName,
        expected_tokens: float,
        deadline: float,
    ) -> SlotFuture:
        """Ask for a slot.

        Returns
        -------
        Future of Result[Slot, Failure]
            The failure is OVERLOADED or DEADLINE with outcome "not run". A
            caller that no longer wants the slot calls `withdraw`.
        """
        future: SlotFuture = futures.Future()
        now = self._clock()
        with self._changed:
            if self._closed:
                future.set_result(result.Failure(_SHUTTING_DOWN))
                return future
            state = self._state(service)
            entry = states.new_entry(
                state,
                next(self._keys),
                rank,
                account,
                expected_tokens,
                deadline,
                now,
                self._weights_by_account.get(account, 1.0),
            )
            self._futures_by_key[entry.key] = future
            state, refused = states.offer(state, entry, now)
            resolved = self._refuse(service, () if not refused else (refused,))
            self._states_by_service[service] = state
            resolved += self._grant(service, now)
            self._changed.notify()
        _resolve(resolved)
        return future

    def withdraw(self, future: SlotFuture) -> None:
        """Give up a submission, and its slot where it was granted."""
        future.add_done_callback(self._release_unused)

    def release(
        self, slot: Slot, used_tokens: float, completed: bool = True
    ) -> bool:
        """Return a slot with the tokens that its request used.

        `completed` is false where the attempt failed or was cancelled.

        A second release of the same slot has no effect and returns False.
        """
        now = self._clock()
        with self._changed:
            if slot.entry.key not in self._held_keys:
                return False
            self._held_keys.discard(slot.entry.key)
            self._states_by_service[slot.service] = states.release(
                self._state(slot.service),
                slot.entry,
                used_tokens,
                now - slot.granted_at,
                completed,
            )
            if completed and used_tokens > 0:
                self._expectations_by_service[slot.service] = expect.observe(
                    self._expectations_by_service.get(
                        slot.service, expect.Expectations()
                    ),
                    slot.entry.account,
                    slot.entry.rank,
                    used_tokens,
                )
            resolved = self._grant(slot.service, now)
        _resolve(resolved)
        return True

    def set_capacity(
        self, service: ids.ServiceName, slots: int, quiet_free: int = 0
    ) -> None:
        """Set the slots of a service that this node may use.

        With quiet workers (`quiet_free` above 0), one slot is granted at a
        time, and this is called again after each dispatch.
        """
        with self._changed:
            self._states_by_service[service] = dataclasses.replace(
                self._state(service), capacity=slots, quiet_free=quiet_free
            )
            resolved = self._grant(service, self._clock())
        _resolve(resolved)

    def small_accounts(
        self, service: ids.ServiceName
    ) -> frozenset[ids.AccountId] | None:
        """Accounts that may use quiet workers; None without contention."""
        with self._changed:
            return self._state(service).small_accounts

    def set_weights(
        self, weights_by_account: Mapping[ids.AccountId, float]
    ) -> None:
        """Set the accounts' weights for requests submitted from now on."""
        with self._changed:
            self._weights_by_account = dict(weights_by_account)

    def set_floors(self, floors: tuple[float, ...]) -> None:
        """Set the floors of all ranks; waiting requests stay queued.

        Parameters
        ----------
        floors : tuple of float, shape (ranks,)
            Shares of the capacity, from 0 to 1 in all.
        """
        now = self._clock()
        with self._changed:
            if floors == self._floors:
                return
            self._floors = floors
            resolved: list[tuple[SlotFuture, SlotResult]] = []
            for service, state in tuple(self._states_by_service.items()):
                self._states_by_service[service] = states.with_floors(
                    state, floors
                )
                resolved += self._grant(service, now)
        _resolve(resolved)

    def queued(self) -> tuple[int, float]:
        """Waiting requests of all services and their expected tokens."""
        with self._changed:
            waiting = [
                state.queue for state in self._states_by_service.values()
            ]
        return (
            sum(queue.length for queue in waiting),
            sum(rank.tokens for queue in waiting for rank in queue.ranks),
        )

    def demand(self, service: ids.ServiceName) -> int:
        """Slots of a service in use and wanted."""
        with self._changed:
            return self._state(service).demand

    def snapshot(self, service: ids.ServiceName) -> Snapshot:
        """Figures of one service."""
        with self._changed:
            state = self._state(service)
            return Snapshot(
                state.capacity,
                state.in_use,
                state.demand,
                state.small_demand,
                {rank: state.queue.ranks[rank].length for rank in types.Rank},
                {
                    rank: self._served.get((service, rank), 0)
                    for rank in types.Rank
                },
                {
                    rank: self._rejected.get((service, rank), 0)
                    for rank in types.Rank
                },
            )

    def close(self) -> None:
        """Stop the expiry thread and refuse all waiting requests."""
        with self._changed:
            self._closed = True
            self._changed.notify()
            waiting = list(self._futures_by_key.values())
            self._futures_by_key.clear()
            self._states_by_service.clear()
        _resolve(
            [(future, result.Failure(_SHUTTING_DOWN)) for future in waiting]
        )
        self._thread.join()

    def _state(self, service: ids.ServiceName) -> states.ServiceState:
        known = self._states_by_service.get(service)
        if known is None:
            known = states.new_service(self._floors, self._length_limit)
            self._states_by_service[service] = known
        return known

    def _grant(
        self, service: ids.ServiceName, now: float
    ) -> list[tuple[SlotFuture, SlotResult]]:
        state = self._state(service)
        most = 1 if state.quiet_free else None
        state, granted, refused = states.grant(state, now, most)
        self._states_by_service[service] = state
        resolved = self._refuse(service, refused)
        for entry in granted:
            slot = Slot(service, entry, now)
            self._held_keys.add(entry.key)
            _count(self._served, service, entry.rank)
            resolved.append(
                (self._futures_by_key.pop(entry.key), result.Success(slot))
            )
        return resolved

    def _refuse(
        self, service: ids.ServiceName, refused: Iterable[states.Refused]
    ) -> list[tuple[SlotFuture, SlotResult]]:
        resolved: list[tuple[SlotFuture, SlotResult]] = []
        for item in refused:
            _count(self._rejected, service, item.entry.rank)
            resolved.append(
                (
                    self._futures_by_key.pop(item.entry.key),
                    result.Failure(item.failure),
                )
            )
        return resolved

    def _release_unused(self, future: SlotFuture) -> None:
        match future.result():
            case result.Success(slot):
                self.release(slot, 0.0, completed=False)

    def _expire_entries(self) -> None:
        while True:
            with self._changed:
                if self._closed:
                    return
                next_expiry = min(
                    (
                        state.queue.next_expiry
                        for state in self._states_by_service.values()
                    ),
                    default=math.inf,
                )
                if math.isinf(next_expiry):
                    self._changed.wait()
                else:
                    wait_s = next_expiry - self._clock()
                    self._changed.wait(max(wait_s, EXPIRY_INTERVAL_S))
                now = self._clock()
                resolved = [
                    pair
                    for service in tuple(self._states_by_service)
                    for pair in self._grant(service, now)
                ]
            _resolve(resolved)


def _resolve(resolved: Iterable[tuple[SlotFuture, SlotResult]]) -> None:
    for future, outcome in resolved:
        future.set_result(outcome)


def _count(
    counts: dict[tuple[ids.ServiceName, types.Rank], int],
    service: ids.ServiceName,
    rank: types.Rank,
) -> None:
    counts[service, rank] = counts.get((service, rank), 0) + 1
