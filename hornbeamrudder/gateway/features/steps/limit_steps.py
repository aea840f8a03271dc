"""Steps for rate limits and retry budgets that all nodes share."""

import collections
import random

import behave

from hornbeamrudder.core import ids
from hornbeamrudder.gateway import hubs
from hornbeamrudder.gateway import peers
from hornbeamrudder.gateway import quota
from hornbeamrudder.gateway import retry_budget

RATE_PER_S = 40000.0
SLACK_UNITS = 140000.0
OVERAGE_SHARE = 0.1
WINDOW_S = 8.0
STEP_S = 0.01


class QuotaNode:
    """Node that applies the limit of one account.

    Attributes
    ----------
    report_at_by_node : dict
        Time of the latest report of each other node.
    """

    def __init__(self, number, started, rate=RATE_PER_S):
        self.rate = rate
        self.id = ids.NodeId(f'n{number}')
        self.started = started
        self.report_at_by_node = {}
        self.bucket = None
        self.peer_totals = quota.PeerTotals()

    def limit(self, now, node_count, fresh_s):
        """Return the limit that this node applies.

        Parameters
        ----------
        node_count : int
            Number of nodes.
        fresh_s : float
            Age up to which a report counts as current.
        """
        fresh_count = sum(
            now - at < fresh_s for at in self.report_at_by_node.values()
        )
        return quota.Limit(
            self.rate,
            self.rate + quota.extra_burst(SLACK_UNITS),
            (1 + fresh_count) / node_count,
            quota.extra_burst(SLACK_UNITS),
            WINDOW_S,
            node_count,
            fresh_s / peers.FRESH_REPORTS,
        )

    def ensure_bucket(self, now, node_count, fresh_s):
        """Create the bucket unless it exists."""
        if self.bucket is None:
            self.bucket = quota.initial_bucket(
                self.limit(now, node_count, fresh_s), now
            )


def _is_connected(conditions, sender, receiver, now):
    if not 3 <= now < 9:
        return True
    if conditions == 'a network partition':
        return (sender < 3) == (receiver < 3)
    return conditions != 'isolation of all nodes'


@behave.when(
    'an account sends {factor:g} times its limit through {node_count:d} nodes'
    ' during "{conditions}"'
)
def send_from_account(context, factor, node_count, conditions):
    send_load(context, RATE_PER_S, factor, node_count, conditions)


@behave.when(
    'an account of {rate:d} units per second sends {factor:g} times its limit'
    ' through {node_count:d} nodes'
)
def send_from_large_account(context, rate, factor, node_count):
    send_load(context, float(rate), factor, node_count, 'normal operation')


def send_load(context, rate, factor, node_count, conditions):
    """Simulate requests for 16 s; record the admitted and refused ones."""
    context.rate = rate
    rng = random.Random(7)
    nodes = [QuotaNode(number, 1, rate) for number in range(node_count)]
    report_interval_s = peers.interval_s(node_count)
    if node_count > hubs.MAX_DIRECT_NODES:
        # A report takes two hops: to a hub, and in a digest of the hub.
        report_interval_s *= 2
    fresh_s = peers.FRESH_REPORTS * report_interval_s
    admitted, refused = [], 0
    unsent_units = 0.0
    now = -2.0
    while now < 16:
        now += STEP_S
        for number, node in enumerate(nodes):
            restarts = (
                conditions == 'random restarts' and rng.random() < STEP_S / 4
            )
            if (
                conditions == 'a restart of all nodes'
                and abs(now - 5) < STEP_S / 2
            ):
                restarts = True
            if restarts:
                nodes[number] = node = QuotaNode(
                    number, node.started + 1, rate
                )
            node.ensure_bucket(now, node_count, fresh_s)
            if rng.random() < STEP_S / report_interval_s:
                for receiver, peer in enumerate(nodes):
                    if receiver == number or rng.random() < 0.02:
                        continue
                    if not _is_connected(conditions, number, receiver, now):
                        continue
                    peer.ensure_bucket(now, node_count, fresh_s)
                    peer.report_at_by_node[node.id] = now
                    limit = peer.limit(now, node_count, fresh_s)
                    increments = peer.peer_totals.update(
                        node.id, node.started, {'a': node.bucket.spent}
                    )
                    if 'a' in increments:
                        peer.bucket = quota.apply_report(
                            quota.refilled(peer.bucket, limit, now),
                            limit,
                            increments['a'],
                            quota.known_remaining(node.bucket, limit),
                        )
        if now < 0:
            continue
        unsent_units += factor * rate * STEP_S
        while unsent_units > 0:
            units = rng.uniform(200, 6000)
            unsent_units -= units
            is_skewed = conditions == 'skewed traffic' and rng.random() < 0.9
            node = nodes[0 if is_skewed else rng.randrange(node_count)]
            node.bucket, wait_s = quota.take(
                node.bucket, node.limit(now, node_count, fresh_s), units, now
            )
            if wait_s is None:
                admitted.append((now, units))
            else:
                refused += 1
    context.admitted, context.refused = admitted, refused


@behave.then(
    'no window of 8 seconds exceeds the limit by more than the tolerance'
)
def check_sliding_windows(context):
    rate = context.rate
    max_units = (rate * WINDOW_S + rate) * (1 + OVERAGE_SHARE) + SLACK_UNITS
    window = collections.deque()
    total = largest = 0.0
    for at, units in context.admitted:
        window.append((at, units))
        total += units
        while window[0][0] < at - WINDOW_S:
            total -= window.popleft()[1]
        largest = max(largest, total)
    assert largest <= max_units, (largest, max_units)
    assert largest > 0.3 * rate * WINDOW_S, largest


@behave.then('none of its requests is refused')
def check_none_refused(context):
    assert not context.refused, (context.refused, len(context.admitted))


@behave.then('at most {max_percent:d} % of its requests are refused')
def check_few_refused(context, max_percent):
    total_count = context.refused + len(context.admitted)
    assert context.refused * 100 <= max_percent * total_count, (
        context.refused,
        total_count,
    )


@behave.when(
    'a share of {failure_share:g} of the first attempts fails on 7 nodes at'
    ' {rate:d} requests per second'
)
def fail_first_attempts(context, failure_share, rate):
    rng = random.Random(3)
    service = ids.ServiceName('s')
    nodes = [retry_budget.RetryBudget(0.2, 10.0, 54.0) for _ in range(7)]
    context.first_attempts, context.retries = [], []
    for number in range(rate * 30):
        now = number / rate
        node = rng.choice(nodes)
        node.record_first_attempt(service, now)
        context.first_attempts.append(now)
        if rng.random() < failure_share and node.allows_retry(service, 7, now):
            node.record_retry(service, now)
            context.retries.append(now)


@behave.then(
    'no window of 10 seconds contains more retries than the budget allows'
)
def check_retries(context):
    for end in range(1, 31):
        retries = [at for at in context.retries if end - 10 <= at < end]
        first_attempts = [
            at for at in context.first_attempts if end - 10 <= at < end
        ]
        assert len(retries) <= 0.2 * len(first_attempts) + 54, end
    assert context.retries
