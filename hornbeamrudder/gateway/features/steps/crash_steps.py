"""Steps for crashes of servers under requests, in virtual time."""

import asyncio
import itertools

import behave
import msgpack

from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway import crash_evidence
from hornbeamrudder.gateway.features import crash_simulation
from hornbeamrudder.gateway.features import fleet_simulation
from hornbeamrudder.gateway.features import node_network
from hornbeamrudder.gateway import held_parts
from hornbeamrudder.gateway import hubs
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import reports
from hornbeamrudder.gateway import table_relay

CONTACT_S = 3.0
SERVER_COUNT = 22
MANY_SERVERS = 60
SOUND_PER_S = 90.0
BAD_PER_S = 4.0
START_S = 4.0
USUAL_S = 3.0
BAD_S = 12.0
# Times after the first bad request at which a fault begins and ends.
FAULT_AT_S = 0.4
FAULT_S = 2.5
# Time after a time-out in which each node has noticed it.
LATE_S = 0.6
FATAL_CRASH = 5
CUT_SHARE = 0.4
OTHER_BAD_PART = 'bad too'
BAD_PROMPT = 'bad prompt'
# Rate of sound requests with the same parts before the last one.
SHARED_PER_S = 2.0
VICTIM_PART = 'part of another'
VICTIM_PER_S = 1.0
TRIAL_TIME_S = 900.0
BAD_INTERVAL_S = 1.0
RACK_SIZE = 5
# Somewhat longer than crashes with a common cause are apart.
QUICK_S = 0.12
# Time from sending to a head long before the first event.
EARLY_HEAD_S = 0.01


def _keys(*names):
    return frozenset(
        crash_evidence.part_keys(
            crash_simulation.SERVICE,
            [messages.PromptPart(name, 100) for name in names],
        )
    )


@behave.given('{count:d} nodes of one fleet')
def create_fleet(context, count):
    context.fleet = fleet_simulation.Fleet(count)


def _play(context, scenario, server_count=SERVER_COUNT):
    """Run a scenario after a start of all nodes and some sound requests."""

    async def play(fleet):
        fleet.put_configuration(1)
        await fleet.start_all()
        await asyncio.sleep(START_S)
        simulation = crash_simulation.CrashSimulation(fleet, server_count)
        await simulation.send_requests(USUAL_S, SOUND_PER_S, 0.0)
        await scenario(simulation)
        context.held_by_node = simulation.held_parts()
        return simulation

    context.simulation = context.fleet.run(play)
    assert not context.fleet.failures, context.fleet.failures


async def _inject(simulation, fault, out_of_touch):
    """Inject a fault, and note from when to when nodes are out of touch."""
    fleet = simulation.fleet
    await asyncio.sleep(FAULT_AT_S)
    numbers = sorted(fleet.running_by_number)
    some = [
        number for number in numbers if fleet.rng.random() < CUT_SHARE
    ] or numbers[:1]
    match fault:
        case 'store down':
            fleet.store.refuses = lambda node_id: True
        case 'hubs lost':
            state = fleet.running_by_number[1].node.state
            for hub in state.peers.hubs():
                fleet.kill(int(hub.removeprefix('n')))
        case 'nodes restarted':
            for number in some:
                fleet.kill(number)
                fleet.start(number)
                out_of_touch[number] = clock.now()
        case 'nodes cut':
            await _cut(fleet, some, FAULT_S, out_of_touch)
        case 'nodes cut until they report to others':
            # The hubs and those that replace them are not cut, so that the
            # latter do not count themselves as hubs.
            peers_ = fleet.running_by_number[numbers[0]].node.state.peers
            ranked = hubs.rank_candidates(
                {
                    node: known.link_mbps
                    for node, known in peers_.known_by_id.items()
                }
            )
            never_cut = {
                int(node.removeprefix('n'))
                for node in ranked[: 2 * hubs.HUB_COUNT]
            }
            await _cut(
                fleet,
                [number for number in numbers if number not in never_cut],
                hubs.HUB_TIMEOUT_S + LATE_S,
                out_of_touch,
            )


async def _cut(fleet, numbers, seconds, out_of_touch):
    """Cut nodes off from all others for some time."""
    fleet.cut = frozenset(numbers)
    await asyncio.sleep(seconds)
    fleet.cut = frozenset()
    out_of_touch.update(dict.fromkeys(numbers, clock.now()))


@behave.when(
    'requests with a part that crashes servers come while the fault is'
    ' "{fault}"'
)
def send_bad_requests(context, fault):
    context.out_of_touch = {}

    async def scenario(simulation):
        if fault == 'earlier resets':
            # Each node sees each server break off once; all of them go on.
            simulation.break_each_connection()
            await asyncio.sleep(1.0)
        simulation.run_later(_inject(simulation, fault, context.out_of_touch))
        await simulation.send_requests(BAD_S, SOUND_PER_S, BAD_PER_S)

    # With many servers, most crash for the first time.
    count = MANY_SERVERS if fault == 'earlier resets' else SERVER_COUNT
    _play(context, scenario, count)


@behave.when(
    'requests with a part that crashes {servers:d} servers before the head of'
    ' the answer come {rate:g} times a second'
)
def send_headless_requests(context, servers, rate):
    context.out_of_touch = {}

    async def scenario(simulation):
        simulation.head_s = crash_simulation.FIRST_EVENT_S
        await simulation.send_requests(BAD_S, SOUND_PER_S, rate)

    _play(context, scenario, servers)


@behave.then(
    'at most {count:d} of them are sent by nodes in touch later than 3 s after'
    ' the fifth crash'
)
def check_later_sends(context, count):
    simulation = context.simulation
    assert simulation.crashed_at
    if len(simulation.crashed_at) < FATAL_CRASH:
        return
    limit = simulation.crashed_at[FATAL_CRASH - 1] + CONTACT_S
    later = [
        (moment, number)
        for moment, number in simulation.bad_sends()
        if moment > limit
        and moment
        > context.out_of_touch.get(number, float('-inf')) + CONTACT_S
    ]
    assert len(later) <= count, (later, simulation.crashed_at)


@behave.then('no sound request is held back')
def check_sound_requests(context):
    simulation = context.simulation
    held = [
        call
        for call in simulation.calls
        if not call.is_bad and call.outcome == 'held'
    ]
    assert not held, (len(held), held[0].parts, context.held_by_node)
    assert sum(call.outcome == 'answered' for call in simulation.calls) > 900


@behave.when(
    'requests with one prompt that crashes {servers:d} servers {moment} the'
    ' head of the answer come'
)
def send_bad_prompt(context, servers, moment):
    context.out_of_touch = {}
    shared = ('first0', 'own0')

    async def keep_shared_parts_in_use(simulation):
        while True:
            simulation.send(False, shared)
            await asyncio.sleep(1 / SHARED_PER_S)

    async def scenario(simulation):
        simulation.crashing_parts = {BAD_PROMPT}
        if moment == 'before':
            simulation.head_s = crash_simulation.FIRST_EVENT_S
        simulation.run_later(keep_shared_parts_in_use(simulation))
        await simulation.send_requests(
            BAD_S, SOUND_PER_S, BAD_PER_S, lambda: shared, BAD_PROMPT
        )

    _play(context, scenario, servers)


@behave.when('requests with two parts that crash servers come')
def send_two_bad_parts(context):
    async def scenario(simulation):
        simulation.crashing_parts = {crash_simulation.BAD_PART, OTHER_BAD_PART}
        turns = itertools.cycle(sorted(simulation.crashing_parts))
        await simulation.send_requests(
            BAD_S,
            SOUND_PER_S,
            BAD_PER_S,
            lambda: (f'first{simulation.rng.randrange(3)}', next(turns)),
        )

    _play(context, scenario)


@behave.then('both parts are held back at each node, and no others')
def check_both_held(context):
    expected = {_keys(crash_simulation.BAD_PART), _keys(OTHER_BAD_PART)}
    for number, held in context.held_by_node.items():
        assert held == expected, (number, held, expected)


@behave.when('servers end because of "{cause}" beside sound requests')
def end_servers(context, cause):
    async def scenario(simulation):
        simulation.run_later(simulation.send_requests(BAD_S, SOUND_PER_S, 0.0))
        await asyncio.sleep(1.0)
        match cause:
            case 'a rack':
                for server in simulation.servers[:12]:
                    simulation.crash(server)
            case 'crashes one after the other':
                for number in range(len(simulation.servers)):
                    simulation.crash(simulation.servers[number])
                    await asyncio.sleep(0.3)
            case 'racks in turn, before heads':
                simulation.head_s = crash_simulation.FIRST_EVENT_S
                for first in range(0, len(simulation.servers), RACK_SIZE):
                    for server in simulation.servers[first:][:RACK_SIZE]:
                        simulation.crash(server)
                    await asyncio.sleep(QUICK_S)
            case 'quick crashes, before heads':
                simulation.head_s = crash_simulation.FIRST_EVENT_S
                for number in range(len(simulation.servers)):
                    simulation.crash(simulation.servers[number])
                    await asyncio.sleep(QUICK_S)
            case 'quick crashes, after heads':
                simulation.head_s = EARLY_HEAD_S
                for number in range(len(simulation.servers)):
                    simulation.crash(simulation.servers[number])
                    await asyncio.sleep(QUICK_S)
            case 'a whole service':
                simulation.fails_all = True
                await asyncio.sleep(6.0)
                simulation.fails_all = False
            case 'resets':
                for _ in range(20):
                    for server in simulation.servers:
                        simulation.break_connections(server)
                    await asyncio.sleep(0.2)
            case 'a cut':
                for server in simulation.servers:
                    simulation.crash(server, crash_simulation.LOST)
                    await asyncio.sleep(0.2)
            case 'a release':
                for server in list(simulation.servers):
                    server.leaving_since = clock.now()
                    simulation.crash(server)
                    await asyncio.sleep(0.2)
        await asyncio.sleep(BAD_S - 6.0)

    _play(context, scenario)


@behave.then('nothing is held back at any node')
def check_nothing_held(context):
    held = {
        number: parts
        for number, parts in context.held_by_node.items()
        if parts
    }
    assert not held, held
    assert not any(call.outcome == 'held' for call in context.simulation.calls)


@behave.when(
    'requests that crash servers all name a part of another client too'
)
def name_part_of_another(context):
    async def scenario(simulation):
        rng = simulation.rng
        simulation.run_later(simulation.send_requests(BAD_S, SOUND_PER_S, 0.0))
        simulation.run_later(
            simulation.send_requests(
                BAD_S,
                0.0,
                BAD_PER_S,
                lambda: (
                    f'first{rng.randrange(3)}',
                    VICTIM_PART,
                    crash_simulation.BAD_PART,
                ),
            )
        )
        # The other client comes only when the parts are held back.
        await asyncio.sleep(BAD_S / 2)
        context.victims = []
        while len(context.victims) < 5:
            context.victims.append(
                simulation.send(False, ('first1', VICTIM_PART))
            )
            await asyncio.sleep(1 / VICTIM_PER_S)
        await asyncio.sleep(1.0)

    _play(context, scenario)


@behave.then(
    'requests of the other client are sent, and those of the first are not'
)
def check_victims(context):
    outcomes = [call.outcome for call in context.victims]
    assert outcomes == ['answered'] * len(outcomes), outcomes
    assert _keys(crash_simulation.BAD_PART) in context.held_by_node[0]


@behave.when('all nodes are killed after a part was held back')
def kill_all(context):
    async def scenario(simulation):
        fleet = simulation.fleet
        await simulation.send_requests(8.0, SOUND_PER_S, BAD_PER_S)
        assert all(simulation.held_parts().values())
        for number in list(fleet.running_by_number):
            fleet.kill(number)
        await fleet.start_all()
        context.limit = clock.now() + CONTACT_S
        await simulation.send_requests(10.0, SOUND_PER_S, BAD_PER_S)

    _play(context, scenario)


@behave.then(
    'no request with the part is sent later than 3 s after their start'
)
def check_not_sent_after_start(context):
    later = [
        moment
        for moment, _ in context.simulation.bad_sends()
        if moment > context.limit
    ]
    assert not later, (later, context.limit)


async def _hold(simulation):
    """Send bad requests until all nodes hold the part back."""
    await simulation.send_requests(8.0, SOUND_PER_S, BAD_PER_S)
    held = simulation.held_parts()
    assert all(
        parts == {_keys(crash_simulation.BAD_PART)} for parts in held.values()
    ), held


@behave.when('requests with a held part come for 900 s')
def wait_for_trials(context):
    async def scenario(simulation):
        await _hold(simulation)
        context.held_at = clock.now()
        end = clock.now() + TRIAL_TIME_S
        while clock.now() < end:
            for number in simulation.fleet.running_by_number:
                simulation.send(True, number=number)
            await asyncio.sleep(BAD_INTERVAL_S)

    _play(context, scenario)


@behave.then(
    '{count:d} of them are sent after the hold, the second 10 minutes after'
    ' the first'
)
def check_trials(context, count):
    sends = [
        moment
        for moment, _ in context.simulation.bad_sends()
        if moment > context.held_at
    ]
    assert len(sends) == count, sends
    assert 595.0 < sends[1] - sends[0] < 620.0, sends


async def _send_until_answered(simulation, seconds):
    """Send requests with the part; return when each node answered one."""
    answered_at = {}
    end = clock.now() + seconds
    while clock.now() < end:
        calls = [
            simulation.send(True, number=number)
            for number in simulation.fleet.running_by_number
        ]
        await asyncio.sleep(BAD_INTERVAL_S / 2)
        for call in calls:
            if call.outcome == 'answered':
                answered_at.setdefault(call.node_number, clock.now())
    return answered_at


@behave.when('a held part no longer crashes servers')
def make_part_sound(context):
    async def scenario(simulation):
        await _hold(simulation)
        simulation.crashing_parts = set()
        context.answered_at = await _send_until_answered(simulation, 75.0)

    _play(context, scenario)


@behave.then(
    'requests with it are answered at each node soon after the first trial'
)
def check_released(context):
    moments = sorted(context.answered_at.values())
    assert len(moments) == context.fleet.count, moments
    assert moments[-1] - moments[0] <= 2.0, moments


@behave.when('the row of the held parts is removed and the part is sound')
def remove_row(context):
    async def scenario(simulation):
        await _hold(simulation)
        simulation.crashing_parts = set()
        store = simulation.fleet.store
        assert store.rows_by_table[held_parts.TABLE], store.rows_by_table
        store.commit([(held_parts.TABLE, held_parts.KEY, None)])
        context.answered_at = await _send_until_answered(simulation, 8.0)

    _play(context, scenario)


@behave.then('requests with it are answered at each node within 8 s')
def check_released_by_hand(context):
    assert len(context.answered_at) == context.fleet.count, context.answered_at


@behave.when(
    '{crashes:d} crashes with {parts:d} parts each are recorded, and'
    ' {answers:d} answers'
)
def record_many(context, crashes, parts, answers):
    evidence = context.evidence = crash_evidence.CrashEvidence()
    service = crash_evidence.service_key(crash_simulation.SERVICE)
    for number in range(answers):
        (last_part,) = _keys(f'last {number}')
        evidence.record_answer(
            service, _keys(f'answered {number}'), last_part, 1.0
        )
    for number in range(crashes):
        at = 2.0 + number / 10
        names = [f'part {number} {part}' for part in range(parts)]
        evidence.add_crash(
            crash_evidence.Crash(
                crash_evidence.LifetimeKey(number),
                service,
                at,
                at,
                _keys(*names),
            )
        )
        evidence.add_hold(crash_evidence.Hold(_keys(names[0]), at, at, 3))


@behave.then(
    'at most {crashes:d} crashes, {parts:d} parts of each, {answered:d}'
    ' answered parts and {holds:d} holds are known'
)
def check_bounds(context, crashes, parts, answered, holds):
    evidence = context.evidence
    assert len(evidence.crash_by_lifetime) <= crashes
    assert len(evidence.answered_at) <= answered
    assert len(evidence.hold_by_parts) <= holds
    assert all(
        len(crash.parts) <= parts
        for crash in evidence.crash_by_lifetime.values()
    )


@behave.then('each message about them fits one datagram')
def check_message_sizes(context):
    network = node_network.SimulatedNetwork(2)
    sizes = []
    with network.patch_clock():
        guard = network.node_by_number[0].state.part_guard
        guard.evidence = context.evidence
        for lifetime in context.evidence.crash_by_lifetime:
            guard.announce_crash(lifetime)
        network.send = lambda sender, number, data: sizes.append(len(data))
        network.now += 1.0
        guard.step()
    assert sizes and max(sizes) <= table_relay.MAX_DATAGRAM_BYTES, max(sizes)


@behave.when('a message about crashes has {odd} in it')
def send_malformed(context, odd):
    part = next(iter(_keys(crash_simulation.BAD_PART)))
    hold = [[part], 1.0, 1.0, 3, 0]
    message = [reports.SUSPICIONS_FORMAT, 'n1', [], [], [hold]]
    match odd:
        case 'an infinite age':
            hold[1] = float('inf')
        case 'a negative age':
            hold[2] = -1.0
        case 'no list of parts':
            hold[0] = part
        case 'a missing field':
            message.pop()
    network = node_network.SimulatedNetwork(2)
    with network.patch_clock():
        context.node = network.node_by_number[0]
        context.node.state.peers.datagram_received(
            msgpack.packb(message), ('10.0.0.1', 1)
        )


@behave.then('it is counted as malformed, and nothing is held back')
def check_malformed(context):
    assert context.node.state.peers.malformed == 1
    assert not context.node.state.part_guard.evidence.hold_by_parts
