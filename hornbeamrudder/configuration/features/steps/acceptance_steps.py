"""Steps for acceptance and the right to admit, in virtual time."""

import contextlib
from unittest import mock

import behave

from hornbeamrudder.configuration import acceptance
from hornbeamrudder.configuration import currency
from hornbeamrudder.configuration import events
from hornbeamrudder.configuration.features import exploration
from hornbeamrudder.configuration.features import simulation
from hornbeamrudder.configuration import node_state
from hornbeamrudder.configuration import publish
from hornbeamrudder.configuration import state

RANDOM_RUNS = 5
FOCUSED_RUNS = 12
TAME_CHECK_RUNS = 40

RUN_BY_NAME = {
    'a silent node': exploration.silent_node_run,
    'a minority partition': exploration.partition_run,
    'a restart after acknowledging': exploration.restart_run,
    'all acknowledged, one restarted': exploration.stale_answer_run,
    'joins missed by two members': exploration.member_chain_run,
    'a restart next to a lagging node': exploration.lagging_peer_run,
    'a restart after a release': exploration.released_restart_run,
    'a lost response': exploration.lost_response_run,
    'a node paused past its right': exploration.paused_node_run,
}


def _has_node(electorate, node, _):
    return any(name == node for name, _ in electorate)


def _acknowledged_once(row, knowledge, voter, _):
    return acceptance.has_acknowledged(knowledge, voter, row.version)


_confirmed_by_peers_at = currency._confirmed_by_peers_at


def _any_peer_confirms(knowledge, now):
    if currency.is_voter(
        state.voters(knowledge.row) if knowledge.row else (),
        knowledge.node,
        knowledge.incarnation,
    ):
        return _confirmed_by_peers_at(knowledge, now)
    return max(
        (heard.echoed_at for heard in knowledge.heard_by_node.values()),
        default=-1e9,
    )


_answered_since = acceptance._answered_since


def _released_suffices(row, knowledge, voter, since):
    return voter in knowledge.released_versions or _answered_since(
        row, knowledge, voter, since
    )


def _right_before_pause(knowledge, _):
    return currency.may_admit(knowledge, knowledge.table_confirmed_at)


FAULT_BY_NAME = {
    'no wait for rights to expire': (acceptance, 'LAPSE_S', 0.0),
    'majorities that do not intersect': (currency, 'majority', lambda _: 1),
    'a restarted process counted as voter': (
        currency,
        'is_voter',
        _has_node,
    ),
    "any peer's version taken after a restart": (
        currency,
        '_confirmed_by_peers_at',
        _any_peer_confirms,
    ),
    'acceptance on old acknowledgements': (
        acceptance,
        '_answered_since',
        _acknowledged_once,
    ),
    'a release taken as an answer': (
        acceptance,
        '_answered_since',
        _released_suffices,
    ),
    'only the latest member set counted': (
        state,
        'all_electorates',
        lambda row: (state.voters(row),),
    ),
    'a timeout taken as a refusal': (
        simulation.Simulation,
        'timeout_is_refusal',
        True,
    ),
    'the right checked before the pause': (
        node_state,
        'may_admit',
        lambda node, _: _right_before_pause(node.knowledge, _),
    ),
}


@contextlib.contextmanager
def fault(name):
    """Switch one mechanism off."""
    owner, attribute, value = FAULT_BY_NAME[name]
    with mock.patch.object(owner, attribute, value):
        yield


@behave.when('the interleaving "{name}" is run')
def run_interleaving(context, name):
    context.run = RUN_BY_NAME[name]
    context.run()


@behave.then('every promise holds')
def check_nothing_raised(context):
    # A violation raises in the step that runs the schedule.
    pass


@behave.then('with "{name}" the check finds "{violation}"')
def check_fault_found(context, name, violation):
    try:
        with fault(name):
            context.run()
    except simulation.Violation as error:
        assert violation in str(error).split('\n')[0], error
    else:
        raise AssertionError(f'{name}: not found')


@behave.when('random schedules of faults are run on 3 to 7 nodes')
def run_random(context):
    context.runs = [
        exploration.random_run(seed) for seed in exploration.seeds(RANDOM_RUNS)
    ]


@behave.then(
    'afterwards each run admits everywhere and accepts a change in 6 s'
)
def check_random(context):
    for run in context.runs:
        final = run.result_by_attempt['final']
        assert isinstance(final, publish.Accepted), final


@behave.when('nodes restart and links fail while a change spreads')
def run_focused(context):
    for seed in exploration.seeds(FOCUSED_RUNS):
        exploration.focused_run(seed)


@behave.when('random schedules are run with "{name}"')
def run_random_with_fault(context, name):
    context.found = False
    with fault(name):
        for seed in range(1, TAME_CHECK_RUNS + 1):
            try:
                exploration.random_run(seed)
            except simulation.Violation:
                context.found = True
                return


@behave.then('at least one run reports a violation')
def check_found(context):
    assert context.found


@behave.given('{count:d} nodes in force at one version')
def start_nodes(context, count):
    context.sim = exploration.started(11, 'abcdefg'[:count])


@behave.when(
    'the table service is down for {seconds:d} s and one node restarts'
)
def long_outage(context, seconds):
    sim = context.sim
    sim.table_down = True
    context.stopped_s = dict.fromkeys('abcde', 0)
    for second in range(seconds):
        if second == 100:
            sim.kill('b')
            sim.start('b')
        if second == 150:
            sim.propose('a', 'edit', 'key')
        sim.run(1)
        for name in 'abcde':
            context.stopped_s[name] += not sim.admits(name)


@behave.then('every node admitted during the whole outage but for 5 s')
def check_serving(context):
    stopped = {name for name, seconds in context.stopped_s.items() if seconds}
    assert stopped <= {'b'} and context.stopped_s['b'] <= 5, context.stopped_s


@behave.then('a change during the outage is refused and nothing is written')
def check_refused(context):
    result = context.sim.result_by_attempt['edit']
    assert isinstance(result, publish.Refused), result
    context.sim.check_outcomes()


@behave.when('the table service is down and 3 nodes are killed')
def lose_majority(context):
    context.sim.table_down = True
    for name in 'abc':
        context.sim.kill(name)
    context.sim.run(4)


@behave.then('no node admits after 4 s')
def check_stopped(context):
    assert not any(context.sim.admits(name) for name in 'de')


@behave.then('the nodes admit again when the table service is back')
def check_again(context):
    context.sim.table_down = False
    context.sim.run(4)
    assert all(context.sim.admits(name) for name in 'de')


@behave.when('three operators change key "{key}" at the same base version')
def race(context, key):
    for name in 'abc':
        context.sim.propose(name, f'edit-{name}', key)
    context.sim.run(6)


@behave.then(
    'one is accepted and the others get a conflict that names the winner'
)
def check_race(context):
    results = {
        name: context.sim.result_by_attempt[f'edit-{name}'] for name in 'abc'
    }
    (winner,) = (
        name
        for name, result in results.items()
        if isinstance(result, publish.Accepted)
    )
    expected = (state.KeyConflict('rules', (f'operator-{winner}',)),)
    for name in set('abc') - {winner}:
        assert results[name].changes == expected, results[name]


@behave.when('a node joins and an operator edits the version before')
def join_and_edit(context):
    base = context.sim.version('a')
    context.sim.start('f')
    context.sim.run(4)
    assert context.sim.version('a') == base + 1
    context.sim.propose('a', 'edit', 'key', base)
    context.sim.run(6)


@behave.then('the edit is accepted')
def check_edit(context):
    result = context.sim.result_by_attempt['edit']
    assert isinstance(result, publish.Accepted), result


@behave.when('a writer is killed right after its write took effect')
def kill_writer(context):
    sim = context.sim
    sim.propose('a', 'edit', 'key')
    while 'edit' not in sim.version_by_attempt:
        sim.run(0.001)
    sim.kill('a')
    sim.run(6)


@behave.then('all other nodes have that version in force within 6 s')
def check_rolled_forward(context):
    sim = context.sim
    version = sim.version_by_attempt['edit']
    assert all(sim.version(name) >= version for name in 'bcde')
    assert sim.accepted >= version, sim.accepted


@behave.when('all hosts are replaced and the platform reports their end')
def replace_all(context):
    sim = context.sim
    ended = [(item.name, item.incarnation) for item in sim.live()]
    for name, _ in ended:
        sim.kill(name)
    for name in 'vwxyz':
        sim.start(name)
        for voter in ended:
            sim.tell(name, events.Ended(voter))


@behave.then('a change is accepted within 30 s')
def check_replaced(context):
    context.sim.run(24)
    context.sim.propose('v', 'edit', 'key')
    context.sim.run(6)
    check_edit(context)
