"""Sends a node's figures to other nodes, and takes in theirs.

Where there are many nodes, some of them are hubs: they add up the reports
that they get and send the sums back as digests (see `hubs`).
"""

from typing import Callable, Iterable, Mapping

from . import clock
from ..core import ids
from . import digests
from . import node_state
from . import peers
from . import quota
from . import reports
from . import table_relay

# Reports in a row that repeat what an account has used, for lost datagrams.
UNITS_MEMORY_REPORTS = 8
# With up to so many accounts, digests name all that were ever used: a node
# that starts then knows from the first one what each hub has counted.
MAX_ALL_ACCOUNTS = 40
# A hub that is not the first one sends one digest for this many of the
# first one's: it only has to be ready.
STANDBY_ROUNDS = 2
# The same for what a digest says of nodes and tables.
MEMBERS_ROUNDS = 2
# Stands for all other nodes where a hub speaks for them.
ALL_OTHERS = ids.NodeId('all others')


class Exchange:
    """Reports and digests of one node.

    Parameters
    ----------
    duty_number : callable
        Fencing number of the duties that this node holds; 0 for none.
    on_holder : callable
        Called when another node says that it holds the duties.
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
        self._seen = quota.PeerTotals()
        self._others = digests.OtherUnits()
        self._changed_at: dict[str, tuple[float, float]] = {}
        self._sent_at = float('-inf')
        self._round = 0
        self._source: ids.NodeId | None = None

    # Taking in

    def take(self, message: reports.Message) -> None:
        """Take in a message of another node."""
        self._note_source()
        match message:
            case reports.Report():
                self._take_report(message)
            case reports.LoadDigest():
                self._take_load(message)
            case reports.MembersDigest():
                self._relay.take_states(message.asked_at, message.tables)
                if message.duty_number:
                    self._on_holder()

    def _note_source(self) -> None:
        """Forget the load that the last source told of, if it changed."""
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

    def _take_report(self, report: reports.Report) -> None:
        news = self._seen.update(
            report.node, report.started, _spent(report.units_by_account)
        )
        self._admitted.count(report.node, news, clock.now())
        if self._source is None:
            self._others.count(news)
            self._state.take_admitted(news, report.units_by_account)
            self._state.servers.apply_report(
                report.node, report.load_by_server, clock.now()
            )
        if report.duty_number:
            self._on_holder()

    def _take_load(self, digest: reports.LoadDigest) -> None:
        if self._source is None:
            self._others.forget_hub(digest.hub)
            return
        self._state.take_admitted(
            self._others.news(
                digest.hub, digest.started, _spent(digest.units_by_account)
            ),
            digest.units_by_account,
        )
        if digest.hub == self._source:
            self._state.servers.apply_report(
                ALL_OTHERS, digest.load_by_server, clock.now()
            )

    # Sending

    def step(self) -> bool:
        """Send what is due; returns whether it was. Call often."""
        state = self._state
        now = clock.now()
        interval_s = peers.interval_s(state.peers.known)
        if now - self._sent_at < interval_s:
            return False
        self._sent_at = now
        self._note_source()
        report = self._report(now, interval_s)
        state.peers.send(report)
        if state.peers.uses_hubs:
            self._send_digests(report, now, interval_s)
        state.servers.expire_reports(now, interval_s)
        return True

    def _report(self, now: float, interval_s: float) -> reports.Report:
        state = self._state
        return reports.Report(
            node=state.settings.node,
            started=state.started,
            wall=clock.wall(),
            sent_at=now,
            units_by_account=self._changed_units(
                now, UNITS_MEMORY_REPORTS * interval_s
            ),
            load_by_server=state.servers.own_report(),
            waiting_by_service={
                service: len(line)
                for service, line in state.queue_by_service.items()
                if len(line)
            },
            duty_number=self._duty_number(),
        )

    def _changed_units(
        self, now: float, kept_s: float
    ) -> dict[str, tuple[float, float]]:
        """Accounts that were used here since a few reports ago."""
        for name, bucket in self._state.bucket_by_account.items():
            spent, _ = self._changed_at.get(name, (0.0, 0.0))
            if spent != bucket.spent:
                self._changed_at[name] = (bucket.spent, now)
        levels = self._levels(
            now,
            [
                name
                for name, (_, changed_at) in self._changed_at.items()
                if now - changed_at < kept_s
            ],
        )
        return {
            name: (self._changed_at[name][0], level)
            for name, level in levels.items()
        }

    def _send_digests(
        self, own: reports.Report, now: float, interval_s: float
    ) -> None:
        """Send each node that reports here the sums of all the others."""
        state = self._state
        heard_by_node = state.peers.direct_reports()
        self._round += 1
        first = state.peers.hubs()[:1] == [state.settings.node]
        rounds = 1 if first else STANDBY_ROUNDS
        if not heard_by_node or self._round % rounds:
            return
        with_members = self._round // rounds % MEMBERS_ROUNDS == 0
        load = digests.add_load(
            [
                own.load_by_server,
                *(
                    item.report.load_by_server
                    for item in heard_by_node.values()
                ),
            ]
        )
        kept_s = UNITS_MEMORY_REPORTS * rounds * interval_s
        if len(state.bucket_by_account) <= MAX_ALL_ACCOUNTS:
            kept_s = float('inf')
        accounts = self._admitted.changed_since(now - kept_s) | {
            name
            for name, (_, changed_at) in self._changed_at.items()
            if now - changed_at < kept_s
        }
        levels = self._levels(now, accounts)
        members = [
            reports.node_key(node)
            for node in (state.settings.node, *heard_by_node)
        ]
        number = max(
            own.duty_number,
            *(item.report.duty_number for item in heard_by_node.values()),
        )
        for node, heard in heard_by_node.items():
            digest = reports.LoadDigest(
                own.node,
                own.started,
                self._units_for(node, levels),
                digests.without(load, heard.report.load_by_server),
                digests.add_counts(
                    item.report.waiting_by_service
                    for other, item in heard_by_node.items()
                    if other != node and item.report.waiting_by_service
                ),
            )
            state.peers.send_bytes(heard.address, reports.encode(digest))
            if with_members:
                told = reports.MembersDigest(
                    own.node,
                    heard.report.sent_at,
                    state.peers.true_time(),
                    members,
                    number,
                    self._relay.states(),
                )
                state.peers.send_bytes(heard.address, reports.encode(told))

    def _levels(self, now: float, names: Iterable[str]) -> dict[str, float]:
        """Units that are available to accounts at this node."""
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
        """Units that this node and all others but one have admitted."""
        buckets = self._state.bucket_by_account
        units: dict[str, tuple[float, float]] = {}
        for name, level in levels.items():
            own = buckets.get(ids.AccountId(name))
            spent = self._admitted.of_others(node, name)
            units[name] = (
                spent + (own.spent if own else 0.0),
                level,
            )
        return units


def _spent(units: reports.Units) -> dict[str, float]:
    return {name: spent for name, (spent, _) in units.items()}
