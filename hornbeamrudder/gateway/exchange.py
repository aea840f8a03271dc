"""Exchange of reports and digests between nodes.

In large deployments some nodes are hubs: they aggregate the reports that they
receive and return the sums as digests (see `hubs`).
"""

from typing import Callable, Iterable, Mapping

from . import clock
from ..core import ids
from . import digests
from . import node_state
from . import peers
from . import quota
from . import reports
from . import shared_sums
from . import table_relay
from . import usage

# Consecutive reports that include a changed total, as datagrams may be lost.
UNITS_REPEAT_REPORTS = 8
# Up to this number of accounts, reports and digests contain every account that
# was ever used: the recipient's first one then has all totals, so that it does
# not mistake an earlier total for new units.
MAX_ALL_ACCOUNTS = 40
# Standby hubs only have to be ready to take over, so they send one digest for
# this many digests of the first hub.
STANDBY_DIGEST_ROUNDS = 2
# Shortest time between two messages with usage counts, and the share of a
# usage window after which its counts are sent early.
USAGE_INTERVAL_S = 0.5
EARLY_USAGE_SHARE = 0.4
# Number of load digests for each members digest.
MEMBERS_DIGEST_ROUNDS = 2
# Longest time between the confirmations of a hub, and the shortest one.
MAX_CONFIRMATION_INTERVAL_S = 1.2
MIN_CONFIRMATION_INTERVAL_S = 0.3
# Key for the summed load of all other nodes in a hub's digest.
ALL_OTHERS = ids.NodeId('all others')


class ReportExchange:
    """Sends and handles the reports and digests of one node.

    Parameters
    ----------
    duty_number : callable
        Fencing number of the term held by this node; 0 if none.
    on_holder : callable
        Called when another node reports that it holds the term.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        relay: table_relay.TableRelay,
        duty_number: Callable[[], int],
        on_holder: Callable[[], None],
    ) -> None:
        self._state = state
        self._relay = relay
        self._duty_number = duty_number
        self._on_holder = on_holder
        self._admitted = digests.AdmittedUnits()
        self._seen_totals = quota.PeerTotals()
        self._remote_units = digests.RemoteUnits()
        self._units_changed_at: dict[str, tuple[float, float]] = {}
        self.gatherer = usage.Gatherer()
        self._sent_at = float('-inf')
        self._confirmed_at = float('-inf')
        self._usage_sent_at = float('-inf')
        # Hubs change when a node starts or one of them fails; new ones get a
        # report at once.
        self._reported_to: list[ids.NodeId] = []
        self._round = 0
        self._source: ids.NodeId | None = None

    # Receiving

    def handle_message(self, message: reports.Message) -> None:
        """Handle a message of another node."""
        self._update_source()
        match message:
            case reports.Report():
                self._handle_report(message)
            case reports.LoadDigest():
                self._handle_load_digest(message)
            case reports.MembersDigest():
                self._relay.apply_states(message.asked_at, message.tables)
                if message.duty_number:
                    self._on_holder()
            case reports.Confirmation():
                self._handle_confirmation(message)
            case reports.Suspicions():
                self._state.part_guard.apply(message)
            case shared_sums.Sums():
                self._state.sums.apply(message)
            case reports.UsageCounts():
                self.gatherer.add(
                    usage.Source(message.node, message.started),
                    message.rows_by_window,
                    self._present_window(),
                )

    def _handle_confirmation(self, message: reports.Confirmation) -> None:
        state = self._state
        if message.recipient_started != state.started:
            return
        is_news = self._relay.apply_states(message.asked_at, message.tables)
        state.usage.mark_stored(message.stored_usage)
        if message.duty_number:
            self._on_holder()
        if (
            is_news
            and self._relay.must_share_confirmations()
            and clock.now() - self._confirmed_at > MIN_CONFIRMATION_INTERVAL_S
        ):
            self.send_confirmations()

    def send_confirmations(self) -> None:
        """Tell other nodes how current the tables are at this node.

        A hub tells all nodes that report to it. Another node has read the
        tables because no hub confirmed them, and tells the hubs.
        """
        state = self._state
        peers_ = state.peers
        if not peers_.uses_hubs:
            return
        now = self._confirmed_at = clock.now()
        own = state.settings.node
        hubs = peers_.hubs()
        targets = set(hubs)
        if own in hubs:
            targets |= peers_.direct_reports().keys()
        tables = self._relay.states()
        number = max(self._duty_number(), peers_.reported_duty_number())
        for node in targets - {own}:
            bound = peers_.clock_bound(node)
            if bound is None:
                continue
            confirmation = reports.Confirmation(
                own,
                state.started,
                now,
                bound.started,
                bound.clock_s,
                number,
                tables,
                self.gatherer.stored(usage.Source(node, bound.started)),
            )
            peers_.send_to(node, reports.encode(confirmation))

    def _present_window(self) -> int:
        """Return the number of the present usage window."""
        return self._state.usage.window_at(self._state.peers.cluster_time())

    def _send_usage(self, now: float) -> None:
        """Send the counts of ended windows to the hubs until one has them.

        Those of the present window are sent a few times, so that they are
        not lost if this node is killed.
        """
        state = self._state
        if now - self._usage_sent_at < USAGE_INTERVAL_S:
            return
        present = self._present_window()
        rows = state.usage.changed(present)
        if not any(window < present for window in rows) and (
            now - self._usage_sent_at
            < EARLY_USAGE_SHARE * state.settings.bounds.usage_window_s
        ):
            return
        self._usage_sent_at = now
        own = usage.Source(state.settings.node, state.started)
        self.gatherer.add(own, rows, present)
        if not rows:
            return
        data = reports.encode(
            reports.UsageCounts(state.settings.node, state.started, rows)
        )
        for hub in state.peers.hubs():
            if hub != state.settings.node:
                state.peers.send_to(hub, data)

    def _update_source(self) -> None:
        """Select the source of load data; clear stale data if it changed."""
        source = self._state.peers.source()
        hub = source.load.hub if source and source.load else None
        if hub != self._source:
            self._state.log.info(
                'source of load reports has changed',
                hub=hub,
                before=self._source,
                heard_share=round(self._state.peers.heard_share(), 2),
            )
            if (hub is None) != (self._source is None):
                self._state.servers.clear_reports()
            self._source = hub

    def _handle_report(self, report: reports.Report) -> None:
        increments = self._seen_totals.update(
            report.node,
            report.started,
            _admitted_totals(report.units_by_account),
        )
        self._admitted.count(report.node, increments, clock.now())
        if self._source is None:
            self._remote_units.count(increments)
            self._state.apply_peer_units(increments, report.units_by_account)
            self._state.servers.apply_report(
                report.node, report.load_by_server, clock.now()
            )
        if report.duty_number:
            self._on_holder()

    def _handle_load_digest(self, digest: reports.LoadDigest) -> None:
        if self._source is None:
            self._remote_units.reset_hub(digest.hub)
            return
        self._state.apply_peer_units(
            self._remote_units.apply_totals(
                digest.hub,
                digest.started,
                _admitted_totals(digest.units_by_account),
            ),
            digest.units_by_account,
        )
        if digest.hub == self._source:
            self._state.servers.apply_report(
                ALL_OTHERS,
                digest.load_by_server,
                clock.now(),
                peers.interval_s(self._state.peers.node_count),
            )

    # Sending

    def step(self) -> bool:
        """Send a report if one is due; return whether it was sent."""
        state = self._state
        now = clock.now()
        hubs = state.peers.hubs()
        state.part_guard.step()
        if hubs:
            self._step_with_hubs(now, hubs)
        interval_s = peers.interval_s(state.peers.node_count)
        if now - self._sent_at < interval_s and hubs == self._reported_to:
            return False
        self._reported_to = hubs
        self._sent_at = now
        self._update_source()
        report = self._report(now, interval_s)
        state.peers.send(report)
        state.sums.set_nodes(state.peers.live_nodes(), self._source)
        self._exchange_speeds(now)
        sums = state.sums.report()
        if sums is not None:
            state.peers.send(sums)
        if state.peers.uses_hubs:
            self._send_digests(report, now, interval_s)
        state.servers.expire_reports(now, interval_s)
        return True

    def _exchange_speeds(self, now: float) -> None:
        for record in self._state.load.exchange(now):
            self._state.log.info(
                'speed of a backend server has changed',
                server=record.entry.id,
                service=record.entry.service,
                data_centre=record.entry.data_centre,
                slowness=round(record.measured_slowness, 2),
                running=record.running + record.peer_running,
            )

    def _step_with_hubs(self, now: float, hubs: list[ids.NodeId]) -> None:
        """Send what does not wait for the interval between reports."""
        self._send_usage(now)
        if (
            self._state.settings.node in hubs
            and now - self._confirmed_at > MAX_CONFIRMATION_INTERVAL_S
        ):
            self.send_confirmations()

    def _report(self, now: float, interval_s: float) -> reports.Report:
        state = self._state
        return reports.Report(
            node=state.settings.node,
            started=state.started,
            wall=clock.wall(),
            sent_at=now,
            units_by_account=self._changed_units(
                now, UNITS_REPEAT_REPORTS * interval_s
            ),
            load_by_server=state.servers.own_load(),
            waiting_by_service={
                service: len(line)
                for service, line in state.queue_by_service.items()
                if len(line)
            },
            duty_number=self._duty_number(),
        )

    def _changed_units(
        self, now: float, repeat_s: float
    ) -> dict[str, tuple[float, float]]:
        """Return totals and remaining units of recently used accounts.

        Of all accounts that were ever used, if there are not too many.
        """
        if len(self._state.bucket_by_account) <= MAX_ALL_ACCOUNTS:
            repeat_s = float('inf')
        for name, bucket in self._state.bucket_by_account.items():
            spent, _ = self._units_changed_at.get(name, (0.0, 0.0))
            if spent != bucket.spent:
                self._units_changed_at[name] = (bucket.spent, now)
        levels = self._levels(
            now,
            [
                name
                for name, (_, changed_at) in self._units_changed_at.items()
                if now - changed_at < repeat_s
            ],
        )
        return {
            name: (self._units_changed_at[name][0], level)
            for name, level in levels.items()
        }

    def _send_digests(
        self, own: reports.Report, now: float, interval_s: float
    ) -> None:
        """Send the sums over all other nodes to each reporting node."""
        state = self._state
        received_by_node = state.peers.direct_reports()
        self._round += 1
        is_first_hub = state.peers.hubs()[:1] == [state.settings.node]
        digest_rounds = 1 if is_first_hub else STANDBY_DIGEST_ROUNDS
        if not received_by_node or self._round % digest_rounds:
            return
        with_members = (
            self._round // digest_rounds % MEMBERS_DIGEST_ROUNDS == 0
        )
        load = digests.sum_loads(
            [
                own.load_by_server,
                *(
                    item.report.load_by_server
                    for item in received_by_node.values()
                ),
            ]
        )
        repeat_s = UNITS_REPEAT_REPORTS * digest_rounds * interval_s
        if len(state.bucket_by_account) <= MAX_ALL_ACCOUNTS:
            repeat_s = float('inf')
        accounts = self._admitted.changed_since(now - repeat_s) | {
            name
            for name, (_, changed_at) in self._units_changed_at.items()
            if now - changed_at < repeat_s
        }
        levels = self._levels(now, accounts)
        members = [
            reports.node_key(node)
            for node in (state.settings.node, *received_by_node)
        ]
        number = max(
            own.duty_number,
            *(item.report.duty_number for item in received_by_node.values()),
        )
        for node, received in received_by_node.items():
            bound = state.peers.clock_bound(node)
            digest = reports.LoadDigest(
                own.node,
                own.started,
                self._units_for(node, levels),
                digests.subtract_load(load, received.report.load_by_server),
                digests.sum_counts(
                    item.report.waiting_by_service
                    for other, item in received_by_node.items()
                    if other != node and item.report.waiting_by_service
                ),
            )
            state.peers.send_bytes(received.address, reports.encode(digest))
            if with_members:
                members_digest = reports.MembersDigest(
                    own.node,
                    bound.clock_s if bound else received.report.sent_at,
                    state.peers.cluster_time(),
                    members,
                    number,
                    self._relay.states(),
                )
                state.peers.send_bytes(
                    received.address, reports.encode(members_digest)
                )
        # Limits and loads don't wait behind them on the hub's link.
        for node, sums in state.sums.digests(received_by_node):
            state.peers.send_bytes(
                received_by_node[node].address, reports.encode(sums)
            )

    def _levels(self, now: float, names: Iterable[str]) -> dict[str, float]:
        """Return the units that accounts have available at this node."""
        state = self._state
        if state.configuration is None:
            return {}
        accounts = state.configuration.accounts_by_id
        levels = {}
        for name in names:
            account = accounts.get(ids.AccountId(name))
            if account is not None and account.rate_per_s:
                limit = state.limit(account)
                levels[name] = quota.known_remaining(
                    quota.refilled(state.bucket(account), limit, now), limit
                )
        return levels

    def _units_for(
        self,
        node: ids.NodeId,
        levels: Mapping[str, float],
    ) -> dict[str, tuple[float, float]]:
        """Return units admitted by all nodes except `node`, and available."""
        buckets = self._state.bucket_by_account
        units: dict[str, tuple[float, float]] = {}
        for name, level in levels.items():
            own = buckets.get(ids.AccountId(name))
            spent = self._admitted.admitted_by_others(node, name)
            units[name] = (
                spent + (own.spent if own else 0.0),
                level,
            )
        return units


def _admitted_totals(units: reports.Units) -> dict[str, float]:
    return {name: spent for name, (spent, _) in units.items()}
