"""Steps for limits and budgets that are shared by all nodes."""

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
    """Node that admits requests of one account."""

    def __init__(self, number, started, rate=RATE_PER_S):
        self.rate = rate
        self.id = ids.NodeId(f'n{number}')
        self.started = started
        self.heard = {}
        self.bucket = None
        self.seen = quota.PeerTotals()

    def limit(self, now, nodes, heard_s):
        """Return the limit that applies at this node."""
        heard = sum(now - at < heard_s for at in self.heard.values())
        return quota.Limit(
            self.rate,
            self.rate + quota.extra_burst(SLACK_UNITS),
            (1 + heard) / nodes,
            quota.extra_burst(SLACK_UNITS),
            WINDOW_S,
        )

    def ensure_bucket(self, now, nodes, heard_s):
        """Create the bucket if there is none."""
        if self.bucket is None:
            self.bucket = quota.initial_bucket(
                self.limit(now, nodes, heard_s), now
            )


def _is_connected(trouble, one, other, now):
    if not 3 <= now < 9:
        return True
    if trouble == 'cut in two':
        return (one < 3) == (other < 3)
    return trouble != 'each cut off'


@behave.when(
    'an account sends {times:g} times its limit through {count:d} nodes with'
    ' "{trouble}"'
)
def flood_account(context, times, count, trouble):
    flood(context, RATE_PER_S, times, count, trouble)


@behave.when(
    'an account of {rate:d} units a second sends {times:g} times its limit'
    ' through {count:d} nodes'
)
def flood_large_account(context, rate, times, count):
    flood(context, float(rate), times, count, 'none')


def flood(context, rate, times, count, trouble):
    """Send requests for 16 seconds; record what is admitted."""
    context.rate = rate
    rng = random.Random(7)
    nodes = [QuotaNode(number, 1, rate) for number in range(count)]
    report_s = peers.interval_s(count)
    if count > hubs.MAX_DIRECT_NODES:
        # A report takes two hops: to a hub and in the digest of the hub.
        report_s *= 2
    heard_s = peers.FRESH_REPORTS * report_s
    admitted, refused = [], 0
    demand = 0.0
    now = -2.0
    while now < 16:
        now += STEP_S
        for number, node in enumerate(nodes):
            restarts = trouble == 'restarts' and rng.random() < STEP_S / 4
            if trouble == 'all start again' and abs(now - 5) < STEP_S / 2:
                restarts = True
            if restarts:
                nodes[number] = node = QuotaNode(
                    number, node.started + 1, rate
                )
            node.ensure_bucket(now, count, heard_s)
            if rng.random() < STEP_S / report_s:
                for other, peer in enumerate(nodes):
                    if other == number or rng.random() < 0.02:
                        continue
                    if not _is_connected(trouble, number, other, now):
                        continue
                    peer.ensure_bucket(now, count, heard_s)
                    peer.heard[node.id] = now
                    limit = peer.limit(now, count, heard_s)
                    news = peer.seen.update(
                        node.id, node.started, {'a': node.bucket.spent}
                    )
                    if 'a' in news:
                        peer.bucket = quota.apply_report(
                            quota.refilled(peer.bucket, limit, now),
                            limit,
                            news['a'],
                            quota.known_remaining(node.bucket, limit),
                        )
        if now < 0:
            continue
        demand += times * rate * STEP_S
        while demand > 0:
            units = rng.uniform(200, 6000)
            demand -= units
            busy = trouble == 'one busy node' and rng.random() < 0.9
            node = nodes[0 if busy else rng.randrange(count)]
            node.bucket, wait_s = quota.take(
                node.bucket, node.limit(now, count, heard_s), units, now
            )
            if wait_s is None:
                admitted.append((now, units))
            else:
                refused += 1
    context.admitted, context.refused = admitted, refused


@behave.then('no window of 8 seconds holds more than the users tolerate')
def check_windows(context):
    rate = context.rate
    most = (rate * WINDOW_S + rate) * (1 + OVERAGE_SHARE) + SLACK_UNITS
    window = collections.deque()
    total = worst = 0.0
    for at, units in context.admitted:
        window.append((at, units))
        total += units
        while window[0][0] < at - WINDOW_S:
            total -= window.popleft()[1]
        worst = max(worst, total)
    assert worst <= most, (worst, most)
    assert worst > 0.3 * rate * WINDOW_S, worst


@behave.then('none of its requests is refused')
def check_none_refused(context):
    assert not context.refused, (context.refused, len(context.admitted))


@behave.then('at most {most:d} in 100 of its requests are refused')
def check_few_refused(context, most):
    asked = context.refused + len(context.admitted)
    assert context.refused * 100 <= most * asked, (context.refused, asked)


@behave.when(
    '{share:g} of all requests fail once on 7 nodes at {rate:d} requests a'
    ' second'
)
def fail_requests(context, share, rate):
    rng = random.Random(3)
    service = ids.ServiceName('s')
    nodes = [retry_budget.RetryBudget(0.2, 10.0, 54.0) for _ in range(7)]
    context.first, context.repeated = [], []
    for number in range(rate * 30):
        now = number / rate
        node = rng.choice(nodes)
        node.record_first_attempt(service, now)
        context.first.append(now)
        if rng.random() < share and node.allows_retry(service, 7, now):
            node.record_retry(service, now)
            context.repeated.append(now)


@behave.then(
    'in no window of 10 seconds more repeats are sent than the budget allows'
)
def check_repeats(context):
    for end in range(1, 31):
        window = [at for at in context.repeated if end - 10 <= at < end]
        first = [at for at in context.first if end - 10 <= at < end]
        assert len(window) <= 0.2 * len(first) + 54, end
    assert context.repeated
