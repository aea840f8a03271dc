"""A node's part in the roll-outs: which servers requests may go to; no I/O.

Every node learns the order and the state from the store, counts its answers
by version and judges the sums over all nodes itself. Sending less needs no
agreement, so a node that finds the version to be bad stops at once; only the
holder of the duties makes the steps that send it more.
"""

import dataclasses
import random
from typing import Any, Callable, Iterable, Mapping

from . import choice
from ..core import ids
from . import evidence
from ..gateway import clock
from ..gateway import records
from ..gateway import server_registry
from ..gateway import shared_sums
from . import judgement
from . import shared
from . import split
from . import state

# Age of the store's confirmation after which the state may have changed.
CONFIRMED_S = 3.0
# Lead of the moves off the old servers before these are to be empty.
MOVE_LEAD_S = 1.3


class RollOuts:
    """Roll-outs of all services at one node.

    Parameters
    ----------
    permitted : callable
        What a bad version may get; None if the deployment knows no roll-outs.
    nodes : callable
        Number of nodes.
    cluster_time : callable
        Unix time by the median of the nodes' clocks, in seconds.
    on_answer : callable
        Called with service, version and quality of each answer.

    Attributes
    ----------
    confirmed_at : float
        Time on `clock.now` of the latest call to the store that confirmed the
        states.
    on_ending : callable
        Called with a server, and in how many seconds it may end.
    on_kept : callable
        Called with a server that does not end after all.
    """

    def __init__(
        self,
        sums: shared_sums.SharedSums,
        servers: server_registry.ServerRegistry,
        permitted: Callable[[], split.Permitted | None],
        nodes: Callable[[], int],
        cluster_time: Callable[[], float],
        rng: random.Random,
        log: Any,
        on_answer: Callable[[str, str, str], None],
    ) -> None:
        self.by_service: dict[ids.ServiceName, judgement.ServiceRollOut] = {}
        self.confirmed_at = float('-inf')
        self.on_ending: Callable[
            [server_registry.ServerRecord, float], None
        ] = lambda record, in_s: None
        self.on_kept: Callable[[server_registry.ServerRecord], None] = (
            lambda record: None
        )
        self._sums = sums
        self._servers = servers
        self._permitted = permitted
        self._nodes = nodes
        self._cluster_time = cluster_time
        self._rng = rng
        self._log = log
        self._on_answer = on_answer

    # Orders and states

    @property
    def is_enabled(self) -> bool:
        """Whether the deployment has bounds on roll-outs."""
        return self._permitted() is not None

    def is_active(self) -> bool:
        """Return whether a roll-out is in progress, or about to begin."""
        return any(known.is_active for known in self.by_service.values())

    def confirm(self, sent_at: float) -> None:
        """Record a call to the store that confirmed the states."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def set_order(
        self, service: ids.ServiceName, order: state.Order | None
    ) -> None:
        """Set or remove the present order of a service."""
        if not self.is_enabled or (
            order is None and service not in self.by_service
        ):
            return
        known = self.by_service.setdefault(
            service, judgement.ServiceRollOut(service)
        )
        if known.order == order:
            return
        if order is None:
            self._log.info('roll-out is taken back', service=service)
        else:
            self._log.info(
                'roll-out is ordered',
                service=service,
                target=order.target,
                duration_s=order.duration_s,
                order=order.number,
            )
        self._leave_topic(known)
        known.order = order
        if order is not None:
            known.forget_figures()

    def keep_orders(self, present: Iterable[ids.ServiceName]) -> None:
        """Remove the orders of all services but those of a snapshot."""
        for service in self.by_service.keys() - set(present):
            self.set_order(service, None)

    def set_state(self, rollout: state.RollOut, row_version: int) -> None:
        """Apply a row with the state of a roll-out."""
        if not self.is_enabled:
            return
        known = self.by_service.setdefault(
            rollout.service, judgement.ServiceRollOut(rollout.service)
        )
        if row_version <= known.row_version:
            return
        before, known.rollout = known.rollout, rollout
        known.row_version = row_version
        if before is None or (before.order, before.phase) != (
            rollout.order,
            rollout.phase,
        ):
            self._log_step(known, before)
        if rollout.phase is state.Phase.ROLLED_BACK:
            self._keep_old_servers(known)
        if not known.is_active:
            self._leave_topic(known)

    def _leave_topic(self, known: judgement.ServiceRollOut) -> None:
        if known.order is not None or known.rollout is not None:
            self._sums.own.pop(shared.topic(known.service, known.number), None)

    def _log_step(
        self, known: judgement.ServiceRollOut, before: state.RollOut | None
    ) -> None:
        rollout = known.rollout
        assert rollout is not None
        self._log.info(
            'roll-out has made a step',
            service=rollout.service,
            target=rollout.target,
            order=rollout.order,
            before=before.phase.value if before else None,
            phase=rollout.phase.value,
            reason=rollout.reason,
            number=rollout.number,
            row=known.row_version,
            base=rollout.base,
            barred=sorted(rollout.barred),
            **dataclasses.asdict(rollout.counts),
        )

    # Choice of the version

    def choices(
        self, service: ids.ServiceName, may_try: bool = True
    ) -> tuple[choice.Accepts, ...]:
        """Return which servers a request may go to, the first preferred.

        Parameters
        ----------
        may_try : bool
            Whether the request may be one of a trial.
        """
        known = self.by_service.get(service)
        if known is None or (known.rollout is None and known.order is None):
            return (choice.accept_all,)
        if known.is_pending:
            return (choice.until_known(known, self._servers),)
        rollout = known.rollout
        assert rollout is not None
        phase = self._phase(known, rollout)
        return tuple(
            choice.of_side(known, rollout, side, phase)
            for side in split.sides(
                phase,
                bool(known.halted) or known.order is None,
                self._is_confirmed(known),
                may_try and self._is_drawn(known, rollout),
            )
        )

    def stays(
        self, service: ids.ServiceName, source: records.BackendServer
    ) -> choice.Accepts:
        """Return where a run may go on: at its own version while it lasts."""
        known = self.by_service.get(service)
        accepts = choice.own_version(known, source) if known else None
        return accepts or self.choices(service, may_try=False)[0]

    def lasting(
        self, service: ids.ServiceName
    ) -> tuple[choice.Basis, choice.Accepts]:
        """Return the servers that carry a service's requests for longer."""
        known = self.by_service.get(service)
        if known is None:
            return choice.Basis(), choice.accept_all
        return choice.lasting(known, self._servers)

    def is_ending(self, entry: records.BackendServer) -> bool:
        """Whether the runs of a server are moved to the new version."""
        known = self.by_service.get(entry.service)
        return known is not None and entry.id in known.moved_off

    def _phase(
        self, known: judgement.ServiceRollOut, rollout: state.RollOut
    ) -> state.Phase:
        """Return the phase; other nodes may have read it before this one."""
        if not rollout.phase.is_over and known.others.node.confirmed:
            return state.Phase.TRANSFER
        return rollout.phase

    def _is_confirmed(self, known: judgement.ServiceRollOut) -> bool:
        return (
            clock.now() - self.confirmed_at < CONFIRMED_S
            or known.others.node.confirmed > 0
        )

    def _is_drawn(
        self, known: judgement.ServiceRollOut, rollout: state.RollOut
    ) -> bool:
        permitted = self._permitted()
        is_last = rollout.phase is state.Phase.LOAD and (
            self._cluster_time() - rollout.since >= state.LOAD_S
        )
        if permitted is None or not split.is_entitled(
            known.own, permitted, self._nodes(), is_last
        ):
            return False
        # The nodes' own parts add up to less than this.
        node = known.totals.node
        if node.sent >= permitted.share * node.requests + permitted.slack:
            return False
        return (
            rollout.phase in state.TRIALS
            and self._rng.random() < known.trial_share
        )

    # Counting

    def record_request(self, service: ids.ServiceName) -> None:
        """Count a request of a client."""
        known = self.by_service.get(service)
        if known is not None and known.is_active:
            known.own = dataclasses.replace(
                known.own, requests=known.own.requests + 1
            )

    def record_placement(self, entry: records.BackendServer) -> None:
        """Count a request for which a slot was reserved."""
        known = self.by_service.get(entry.service)
        if (
            known is not None
            and known.is_active
            and entry.version == self._target(known)
        ):
            known.own = dataclasses.replace(known.own, sent=known.own.sent + 1)

    def _target(
        self, known: judgement.ServiceRollOut
    ) -> state.SoftwareVersion | None:
        if known.order is not None:
            return known.order.target
        return known.rollout.target if known.rollout else None

    def record_answer(
        self, record: server_registry.ServerRecord, answer: judgement.Answer
    ) -> evidence.Quality:
        """Count an answer of a backend server; return its quality."""
        entry = record.entry
        known = self.by_service.get(entry.service)
        if known is None or known.rollout is None:
            return evidence.Quality.IGNORED
        quality = judgement.record_answer(known, record, answer)
        if quality.is_bad or (
            quality is evidence.Quality.GOOD and not answer.is_counted
        ):
            self._on_answer(entry.service, entry.version, quality.value)
        return quality

    # Periodic work

    def step(self) -> None:
        """Exchange figures with the other nodes, and judge their sums."""
        for known in self.by_service.values():
            if known.is_active:
                self._publish(known)
                self._update_trial(known)
                self._judge(known)
                self._end_old_servers(known)

    def _publish(self, known: judgement.ServiceRollOut) -> None:
        rollout = known.rollout
        topic = shared.topic(known.service, known.number)
        known.others = shared.unpack(self._sums.others(topic))
        has_transferred = (
            rollout is not None
            and not known.is_pending
            and not known.halted
            and known.order is not None
            and self._phase(known, rollout) is state.Phase.TRANSFER
        )
        is_fresh = clock.now() - self.confirmed_at < CONFIRMED_S
        known.own_totals = dataclasses.replace(
            known.own_totals,
            node=shared.NodeFigures(
                int(has_transferred and is_fresh),
                int(has_transferred and self._is_confirmed(known)),
                self._outside_runs(known),
                int(bool(known.halted)),
                known.own.requests,
                known.own.sent,
            ),
        )
        self._sums.publish(topic, shared.pack(known.own_totals))
        known.totals = shared.unpack(self._sums.total(topic))

    def _outside_runs(self, known: judgement.ServiceRollOut) -> int:
        target = self._target(known)
        return sum(
            record.running
            for record in self._servers.of_service(known.service)
            if record.entry.version != target
        )

    def _update_trial(self, known: judgement.ServiceRollOut) -> None:
        permitted = self._permitted()
        if known.rollout is None or known.is_pending or permitted is None:
            return
        usable = self._usable_by_side(known.rollout)
        new, old = usable[state.Side.NEW], usable[state.Side.OLD]
        part = split.trial_part(
            permitted,
            known.rollout.phase,
            self._cluster_time() - known.rollout.since,
        )
        size = split.trial_size(part, len(new), len(old))
        # All nodes agree on the servers, so that these get their load.
        new.sort(key=lambda record: record.id_hash)
        known.trial_servers = frozenset(
            record.entry.id for record in new[:size]
        )
        known.trial_share = split.trial_share(part, size, len(old))

    def _usable_by_side(
        self, rollout: state.RollOut
    ) -> Mapping[state.Side, list[server_registry.ServerRecord]]:
        by_side: dict[state.Side, list[server_registry.ServerRecord]] = {
            side: [] for side in state.Side
        }
        for record in self._servers.of_service(rollout.service):
            if record.usable and record.missing_since is None:
                by_side[rollout.side(record.entry.version)].append(record)
        return by_side

    def _judge(self, known: judgement.ServiceRollOut) -> None:
        rollout = known.rollout
        if (
            rollout is None
            or known.is_pending
            or rollout.phase not in judgement.JUDGED
        ):
            return
        servers = (
            len(known.trial_servers)
            if rollout.phase in state.TRIALS
            else len(self._usable_by_side(rollout)[state.Side.NEW])
        )
        failure = judgement.judge(known, servers)
        if not failure or known.halted:
            return
        known.halted = failure
        totals = known.totals
        self._log.info(
            'version is found to be bad',
            service=known.service,
            target=rollout.target,
            order=rollout.order,
            phase=rollout.phase.value,
            reason=failure,
            servers=servers,
            bad_by_server=sorted(
                (figures.bad for figures in totals.by_server.values()),
                reverse=True,
            ),
            **dataclasses.asdict(totals.counts()),
        )
        self._keep_old_servers(known)

    def _end_old_servers(self, known: judgement.ServiceRollOut) -> None:
        """Move runs off the old servers shortly before they are to end."""
        rollout = known.rollout
        if (
            rollout is None
            or known.is_pending
            or known.halted
            or rollout.phase is not state.Phase.TRANSFER
        ):
            return
        in_s = rollout.ends_at - self._cluster_time()
        if in_s > MOVE_LEAD_S:
            return
        for record in self._servers.of_service(known.service):
            entry = record.entry
            if (
                record.running
                and rollout.side(entry.version) is not state.Side.NEW
                and entry.id not in known.moved_off
            ):
                known.moved_off.add(entry.id)
                self.on_ending(record, max(0.0, in_s))

    def _keep_old_servers(self, known: judgement.ServiceRollOut) -> None:
        for server in known.moved_off:
            record = self._servers.by_id.get(server)
            if record is not None and record.leaving_since is None:
                self.on_kept(record)
        known.moved_off.clear()
