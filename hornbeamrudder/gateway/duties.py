"""Cluster-wide duties, carried out by one node at a time.

The duties are usage reports and orders of backend servers.
"""

import asyncio
import dataclasses
from typing import Any, Callable, Mapping

from . import clock
from ..core import errors
from ..core import ids
from ..core import types
from . import duty_lease
from . import fleet_orders
from . import fleet_plan
from . import node_state
from . import usage

TABLE = 'duty'
KEY = 'term'
POLL_INTERVAL_S = 0.1
# Mean interval between reads of the row while another node holds the term.
READ_INTERVAL_S = 0.8
STORE_CALL_TIMEOUT_S = 0.8
# Rows removed in one transaction, which the store limits to 100 entries.
MAX_REMOVALS = 90
# Delay before a failed call is retried.
RETRY_DELAY_S = 1.5


class Duties:
    """Acquires the term and carries out the duties while it is valid.

    Parameters
    ----------
    may_contend : callable
        Whether this node may take the term from a holder that is silent.
        With hubs only those that follow the store do, as a read of the row
        by each node would be a call of each node.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        store: Any,
        cloud: Any,
        platform: Any,
        may_contend: Callable[[], bool] = lambda: True,
    ) -> None:
        self.term: duty_lease.Term | None = None
        self._state = state
        self._store = store
        self._cloud = cloud
        self._platform = platform
        self._may_contend = may_contend
        self._observed: duty_lease.ObservedTerm | None = None
        self._next_read_at = 0.0
        self._ordered: dict[fleet_plan.ServerPool, fleet_plan.Order] = {}
        self._retry_at: dict[object, float] = {}
        self._final_counts: dict[int, Mapping[str, int]] = {}
        self._completed_windows: set[int] = set()
        self._unreported_windows: set[int] = set()
        self._fleet = fleet_orders.FleetOrders(state)
        self._in_progress: set[object] = set()
        # Highest number that must not be used any more: a call with it may
        # still be carried out, after later ones.
        self._spent = ids.FencingNumber(0)
        # Reclaimable pools and other calls that were refused, while it is
        # not known whether another node holds the term.
        self._in_doubt: set[fleet_plan.ServerPool | None] = set()
        self._holder_heard_at = clock.now()

    @property
    def fencing_number(self) -> int:
        """Fencing number of the term held by this node; 0 if none."""
        held = duty_lease.may_act(self.term, clock.now())
        return self.term.number if held and self.term else 0

    def record_holder_report(self) -> None:
        """Record a report in which another node holds the term."""
        self._holder_heard_at = clock.now()

    async def run(self) -> None:
        """Acquire and renew the term; carry out duties while it is valid."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._acquire_or_renew()
            if duty_lease.may_act(self.term, clock.now()):
                self._run_duties()

    def holder(self) -> Any | None:
        """Return node and fencing number for a call; None if not valid."""
        term = self.term
        if (
            term is None
            or self._must_verify_term()
            or not duty_lease.may_act(term, clock.now())
        ):
            return None
        return self._platform.DutyHolder(
            self._state.settings.node, term.number
        )

    # Term

    async def _acquire_or_renew(self) -> None:
        now = clock.now()
        state = self._state
        if state.stopping or now < self._next_read_at:
            return
        if (
            self.term is not None
            and now < self.term.renew_at
            and not self._must_verify_term()
        ):
            return
        if self.term is None and (
            now - self._holder_heard_at < state.peers.holder_timeout_s()
            or not self._may_contend()
        ):
            return
        self._next_read_at = now + READ_INTERVAL_S * state.rng.uniform(
            0.5, 1.5
        )
        # The row that this node has written is renewed without a read; the
        # write fails if another node has taken the term.
        observed = (
            None if self._must_verify_term() else self._observed
        ) or await self._read_term()
        self._observed = None
        if observed is None:
            return
        proposal = duty_lease.propose(
            observed,
            state.settings.node,
            state.started,
            state.settings.bounds.lease_s,
            clock.now(),
            self.term.number if self.term else None,
            self._spent,
        )
        if proposal is None:
            self._step_down('held by another node')
            return
        if self.term is not None and observed.version == self.term.row_version:
            self._resolve_doubt(self.term)
            if now < self.term.renew_at and not self._must_verify_term():
                return
        await self._write(observed, proposal)

    async def _read_term(self) -> duty_lease.ObservedTerm | None:
        read = await self._store.read(TABLE, timeout_s=STORE_CALL_TIMEOUT_S)
        if isinstance(read, errors.Failure):
            return None
        row = next((item for item in read.rows if item.key == KEY), None)
        try:
            term = _decode_term(row.value) if row else None
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            # A lower number than that of the row must not be used.
            self._state.log.error(
                'term of the duties is malformed', failure=repr(error)
            )
            return None
        return duty_lease.ObservedTerm(
            term,
            row.version if row else 0,
            read.store_clock_ms,
            read.sent_at,
            read.received_at,
        )

    async def _write(
        self, observed: duty_lease.ObservedTerm, proposal: duty_lease.Proposal
    ) -> None:
        state = self._state
        platform = self._platform
        written = await self._store.write(
            (platform.Put(TABLE, KEY, _encode_term(proposal.row)),),
            (platform.Expect(TABLE, KEY, observed.version),),
            timeout_s=STORE_CALL_TIMEOUT_S,
        )
        if isinstance(written, errors.Failure):
            # The write may still be applied, so the row is read again.
            return
        if isinstance(written, platform.Conflict):
            self._step_down('taken over by another node')
            return
        new = self.term is None or self.term.number != proposal.row.number
        self.term = duty_lease.accepted(
            proposal,
            written.version,
            state.settings.bounds.lease_s,
            clock.now(),
        )
        self._observed = duty_lease.ObservedTerm(
            proposal.row,
            written.version,
            written.store_clock_ms,
            written.sent_at,
            written.received_at,
        )
        self._next_read_at = 0.0
        if new:
            self._ordered.clear()
            self._fleet.start_anew()
            self._final_counts.clear()
            self._completed_windows.clear()
            self._unreported_windows.clear()
            state.log.info(
                'duties are taken',
                number=self.term.number,
                row=observed.version,
            )

    def _must_verify_term(self) -> bool:
        """Whether calls wait until the row was read, or its number raised."""
        return bool(self._in_doubt) or (
            self.term is not None and self.term.number <= self._spent
        )

    def _doubt_term(self, refused: fleet_plan.ServerPool | None) -> None:
        """Make no call until the row tells whether the term is still held.

        Parameters
        ----------
        refused : ServerPool or None
            Pool of an order that may have been refused because no server is
            available; None for other calls.
        """
        self._in_doubt.add(refused)
        self._next_read_at = 0.0

    def _resolve_doubt(self, term: duty_lease.Term) -> None:
        """Handle refused calls, as no other node has taken the term."""
        for pool in self._in_doubt:
            if pool is None:
                self._spent = max(self._spent, term.number)
            else:
                self._fleet.record_refusal(pool.service, clock.now())
        self._in_doubt.clear()

    def _step_down(self, reason: str) -> None:
        self._in_doubt.clear()
        self._observed = None
        if self.term is not None:
            self._state.log.info(
                'duties are lost', number=self.term.number, reason=reason
            )
        self.term = None

    # Duties

    def _run_duties(self) -> None:
        if self._platform.USAGE_DUTY in self._state.settings.duties:
            self._report_usage()
        if self._platform.SCALING_DUTY in self._state.settings.duties:
            self._order_servers()

    def _start_action(self, key: object, action: Any) -> None:
        """Start an action unless it is running or its retry delay applies."""
        if key in self._in_progress or clock.now() < self._retry_at.get(
            key, 0.0
        ):
            action.close()
            return
        self._in_progress.add(key)
        task = asyncio.get_running_loop().create_task(action)
        task.add_done_callback(lambda _: self._in_progress.discard(key))

    def _report_usage(self) -> None:
        state = self._state
        now = state.peers.cluster_time()
        present = state.usage.window_at(now)
        for window in range(present - usage.LOOKBACK_WINDOWS, present):
            if window in self._completed_windows:
                continue
            age = now - (window + 1) * state.settings.bounds.usage_window_s
            if age >= usage.MIN_REPORT_DELAY_S:
                self._start_action(
                    ('usage', window), self._report_window(window)
                )

    async def _report_window(self, window: int) -> None:
        state = self._state
        counts = self._final_counts.get(window)
        if counts is None:
            counts = await self._store_final_counts(window)
            if counts is None:
                self._retry_at['usage', window] = clock.now() + RETRY_DELAY_S
                return
            self._final_counts[window] = counts
        holder = self.holder()
        if holder is None:
            return
        if not counts:
            self._completed_windows.add(window)
            return
        failure = await self._cloud.report_usage(holder, window, counts)
        state.metrics.calls.inc(
            {'call': 'usage', 'result': 'failed' if failure else 'done'}
        )
        state.log.info(
            'usage is reported',
            window=window,
            counts=dict(counts),
            number=holder.fencing,
            failure=str(failure) if failure else None,
        )
        if failure is None:
            self._completed_windows.add(window)
            return
        self._retry_at['usage', window] = clock.now() + RETRY_DELAY_S
        if (
            state.settings.bounds.require_fence
            and failure.kind is errors.FailureKind.CONFLICT
        ):
            self._doubt_term(None)

    async def _store_final_counts(
        self, window: int
    ) -> Mapping[str, int] | None:
        """Store the final counts of a window.

        Later holders then report the same counts.

        Returns
        -------
        mapping or None
            None if rows are missing or a call to the store fails.
        """
        state = self._state
        platform = self._platform
        bounds = state.settings.bounds
        key = usage.report_key(window)
        if window not in self._unreported_windows:
            fixed = await self._store.read(
                usage.REPORT_TABLE, key, key + '\x00'
            )
            if isinstance(fixed, errors.Failure):
                return None
            if fixed.rows and isinstance(fixed.rows[0].value, dict):
                counts: Mapping[str, int] = fixed.rows[0].value
                return counts
            # Only a former holder may still write the row.
            self._unreported_windows.add(window)
        rows = await self._store.read(usage.TABLE, *usage.window_range(window))
        if isinstance(rows, errors.Failure):
            return None
        total = usage.sum_rows((row.key, row.value) for row in rows.rows)
        expected = state.peers.live_nodes() | {state.settings.node}
        complete = expected <= total.nodes
        if not usage.is_due(
            window,
            bounds.usage_window_s,
            bounds.usage_late_s,
            state.peers.cluster_time(),
            complete,
        ):
            return None
        if not total.requests_by_account:
            return {}
        written = await self._store.write(
            (
                platform.Put(
                    usage.REPORT_TABLE, key, total.requests_by_account
                ),
                *(
                    platform.Remove(usage.TABLE, row.key)
                    for row in rows.rows[:MAX_REMOVALS]
                ),
            ),
            (platform.Expect(usage.REPORT_TABLE, key, 0),),
        )
        if isinstance(written, (errors.Failure, platform.Conflict)):
            # Another holder has stored them, or the outcome of the write is
            # unknown; the counts are read again.
            self._unreported_windows.discard(window)
            return None
        return total.requests_by_account

    def _order_servers(self) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        now = clock.now()
        for service in configuration.services_by_name.values():
            for pool, count in self._fleet.target_counts(service, now).items():
                serving = self._fleet.serving(pool)
                ordered = self._ordered.get(pool)
                if ordered is not None:
                    self._ordered[pool] = ordered.seen(serving)
                    if not ordered.is_due(count, serving, now):
                        continue
                if pool.reclaimable and self._fleet.must_pause(
                    pool.service, now
                ):
                    continue
                reclaimable_pool = dataclasses.replace(pool, reclaimable=True)
                if (
                    pool != reclaimable_pool
                    and reclaimable_pool in self._in_progress
                ):
                    # Waits until the order of reclaimable servers is complete.
                    continue
                self._start_action(pool, self._order(pool, count))

    async def _order(self, pool: fleet_plan.ServerPool, count: int) -> None:
        holder = self.holder()
        if holder is None:
            return
        failure = await self._cloud.set_desired_servers(
            holder, pool.service, pool.data_centre, count, pool.reclaimable
        )
        self._state.metrics.calls.inc(
            {'call': 'order', 'result': 'failed' if failure else 'done'}
        )
        self._state.log.info(
            'backend servers are ordered',
            service=pool.service,
            data_centre=pool.data_centre,
            reclaimable=pool.reclaimable,
            count=count,
            have=self._fleet.serving(pool),
            number=holder.fencing,
            failure=str(failure) if failure else None,
        )
        if failure is None:
            serving = self._fleet.serving(pool)
            if pool.reclaimable and count > serving:
                self._end_shortage(pool.service)
            self._ordered[pool] = fleet_plan.Order(count, clock.now(), serving)
        else:
            self._retry_at[pool] = clock.now() + RETRY_DELAY_S
            self._handle_failed_order(pool, holder.fencing, failure)

    def _end_shortage(self, service: ids.ServiceName) -> None:
        """Order reclaimable servers at once where they were refused."""
        self._fleet.record_availability(service)
        for key in list(self._retry_at):
            if isinstance(key, fleet_plan.ServerPool) and (
                key.service == service and key.reclaimable
            ):
                del self._retry_at[key]

    def _handle_failed_order(
        self,
        pool: fleet_plan.ServerPool,
        number: ids.FencingNumber,
        failure: errors.Failure,
    ) -> None:
        checks_numbers = self._state.settings.bounds.require_fence
        if failure.kind is errors.FailureKind.CONFLICT:
            if checks_numbers:
                self._doubt_term(pool if pool.reclaimable else None)
            elif pool.reclaimable:
                self._fleet.record_refusal(pool.service, clock.now())
        elif checks_numbers and failure.outcome is types.Outcome.UNKNOWN:
            # It may be carried out after the next order, unless that one
            # has a higher number.
            self._spent = max(self._spent, number)
            self._next_read_at = 0.0


def _encode_term(row: duty_lease.TermRow) -> dict[str, object]:
    return {
        'holder': row.holder,
        'started': row.started,
        'number': row.number,
        'until_ms': row.until_ms,
    }


def _decode_term(value: Any) -> duty_lease.TermRow:
    """Decode the row of the term.

    Raises
    ------
    KeyError, TypeError, ValueError, OverflowError
        Another program has written it.
    """
    return duty_lease.TermRow(
        ids.NodeId(str(value['holder'])),
        int(value['started']),
        ids.FencingNumber(int(value['number'])),
        float(value['until_ms']),
    )
