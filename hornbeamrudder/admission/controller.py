"""Thread-safe admission controller of one node."""

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
from . import estimates
from . import queue as queues
from . import state as states

SlotResult = result.Result['Slot', errors.Failure]
SlotFuture = futures.Future[SlotResult]

# Entries between `overload_latest_start` and `latest_start` expire only if
# their rank becomes overloaded, so they are checked at this interval.
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
    """Statistics of one service, for metrics and heartbeats.

    Attributes
    ----------
    demand : int
        Slots in use plus waiting requests; `shares.worker_shares` on every
        node uses it.
    small_demand : int
        Part of the demand that comes from small accounts;
        `isolation.quiet_count` on every node uses it.
    """

    capacity: int
    in_use: int
    demand: int
    small_demand: int
    length_by_rank: Mapping[types.Rank, int]
    served_by_rank: Mapping[types.Rank, int]
    rejected_by_rank: Mapping[types.Rank, int]


class Controller:
    """Admits requests for all services of one node.

    Futures are resolved outside the lock, in the thread that triggered the
    decision, so their callbacks must not block.

    Parameters
    ----------
    weights_by_account : mapping
        Fair-queueing weights within a rank; 1 for accounts not listed.
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
        self._condition = threading.Condition()
        self._closed = False
        self._entry_keys = itertools.count()
        self._states_by_service: dict[
            ids.ServiceName, states.ServiceState
        ] = {}
        self._futures_by_key: dict[int, SlotFuture] = {}
        self._granted_keys: set[int] = set()
        self._estimates_by_service: dict[
            ids.ServiceName, estimates.TokenEstimates
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
        """Estimate the tokens of a request, for `submit`."""
        with self._condition:
            estimates_of_service = self._estimates_by_service.get(
                service, estimates.TokenEstimates()
            )
        return estimates.expected_tokens(
            estimates_of_service, account, rank, max_tokens
        )

    def submit(
        self,
        rank: types.Rank,
        account: ids.AccountId,
        service: ids.ServiceName,
        expected_tokens: float,
        deadline: float,
    ) -> SlotFuture:
        """Request a slot.

        Returns
        -------
        Future of Result[Slot, Failure]
            The failure is OVERLOADED, DEADLINE or, after `close`,
            UNAVAILABLE; its outcome is NOT_RUN. Call `withdraw` if the slot
            is no longer needed.
        """
        future: SlotFuture = futures.Future()
        now = self._clock()
        with self._condition:
            if self._closed:
                future.set_result(result.Failure(_SHUTTING_DOWN))
                return future
            state = self._state(service)
            entry = states.new_entry(
                state,
                next(self._entry_keys),
                rank,
                account,
                expected_tokens,
                deadline,
                now,
                self._weights_by_account.get(account, 1.0),
            )
            self._futures_by_key[entry.key] = future
            state, refused = states.submit(state, entry, now)
            resolutions = self._refuse(
                service, () if not refused else (refused,)
            )
            self._states_by_service[service] = state
            resolutions += self._grant(service, now)
            self._condition.notify()
        _resolve(resolutions)
        return future

    def withdraw(self, future: SlotFuture) -> None:
        """Cancel a submission; its slot is released once it is granted."""
        future.add_done_callback(self._release_unused)

    def release(
        self, slot: Slot, used_tokens: float, completed: bool = True
    ) -> bool:
        """Return a slot and record the tokens that its request used.

        Parameters
        ----------
        completed : bool
            False if the attempt failed or was cancelled.

        Returns
        -------
        bool
            False if the slot was released before; the call then has no
            effect.
        """
        now = self._clock()
        with self._condition:
            if slot.entry.key not in self._granted_keys:
                return False
            self._granted_keys.discard(slot.entry.key)
            self._states_by_service[slot.service] = states.release(
                self._state(slot.service),
                slot.entry,
                used_tokens,
                now - slot.granted_at,
                completed,
            )
            if completed and used_tokens > 0:
                self._estimates_by_service[slot.service] = estimates.observe(
                    self._estimates_by_service.get(
                        slot.service, estimates.TokenEstimates()
                    ),
                    slot.entry.account,
                    slot.entry.rank,
                    used_tokens,
                )
            resolutions = self._grant(slot.service, now)
        _resolve(resolutions)
        return True

    def set_capacity(
        self, service: ids.ServiceName, slots: int, quiet_free: int = 0
    ) -> None:
        """Set the number of slots of a service that this node may use.

        If there are free slots at quiet workers (`quiet_free` above 0), one
        slot is granted per call; the caller calls again after each dispatch
        with the new value.
        """
        with self._condition:
            self._states_by_service[service] = dataclasses.replace(
                self._state(service), capacity=slots, quiet_free=quiet_free
            )
            resolutions = self._grant(service, self._clock())
        _resolve(resolutions)

    def small_accounts(
        self, service: ids.ServiceName
    ) -> frozenset[ids.AccountId] | None:
        """Return the accounts that may use quiet workers; None if all may."""
        with self._condition:
            return self._state(service).small_accounts

    def set_weights(
        self, weights_by_account: Mapping[ids.AccountId, float]
    ) -> None:
        """Set the account weights for requests submitted after this call."""
        with self._condition:
            self._weights_by_account = dict(weights_by_account)

    def set_floors(self, floors: tuple[float, ...]) -> None:
        """Set the floor of each rank; waiting requests stay queued.

        Parameters
        ----------
        floors : tuple of float, shape (ranks,)
            Guaranteed share of the capacity per rank; their sum is at most 1.
        """
        now = self._clock()
        with self._condition:
            if floors == self._floors:
                return
            self._floors = floors
            resolutions: list[tuple[SlotFuture, SlotResult]] = []
            for service, state in tuple(self._states_by_service.items()):
                self._states_by_service[service] = states.with_floors(
                    state, floors
                )
                resolutions += self._grant(service, now)
        _resolve(resolutions)

    def queued(self) -> tuple[int, float]:
        """Count the waiting requests of all services and their tokens."""
        with self._condition:
            waiting = [
                state.queue for state in self._states_by_service.values()
            ]
        return (
            sum(queue.length for queue in waiting),
            sum(rank.tokens for queue in waiting for rank in queue.ranks),
        )

    def demand(self, service: ids.ServiceName) -> int:
        """Return the slots of a service in use plus its waiting requests."""
        with self._condition:
            return self._state(service).demand

    def snapshot(self, service: ids.ServiceName) -> Snapshot:
        """Take a snapshot of the statistics of one service."""
        with self._condition:
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
        with self._condition:
            self._closed = True
            self._condition.notify()
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
        max_grants = 1 if state.quiet_free else None
        state, granted, refused = states.grant(state, now, max_grants)
        self._states_by_service[service] = state
        resolutions = self._refuse(service, refused)
        for entry in granted:
            slot = Slot(service, entry, now)
            self._granted_keys.add(entry.key)
            _count(self._served, service, entry.rank)
            resolutions.append(
                (self._futures_by_key.pop(entry.key), result.Success(slot))
            )
        return resolutions

    def _refuse(
        self, service: ids.ServiceName, refused: Iterable[states.Refused]
    ) -> list[tuple[SlotFuture, SlotResult]]:
        resolutions: list[tuple[SlotFuture, SlotResult]] = []
        for item in refused:
            _count(self._rejected, service, item.entry.rank)
            resolutions.append(
                (
                    self._futures_by_key.pop(item.entry.key),
                    result.Failure(item.failure),
                )
            )
        return resolutions

    def _release_unused(self, future: SlotFuture) -> None:
        match future.result():
            case result.Success(slot):
                self.release(slot, 0.0, completed=False)

    def _expire_entries(self) -> None:
        while True:
            with self._condition:
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
                    self._condition.wait()
                else:
                    wait_s = next_expiry - self._clock()
                    self._condition.wait(max(wait_s, EXPIRY_INTERVAL_S))
                now = self._clock()
                resolutions = [
                    pair
                    for service in tuple(self._states_by_service)
                    for pair in self._grant(service, now)
                ]
            _resolve(resolutions)


def _resolve(resolutions: Iterable[tuple[SlotFuture, SlotResult]]) -> None:
    for future, outcome in resolutions:
        future.set_result(outcome)


def _count(
    counts: dict[tuple[ids.ServiceName, types.Rank], int],
    service: ids.ServiceName,
    rank: types.Rank,
) -> None:
    counts[service, rank] = counts.get((service, rank), 0) + 1
