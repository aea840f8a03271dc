"""Steps for reports in large deployments, in virtual time."""

import itertools

import behave

from hornbeamrudder.gateway.features import node_network
from hornbeamrudder.gateway import hubs
from hornbeamrudder.gateway import quota

# Covers a report and a digest that are each lost twice in a row.
PROPAGATION_S = 2.4


@behave.given('{count:d} nodes that report to each other')
def start_nodes(context, count):
    context.network = node_network.Network(count)
    context.network.run(3.0)


def _first_hubs(network):
    node = network.node_by_number[1]
    with network.clock():
        return [
            int(name.removeprefix('n')) for name in node.state.peers.hubs()
        ]


@behave.when('the fault is "{fault}"')
def inject_fault(context, fault):
    network = context.network
    hub_numbers = _first_hubs(network)
    context.gone = set()
    match fault:
        case 'none':
            pass
        case 'the first hub ends':
            del network.node_by_number[hub_numbers[0]]
            context.gone = {hub_numbers[0]}
        case 'all hubs end':
            for number in hub_numbers:
                del network.node_by_number[number]
            context.gone = set(hub_numbers)
        case 'the first hub starts again':
            network.restart(hub_numbers[0])
        case 'half of the nodes lose the first hub':
            network.is_partitioned = lambda one, other: (
                hub_numbers[0] in (one, other) and (one + other) % 2 == 1
            )
    # Time until unresponsive hubs are replaced.
    network.run(hubs.HUB_TIMEOUT_S + 2.5)


@behave.when('each node starts requests and admits units')
def start_requests(context):
    network = context.network
    context.sent_before = {
        number: node.sent for number, node in network.node_by_number.items()
    }
    context.started_at = network.now
    with network.clock():
        for number, node in network.node_by_number.items():
            for _ in range(number % 4):
                assert node.place() is not None
            node.state.take_units(node_network.ACCOUNT, 100.0)
    network.run(PROPAGATION_S)


@behave.then('each node knows the requests of all nodes at each server')
def check_load(context):
    nodes = context.network.node_by_number
    truth = {
        server: sum(
            node.state.servers.by_id[server].running for node in nodes.values()
        )
        for server in nodes[1].state.servers.by_id
    }
    for number, node in nodes.items():
        known = {
            server: record.running + record.peer_running
            for server, record in node.state.servers.by_id.items()
        }
        assert known == truth, (number, known, truth)


@behave.then('each node has counted the units of all nodes once')
def check_units(context):
    network = context.network
    nodes = network.node_by_number
    expected = 100.0 * len(nodes)
    for number, node in nodes.items():
        bucket = node.state.bucket_by_account[node_network.ACCOUNT.id]
        # Units that were admitted before leave the window meanwhile.
        with network.clock():
            limit = node.state.limit(node_network.ACCOUNT)
            aged = quota.refilled(bucket, limit, network.now)
        counted = sum(
            step.units
            for step in aged.intervals
            if step.number * quota.INTERVAL_S
            > context.started_at - quota.INTERVAL_S
        )
        assert counted == expected, (number, counted, expected)


@behave.then('each node but the hubs sends at most {most:d} messages a second')
def check_messages(context, most):
    network = context.network
    with network.clock():
        hub_names = {
            name
            for node in network.node_by_number.values()
            for name in node.state.peers.hubs()
        }
    for number, node in network.node_by_number.items():
        if node.state.settings.node in hub_names:
            continue
        sent = (node.sent - context.sent_before[number]) / PROPAGATION_S
        assert sent <= most, (number, sent)


@behave.then('each node hears all nodes that are left')
def check_heard(context):
    network = context.network
    with network.clock():
        for number, node in network.node_by_number.items():
            heard = len(node.state.peers.live_nodes()) + 1
            assert heard == len(network.node_by_number), (number, heard)


@behave.then('each node hears at least {share:d} in 100 of the nodes')
def check_share(context, share):
    network = context.network
    with network.clock():
        for number, node in network.node_by_number.items():
            heard = node.state.peers.heard_share()
            # The partitioned hub hears the others only through other hubs.
            assert heard >= share / 100, (number, heard)


@behave.when(
    'all nodes start again while an account sends {times:g} times its limit'
)
def restart_all(context, times):
    network = context.network
    rate = times * node_network.ACCOUNT.rate_per_s
    context.refused = []
    owed = 0.0

    def send():
        nonlocal owed
        owed += rate * node_network.STEP_S
        while owed > 0:
            units = network.rng.uniform(1000.0, 8000.0)
            owed -= units
            node = network.rng.choice(list(network.node_by_number.values()))
            wait_s = node.state.take_units(node_network.ACCOUNT, units)
            if wait_s is not None:
                context.refused.append((network.now, wait_s))

    network.run(9.0, send)
    assert not context.refused, context.refused
    # Nodes restart one after another while requests arrive.
    pending = list(network.node_by_number)
    network.rng.shuffle(pending)

    def restart_and_send():
        for _ in range(min(len(pending), 1)):
            network.restart(pending.pop())
        send()

    network.run(len(pending) * node_network.STEP_S + 0.1, restart_and_send)
    assert not pending
    context.started_at = network.now
    network.run(10.0, send)


@behave.then(
    'none of its requests is refused later than {seconds:g} seconds after'
)
def check_served_again(context, seconds):
    late = [
        (at - context.started_at, wait_s)
        for at, wait_s in context.refused
        if at > context.started_at + seconds
    ]
    assert not late, (len(late), late[:5])
    # While other nodes are not heard, Retry-After must be short.
    assert all(wait_s <= 1.0 for _, wait_s in context.refused)


@behave.when(
    'hubs start again every {pause:g} seconds while a large account sends'
    ' {times:g} times its limit'
)
def restart_hubs(context, pause, times):
    network = context.network
    account = node_network.LARGE_ACCOUNT
    context.admitted = []
    owed, next_at = 0.0, network.now + 1.0
    # Nodes with fast links, which are the hubs.
    turn = itertools.cycle((0, 10, 20, 30))

    def step():
        nonlocal owed, next_at
        if network.now >= next_at:
            next_at += pause
            network.restart(next(turn))
        owed += times * account.rate_per_s * node_network.STEP_S
        while owed > 0:
            units = network.rng.uniform(1000.0, 16000.0)
            owed -= units
            node = network.rng.choice(list(network.node_by_number.values()))
            if node.state.take_units(account, units) is None:
                context.admitted.append((network.now, units))

    network.run(14.0, step)


@behave.then(
    'no window holds more of the large account than the users tolerate'
)
def check_large_account(context):
    account = node_network.LARGE_ACCOUNT
    most = 1.1 * (8.0 * account.rate_per_s + account.burst) + 140_000.0
    worst = max(
        sum(units for at, units in context.admitted if 0 <= at - begun < 8.0)
        for begun, _ in context.admitted[::20]
    )
    assert worst <= most, (worst, most)
