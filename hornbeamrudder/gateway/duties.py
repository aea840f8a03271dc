"""Carries out the duties of one node at a time: usage reports and orders."""

import asyncio
import collections
import dataclasses
from typing import Any, Mapping

from . import clock
from ..core import errors
from ..core import ids
from . import duty_lease
from . import fleet_policy
from . import node_state
from . import records
from . import usage

TABLE = 'duty'
KEY = 'term'
STEP_S = 0.1
# A node that hears the holder leaves the row alone.
HOLDER_SILENT_S = 1.0
# Pause between looks at the row while another node holds the term.
LOOK_S = 0.8
# Pause after a call that failed.
RETRY_S = 1.5
# An order that has not led to what was ordered is sent again.
REORDER_S = 6.0
# After a refused order, reclaimable servers count as not to be had this long.
NONE_MEMORY_S = 3.0


class Duties:
    """Duties of this node while it holds the term."""

    def __init__(
        self,
        state: node_state.NodeState,
        store: Any,
        cloud: Any,
        platform: Any,
    ) -> None:
        self.term: duty_lease.Term | None = None
        self._state = state
        self._store = store
        self._cloud = cloud
        self._platform = platform
        self._look_at = 0.0
        self._ordered: dict[fleet_policy.Kind, tuple[int, float]] = {}
        self._retry_at: dict[object, float] = {}
        self._reported: dict[int, Mapping[str, int]] = {}
        self._done: set[int] = set()
        self._demand: dict[ids.ServiceName, fleet_policy.Demand] = {}
        self._refused_at: dict[ids.ServiceName, float] = {}
        self._busy: set[object] = set()
        self._holder_heard_at = clock.now()

    @property
    def number(self) -> int:
        """Number of the term that this node holds; 0 for none."""
        held = duty_lease.may_act(self.term, clock.now())
        return self.term.number if held and self.term else 0

    def heard_holder(self) -> None:
        """Note that another node reports to hold the term."""
        self._holder_heard_at = clock.now()

    async def run(self) -> None:
        """Hold the term where possible, and act while it lasts."""
        while True:
            await asyncio.sleep(STEP_S)
            await self._hold()
            if duty_lease.may_act(self.term, clock.now()):
                self._act()

    def holder(self) -> Any | None:
        """Return who acts, for one call; None where the term has ended."""
        term = self.term
        if term is None or not duty_lease.may_act(term, clock.now()):
            return None
        return self._platform.Holder(self._state.settings.node, term.number)

    # Term

    async def _hold(self) -> None:
        now = clock.now()
        state = self._state
        if state.stopping or now < self._look_at:
            return
        if self.term is not None and now < self.term.renew_at:
            return
        if self.term is None and now - self._holder_heard_at < HOLDER_SILENT_S:
            return
        self._look_at = now + LOOK_S * state.rng.uniform(0.5, 1.5)
        read = await self._store.read(TABLE, timeout_s=0.8)
        if isinstance(read, errors.Failure):
            return
        row = next((item for item in read.rows if item.key == KEY), None)
        seen = duty_lease.Seen(
            _decode_term(row.value) if row else None,
            row.version if row else 0,
            read.steady_ms,
            read.sent_at,
            read.received_at,
        )
        proposal = duty_lease.propose(
            seen,
            state.settings.node,
            state.started,
            state.settings.bounds.lease_s,
            clock.now(),
            self.term.number if self.term else None,
        )
        if proposal is None:
            self._lose('another node holds it')
            return
        await self._write(seen, proposal)

    async def _write(
        self, seen: duty_lease.Seen, proposal: duty_lease.Proposal
    ) -> None:
        state = self._state
        platform = self._platform
        written = await self._store.write(
            (platform.Put(TABLE, KEY, _encode_term(proposal.row)),),
            (platform.Expect(TABLE, KEY, seen.version),),
            timeout_s=0.8,
        )
        if isinstance(written, errors.Failure):
            # The write may still be carried out; the row is read again.
            return
        if isinstance(written, platform.Conflict):
            self._lose('another node took it')
            return
        new = self.term is None or self.term.number != proposal.row.number
        self.term = duty_lease.accepted(
            proposal,
            written.version,
            state.settings.bounds.lease_s,
            clock.now(),
        )
        self._look_at = 0.0
        if new:
            self._ordered.clear()
            self._reported.clear()
            self._done.clear()
            state.log.info(
                'duties are taken', number=self.term.number, row=seen.version
            )

    def _lose(self, reason: str) -> None:
        if self.term is not None:
            self._state.log.info(
                'duties are lost', number=self.term.number, reason=reason
            )
        self.term = None

    # Acts

    def _act(self) -> None:
        if self._platform.USAGE_DUTY in self._state.settings.duties:
            self._report_usage()
        if self._platform.SCALING_DUTY in self._state.settings.duties:
            self._order_servers()

    def _start(self, key: object, action: Any) -> None:
        """Start an action unless it runs or failed a moment ago."""
        if key in self._busy or clock.now() < self._retry_at.get(key, 0.0):
            action.close()
            return
        self._busy.add(key)
        task = asyncio.get_running_loop().create_task(action)
        task.add_done_callback(lambda _: self._busy.discard(key))

    def _report_usage(self) -> None:
        state = self._state
        now = state.peers.true_time()
        present = state.usage.window_at(now)
        for window in range(present - usage.LOOK_BACK, present):
            if window in self._done:
                continue
            age = now - (window + 1) * state.settings.bounds.usage_window_s
            if age >= usage.SETTLE_S:
                self._start(('usage', window), self._report(window))

    async def _report(self, window: int) -> None:
        state = self._state
        counts = self._reported.get(window)
        if counts is None:
            counts = await self._settle(window)
            if counts is None:
                self._retry_at['usage', window] = clock.now() + RETRY_S
                return
            self._reported[window] = counts
        holder = self.holder()
        if holder is None:
            return
        if not counts:
            self._done.add(window)
            return
        failure = await self._cloud.report_usage(holder, window, counts)
        state.measures.calls.inc(
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
            self._done.add(window)
        else:
            self._retry_at['usage', window] = clock.now() + RETRY_S

    async def _settle(self, window: int) -> Mapping[str, int] | None:
        """Fix the counts of a window, once for all holders.

        Returns
        -------
        mapping or None
            None where rows are missing or the store does not answer.
        """
        state = self._state
        platform = self._platform
        bounds = state.settings.bounds
        key = usage.report_key(window)
        fixed = await self._store.read(usage.REPORT_TABLE, key, key + '\x00')
        if isinstance(fixed, errors.Failure):
            return None
        if fixed.rows and isinstance(fixed.rows[0].value, dict):
            counts: Mapping[str, int] = fixed.rows[0].value
            return counts
        rows = await self._store.read(usage.TABLE, *usage.window_range(window))
        if isinstance(rows, errors.Failure):
            return None
        total = usage.add_up((row.key, row.value) for row in rows.rows)
        expected = state.peers.heard_nodes() | {state.settings.node}
        complete = expected <= total.nodes
        if not usage.is_due(
            window,
            bounds.usage_window_s,
            bounds.usage_late_s,
            state.peers.true_time(),
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
                    for row in rows.rows[:90]
                ),
            ),
            (platform.Expect(usage.REPORT_TABLE, key, 0),),
        )
        if isinstance(written, (errors.Failure, platform.Conflict)):
            # Read again: another holder, or a write without an answer.
            return None
        return total.requests_by_account

    def _order_servers(self) -> None:
        configuration = self._state.configuration
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            if service.scaling is None:
                continue
            wanted = fleet_policy.wanted(
                service, self._observe(service), self._fleet(service)
            )
            for kind, count in wanted.items():
                ordered, at = self._ordered.get(kind, (None, 0.0))
                if ordered == count and (
                    self._have(kind) >= count or clock.now() - at < REORDER_S
                ):
                    continue
                other = dataclasses.replace(kind, reclaimable=True)
                if kind != other and other in self._busy:
                    # Orders of one data centre go out one after another.
                    continue
                self._start(kind, self._order(kind, count))

    def _observe(self, service: records.BackendService) -> fleet_policy.Demand:
        running = sum(
            record.running + record.peer_running
            for record in self._state.servers.of_service(service.name)
        )
        waiting = len(
            self._state.queue_by_service[service.name]
        ) + self._state.peers.waiting(service.name)
        demand = fleet_policy.observed(
            self._demand.get(service.name, fleet_policy.Demand()),
            running + waiting,
            clock.now(),
        )
        self._demand[service.name] = demand
        return demand

    def _fleet(self, service: records.BackendService) -> fleet_policy.Fleet:
        counts: dict[bool, collections.Counter[ids.DataCentreName]] = {
            True: collections.Counter(),
            False: collections.Counter(),
        }
        for record in self._state.servers.of_service(service.name):
            if record.usable and record.missing_since is None:
                counts[record.entry.reclaimable][record.entry.data_centre] += 1
        refused_at = self._refused_at.get(service.name, float('-inf'))
        return fleet_policy.Fleet(
            counts[True],
            counts[False],
            clock.now() - refused_at < NONE_MEMORY_S,
        )

    def _have(self, kind: fleet_policy.Kind) -> int:
        return sum(
            1
            for record in self._state.servers.of_service(kind.service)
            if record.usable
            and record.entry.data_centre == kind.data_centre
            and record.entry.reclaimable == kind.reclaimable
        )

    async def _order(self, kind: fleet_policy.Kind, count: int) -> None:
        holder = self.holder()
        if holder is None:
            return
        failure = await self._cloud.order_servers(
            holder, kind.service, kind.data_centre, count, kind.reclaimable
        )
        self._state.measures.calls.inc(
            {'call': 'order', 'result': 'failed' if failure else 'done'}
        )
        self._state.log.info(
            'backend servers are ordered',
            service=kind.service,
            data_centre=kind.data_centre,
            reclaimable=kind.reclaimable,
            count=count,
            have=self._have(kind),
            number=holder.fencing,
            failure=str(failure) if failure else None,
        )
        if failure is None:
            self._ordered[kind] = (count, clock.now())
        else:
            self._retry_at[kind] = clock.now() + RETRY_S
            if (
                kind.reclaimable
                and failure.kind is errors.FailureKind.CONFLICT
            ):
                self._refused_at[kind.service] = clock.now()


def _encode_term(row: duty_lease.TermRow) -> dict[str, object]:
    return {
        'holder': row.holder,
        'started': row.started,
        'number': row.number,
        'until_ms': row.until_ms,
    }


def _decode_term(value: Any) -> duty_lease.TermRow | None:
    if not isinstance(value, dict):
        return None
    return duty_lease.TermRow(
        ids.NodeId(str(value['holder'])),
        int(value['started']),
        ids.FencingNumber(int(value['number'])),
        float(value['until_ms']),
    )
