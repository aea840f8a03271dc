"""Steps for the reports between nodes, in virtual time."""

import collections
import itertools

import behave

from hornbeamrudder.gateway.features import node_network
from hornbeamrudder.gateway import hubs
from hornbeamrudder.gateway import quota

# Time for a report and a digest that are each lost twice in a row.
PROPAGATION_S = 2.4
# A stop of a host: time of the first one, period in which it still gets
# requests, time until its process ends, and time until the next one starts.
STOP_START_S = 1.0
STOP_ACCEPT_S = 2.6
STOP_END_S = 3.0
DOWN_S = 1.5
# Duration of the traffic of the large account during these stops.
TRAFFIC_S = 12.0
# Sizes of the requests of a huge account, in tokens.
MEAN_TOKENS = 12000.0
MAX_PROMPT_TOKENS = 54600.0


@behave.given('{count:d} nodes that exchange reports')
def start_nodes(context, count):
    context.network = node_network.SimulatedNetwork(count)
    context.network.advance(3.0)


def _hub_numbers(network):
    node = network.node_by_number[1]
    with network.patch_clock():
        return [
            int(name.removeprefix('n')) for name in node.state.peers.hubs()
        ]


@behave.when('the fault is "{fault}"')
def inject_fault(context, fault):
    network = context.network
    hub_numbers = _hub_numbers(network)
    context.failed_hubs = set()
    match fault:
        case 'none':
            pass
        case 'the first hub fails':
            del network.node_by_number[hub_numbers[0]]
            context.failed_hubs = {hub_numbers[0]}
        case 'all hubs fail':
            for number in hub_numbers:
                del network.node_by_number[number]
            context.failed_hubs = set(hub_numbers)
        case 'the first hub restarts':
            network.restart(hub_numbers[0])
        case 'half of the nodes cannot reach the first hub':
            network.is_partitioned = lambda sender, receiver: (
                hub_numbers[0] in (sender, receiver)
                and (sender + receiver) % 2 == 1
            )
    # Time in which unresponsive hubs are replaced.
    network.advance(hubs.HUB_TIMEOUT_S + 2.5)


@behave.when('each node reserves servers and admits units')
def start_requests(context):
    network = context.network
    context.sent_count_before = {
        number: node.sent_count
        for number, node in network.node_by_number.items()
    }
    context.started_at = network.now
    with network.patch_clock():
        for number, node in network.node_by_number.items():
            for _ in range(number % 4):
                assert node.reserve_server() is not None
            node.state.take_units(node_network.ACCOUNT, 100.0)
    network.advance(PROPAGATION_S)


@behave.then('each node knows the load of each server from all nodes')
def check_load_by_server(context):
    nodes = context.network.node_by_number
    expected = {
        server: sum(
            node.state.servers.by_id[server].running for node in nodes.values()
        )
        for server in nodes[1].state.servers.by_id
    }
    for number, node in nodes.items():
        actual = {
            server: record.running + record.peer_running
            for server, record in node.state.servers.by_id.items()
        }
        assert actual == expected, (number, actual, expected)


@behave.then('each node has counted the units of all nodes once')
def check_counted_units(context):
    network = context.network
    nodes = network.node_by_number
    expected = 100.0 * len(nodes)
    for number, node in nodes.items():
        bucket = node.state.bucket_by_account[node_network.ACCOUNT.id]
        # Units admitted earlier leave the sliding window in the meantime.
        with network.patch_clock():
            limit = node.state.limit(node_network.ACCOUNT)
            refilled_bucket = quota.refilled(bucket, limit, network.now)
        counted = sum(
            interval.units
            for interval in refilled_bucket.intervals
            if interval.number * quota.INTERVAL_S
            > context.started_at - quota.INTERVAL_S
        )
        assert counted == expected, (number, counted, expected)


@behave.then(
    'each node except the hubs sends at most {maximum:d} messages per second'
)
def check_message_rate(context, maximum):
    network = context.network
    with network.patch_clock():
        hub_names = {
            name
            for node in network.node_by_number.values()
            for name in node.state.peers.hubs()
        }
    for number, node in network.node_by_number.items():
        if node.state.settings.node in hub_names:
            continue
        messages_per_s = (
            node.sent_count - context.sent_count_before[number]
        ) / PROPAGATION_S
        assert messages_per_s <= maximum, (number, messages_per_s)


@behave.then('each node has current reports of all remaining nodes')
def check_current_reports(context):
    network = context.network
    with network.patch_clock():
        for number, node in network.node_by_number.items():
            heard_count = len(node.state.peers.live_nodes()) + 1
            assert heard_count == len(network.node_by_number), (
                number,
                heard_count,
            )


@behave.then(
    'each node has current reports of at least {min_percent:d} % of the nodes'
)
def check_share_of_reports(context, min_percent):
    network = context.network
    with network.patch_clock():
        for number, node in network.node_by_number.items():
            heard_share = node.state.peers.heard_share()
            # The unreachable hub gets reports of some nodes only through other
            # hubs.
            assert heard_share >= min_percent / 100, (number, heard_share)


@behave.when(
    'all nodes restart while an account sends {factor:g} times its limit'
)
def restart_all_nodes(context, factor):
    network = context.network
    rate = factor * node_network.ACCOUNT.rate_per_s
    context.refused = []
    unsent_units = 0.0

    def send_requests():
        nonlocal unsent_units
        unsent_units += rate * node_network.STEP_S
        while unsent_units > 0:
            units = network.rng.uniform(1000.0, 8000.0)
            unsent_units -= units
            node = network.rng.choice(list(network.node_by_number.values()))
            wait_s = node.state.take_units(node_network.ACCOUNT, units)
            if wait_s is not None:
                context.refused.append((network.now, wait_s))

    network.advance(9.0, send_requests)
    assert not context.refused, context.refused
    # Nodes restart one after another while requests arrive.
    pending = list(network.node_by_number)
    network.rng.shuffle(pending)

    def restart_and_send():
        for _ in range(min(len(pending), 1)):
            network.restart(pending.pop())
        send_requests()

    network.advance(len(pending) * node_network.STEP_S + 0.1, restart_and_send)
    assert not pending
    context.started_at = network.now
    network.advance(10.0, send_requests)


@behave.then(
    'none of its requests is refused later than {seconds:g} seconds after the'
    ' restart'
)
def check_no_late_refusals(context, seconds):
    refused_late = [
        (at - context.started_at, wait_s)
        for at, wait_s in context.refused
        if at > context.started_at + seconds
    ]
    assert not refused_late, (len(refused_late), refused_late[:5])
    # Retry-After must be short while reports of other nodes are missing.
    assert all(wait_s <= 1.0 for _, wait_s in context.refused)


@behave.when(
    'hubs restart in turn every {interval_s:g} seconds while a large account'
    ' sends {factor:g} times its limit'
)
def restart_hubs(context, interval_s, factor):
    network = context.network
    account = node_network.LARGE_ACCOUNT
    context.admitted = []
    unsent_units, next_restart_at = 0.0, network.now + 1.0
    # Nodes with fast links, which are selected as hubs.
    hub_numbers = itertools.cycle((0, 10, 20, 30))

    def restart_and_send():
        nonlocal unsent_units, next_restart_at
        if network.now >= next_restart_at:
            next_restart_at += interval_s
            network.restart(next(hub_numbers))
        unsent_units += factor * account.rate_per_s * node_network.STEP_S
        while unsent_units > 0:
            units = network.rng.uniform(1000.0, 16000.0)
            unsent_units -= units
            node = network.rng.choice(list(network.node_by_number.values()))
            if node.state.take_units(account, units) is None:
                context.admitted.append((network.now, units))

    network.advance(14.0, restart_and_send)


@behave.when(
    'hosts are stopped and started in turn every {interval_s:g} seconds while'
    ' a large account sends {factor:g} times its limit'
)
def stop_hosts_in_turn(context, interval_s, factor):
    network = context.network
    account = node_network.LARGE_ACCOUNT
    # After this time all windows are empty.
    network.advance(9.0)
    context.admitted = []
    context.started_at = network.now
    numbers = list(network.node_by_number)
    network.rng.shuffle(numbers)
    serving = set(numbers)
    events = [
        (network.now + STOP_START_S + count * interval_s + delay_s, event)
        for count, number in enumerate(numbers)
        for delay_s, event in (
            (STOP_ACCEPT_S, (serving.remove, number)),
            (STOP_END_S, (network.stop, number)),
            (STOP_END_S + DOWN_S, (network.start, number)),
            (STOP_END_S + DOWN_S, (serving.add, number)),
        )
    ]
    pending = collections.deque(sorted(events, key=lambda item: item[0]))
    unsent_units = 0.0

    def stop_and_send():
        nonlocal unsent_units
        while pending and pending[0][0] <= network.now:
            _, (apply_event, number) = pending.popleft()
            apply_event(number)
        unsent_units += factor * account.rate_per_s * node_network.STEP_S
        candidates = sorted(serving)
        # The first nodes get several times as much as the last ones.
        weights = [(number + 1) ** -0.5 for number in candidates]
        while unsent_units > 0:
            units = network.rng.uniform(1000.0, 16000.0)
            unsent_units -= units
            (number,) = network.rng.choices(candidates, weights)
            node = network.node_by_number[number]
            if node.state.take_units(account, units) is None:
                context.admitted.append((network.now, units))

    network.advance(TRAFFIC_S, stop_and_send)


@behave.when('a huge account goes from 0.4 to {factor:g} times its limit')
def ask_for_more(context, factor):
    network = context.network
    account = node_network.HUGE_ACCOUNT
    network.advance(2.0)
    context.admitted = []
    unsent_units, more_at = 0.0, network.now + 9.0

    def send():
        nonlocal unsent_units
        times = factor if network.now >= more_at else 0.4
        unsent_units += times * account.rate_per_s * node_network.STEP_S
        while unsent_units > 0:
            units = min(
                MAX_PROMPT_TOKENS, network.rng.expovariate(1 / MEAN_TOKENS)
            )
            unsent_units -= units
            node = network.rng.choice(list(network.node_by_number.values()))
            if node.state.take_units(account, units) is None:
                context.admitted.append((network.now, units))

    network.advance(15.0, send)


@behave.then(
    'no window exceeds the limit of the {size} account by more than the'
    ' tolerance'
)
def check_account_windows(context, size):
    account = {
        'large': node_network.LARGE_ACCOUNT,
        'huge': node_network.HUGE_ACCOUNT,
    }[size]
    maximum = 1.1 * (8.0 * account.rate_per_s + account.burst) + 140_000.0
    window = collections.deque()
    total = largest = largest_start = 0.0
    for at, units in context.admitted:
        window.append((at, units))
        total += units
        while at - window[0][0] >= 8.0:
            total -= window.popleft()[1]
        if total > largest:
            largest, largest_start = total, window[0][0]
    assert largest <= maximum, (largest, maximum, largest_start)
