"""State of a node that its parts share; nothing of it outlives the process."""

import collections
import dataclasses
import random
from typing import Any, Mapping

from . import clock
from ..core import ids
from . import measures
from . import peers
from . import quota
from . import records
from . import retry_budget
from . import server_registry
from . import usage
from . import waiting

# Prompt tokens that an engine reads in a millisecond, until it is known.
FIRST_TOKENS_PER_MS = 50.0
# Weight of the newest sample in the moving average.
SPEED_WEIGHT = 0.05
# Samples outside are due to other work of the engine.
MIN_TOKENS_PER_MS = 5.0
MAX_TOKENS_PER_MS = 400.0


@dataclasses.dataclass(slots=True)
class NodeState:
    """Everything that a node believes.

    Attributes
    ----------
    confirmed_at : float
        Time on `clock.now` at which a call to the store was sent whose
        answer said that `configuration` is the newest.
    last_stream_at : float
        Time after which a stopping node starts no more streams, which it
        could not complete.
    speed_by_service : dict
        Prompt tokens read in a millisecond by one engine.
    """

    settings: records.NodeSettings
    started: int
    log: Any
    measures: measures.Measures
    servers: server_registry.ServerRegistry
    peers: peers.Peers
    usage: usage.Counter
    retry_budget: retry_budget.RetryBudget
    rng: random.Random
    configuration: records.Configuration | None = None
    confirmed_at: float = float('-inf')
    stopping: bool = False
    last_stream_at: float = float('inf')
    bucket_by_account: dict[ids.AccountId, quota.Bucket] = dataclasses.field(
        default_factory=dict
    )
    queue_by_service: dict[ids.ServiceName, waiting.WaitQueue] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(waiting.WaitQueue)
        )
    )
    speed_by_service: dict[ids.ServiceName, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            lambda: FIRST_TOKENS_PER_MS
        )
    )

    def confirmed_age(self) -> float:
        """Seconds since the configuration was known to be current."""
        return clock.now() - self.confirmed_at

    def limit(self, account: records.ClientAccount) -> quota.Limit:
        """Limit of an account, as this node may use it now."""
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
        )

    def bucket(self, account: records.ClientAccount) -> quota.Bucket:
        """Bucket of an account."""
        found = self.bucket_by_account.get(account.id)
        if found is None:
            found = quota.initial_bucket(self.limit(account), clock.now())
        return found

    def fill_buckets(self) -> None:
        """Start the buckets of new accounts, before their first request."""
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
        """Count a request; returns the seconds to wait if it is refused."""
        bucket, wait_s = quota.take(
            self.bucket(account), self.limit(account), units, clock.now()
        )
        self.bucket_by_account[account.id] = bucket
        return wait_s

    def give_back_units(
        self, account: records.ClientAccount, units: float
    ) -> None:
        """Undo `take_units` for a request that did not run."""
        found = self.bucket_by_account.get(account.id)
        if found is not None:
            self.bucket_by_account[account.id] = quota.refund(
                found, self.limit(account), units
            )

    def take_admitted(
        self,
        news: Mapping[str, float | None],
        units_by_account: Mapping[str, tuple[float, float]],
    ) -> None:
        """Take what other nodes have admitted out of the buckets.

        Parameters
        ----------
        news : mapping
            Units by account, as `quota.apply_report` gets them.
        units_by_account : mapping
            The report that it comes from.
        """
        if self.configuration is None:
            return
        now = clock.now()
        for name, units in news.items():
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

    def learn_speed(
        self, service: ids.ServiceName, tokens_per_ms: float
    ) -> None:
        """Take in one measured speed."""
        known = self.speed_by_service[service]
        self.speed_by_service[service] = known + SPEED_WEIGHT * (
            min(max(tokens_per_ms, MIN_TOKENS_PER_MS), MAX_TOKENS_PER_MS)
            - known
        )
