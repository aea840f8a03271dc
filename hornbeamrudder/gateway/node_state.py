"""In-memory state shared by the components of a node."""

import collections
import dataclasses
import random
from typing import Any, Mapping

from . import admit
from . import byte_limits
from . import clock
from ..core import ids
from . import demand
from . import metrics
from . import part_guard
from . import peers
from . import quota
from . import records
from . import retry_budget
from ..rollouts import split
from ..rollouts import tracker
from . import server_registry
from . import service_load
from . import shared_limit
from . import shared_sums
from . import usage
from . import waiting


@dataclasses.dataclass(slots=True)
class NodeState:
    """State of a node; not persisted.

    Attributes
    ----------
    confirmed_at : float
        Time on `clock.now` at which the latest call to the store was sent
        whose response confirmed `configuration` as current.
    load : ServiceLoad
        Speeds and load of the backend servers, as all nodes know them.
    """

    settings: records.NodeSettings
    started: int
    log: Any
    metrics: metrics.Metrics
    servers: server_registry.ServerRegistry
    peers: peers.Peers
    usage: usage.Counter
    retry_budget: retry_budget.RetryBudget
    rng: random.Random
    part_guard: part_guard.PartGuard
    configuration: records.Configuration | None = None
    confirmed_at: float = float('-inf')
    stopping: bool = False
    stop_times: admit.StopTimes = admit.StopTimes()
    bucket_by_account: dict[ids.AccountId, quota.Bucket] = dataclasses.field(
        default_factory=dict
    )
    queue_by_service: dict[ids.ServiceName, waiting.WaitQueue] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(waiting.WaitQueue)
        )
    )

    held_limit: shared_limit.SharedLimit = dataclasses.field(init=False)
    held_bytes: byte_limits.HeldBytes = dataclasses.field(init=False)
    sums: shared_sums.SharedSums = dataclasses.field(init=False)
    rollouts: tracker.RollOuts = dataclasses.field(init=False)
    arrivals: demand.Arrivals = dataclasses.field(init=False)
    load: service_load.ServiceLoad = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.sums = shared_sums.SharedSums(self.settings.node, self.started)
        self.arrivals = demand.Arrivals(self.settings.data_centre)
        self.held_limit = shared_limit.for_memory(self.settings.memory_bytes)
        self.held_bytes = byte_limits.HeldBytes(self.held_limit)
        self.load = service_load.ServiceLoad(self.sums, self.servers)
        self.rollouts = tracker.RollOuts(
            self.sums,
            self.servers,
            self._permitted_exposure,
            lambda: self.peers.node_count,
            self.peers.cluster_time,
            self.rng,
            self.log,
            lambda service, version, quality: self.metrics.version_answers.inc(
                {'service': service, 'version': version, 'quality': quality}
            ),
        )

    def _permitted_exposure(self) -> split.Permitted | None:
        bounds = self.settings.bounds
        if bounds.exposure_share is None:
            return None
        return split.Permitted(bounds.exposure_share, bounds.exposure_slack)

    def confirmed_age(self) -> float:
        """Return seconds since the configuration was confirmed as current."""
        return clock.now() - self.confirmed_at

    def limit(self, account: records.ClientAccount) -> quota.Limit:
        """Return the limit of an account that applies at this node now."""
        extra = (
            quota.extra_burst(self.settings.bounds.quota_slack_tokens)
            if account.counts_tokens
            else 0.0
        )
        return quota.Limit(
            account.rate_per_s,
            account.burst + extra,
            self.peers.heard_share(),
            extra,
            self.settings.bounds.quota_window_s,
            self.peers.node_count,
            self.peers.report_delay_s(),
        )

    def bucket(self, account: records.ClientAccount) -> quota.Bucket:
        """Return the token bucket of an account."""
        found = self.bucket_by_account.get(account.id)
        if found is None:
            found = quota.initial_bucket(self.limit(account), clock.now())
        return found

    def create_buckets(self) -> None:
        """Create the buckets of new accounts before their first request."""
        if self.configuration is None:
            return
        for account in self.configuration.accounts_by_id.values():
            if account.rate_per_s:
                self.bucket_by_account.setdefault(
                    account.id, self.bucket(account)
                )

    def take_units(
        self, account: records.ClientAccount, units: float
    ) -> float | None:
        """Take units for a request; return the wait in seconds if refused."""
        bucket, wait_s = quota.take(
            self.bucket(account), self.limit(account), units, clock.now()
        )
        self.bucket_by_account[account.id] = bucket
        return wait_s

    def refund_units(
        self, account: records.ClientAccount, units: float
    ) -> None:
        """Return the units of a request that did not run."""
        found = self.bucket_by_account.get(account.id)
        if found is not None:
            self.bucket_by_account[account.id] = quota.refund(
                found, self.limit(account), units
            )

    def apply_peer_units(
        self,
        increments: Mapping[str, float | None],
        units_by_account: Mapping[str, tuple[float, float]],
    ) -> None:
        """Subtract units admitted by other nodes from the buckets.

        Parameters
        ----------
        increments : mapping
            Units by account, as `quota.apply_report` gets them.
        units_by_account : mapping
            Totals and remaining units of the report or digest.
        """
        if self.configuration is None:
            return
        now = clock.now()
        for name, units in increments.items():
            account = self.configuration.accounts_by_id.get(
                ids.AccountId(name)
            )
            if account is None or not account.rate_per_s:
                continue
            limit = self.limit(account)
            self.bucket_by_account[account.id] = quota.apply_report(
                quota.refilled(self.bucket(account), limit, now),
                limit,
                units,
                units_by_account[name][1],
            )
