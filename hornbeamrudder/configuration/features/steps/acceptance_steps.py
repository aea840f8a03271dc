"""Steps for acceptance and the admission lease, in virtual time."""

import contextlib
from unittest import mock

import behave

from hornbeamrudder.configuration import acceptance
from hornbeamrudder.configuration import admission_lease
from hornbeamrudder.configuration import events
from hornbeamrudder.configuration.features import exploration
from hornbeamrudder.configuration.features import simulation
from hornbeamrudder.configuration import node_state
from hornbeamrudder.configuration import publish
from hornbeamrudder.configuration import versions

RANDOM_RUNS = 5
FOCUSED_RUNS = 12
MAX_FAULT_DETECTION_RUNS = 40

RUN_BY_NAME = {
    'a silent node': exploration.silent_node_run,
    'a minority partition': exploration.partition_run,
    'a restart after acknowledging': exploration.restart_run,
    'all acknowledged, one restarted': exploration.stale_answer_run,
    'joins missed by two members': exploration.member_chain_run,
    'a restart next to a lagging node': exploration.lagging_peer_run,
    'a restart after a release': exploration.released_restart_run,
    'a lost response': exploration.lost_response_run,
    'a node paused past its lease': exploration.paused_node_run,
}


def _has_node(voter_set, node, _):
    return any(name == node for name, _ in voter_set)


def _acknowledged_once(row, quorum, voter, _):
    return acceptance.has_acknowledged(quorum, voter, row.version)


_confirmed_by_peers_at = admission_lease._confirmed_by_peers_at


def _any_peer_confirms(quorum, now):
    if admission_lease.is_voter(
        versions.voters(quorum.row) if quorum.row else (),
        quorum.node,
        quorum.incarnation,
    ):
        return _confirmed_by_peers_at(quorum, now)
    return max(
        (status.echoed_at for status in quorum.peer_status_by_node.values()),
        default=-1e9,
    )


_answered_since = acceptance._answered_since


def _released_suffices(row, quorum, voter, since):
    return voter in quorum.released_versions or _answered_since(
        row, quorum, voter, since
    )


def _right_before_pause(quorum, _):
    return admission_lease.may_admit(quorum, quorum.table_confirmed_at)


FAULT_BY_NAME = {
    'no wait for leases to expire': (acceptance, 'LEASE_EXPIRY_WAIT_S', 0.0),
    'majorities that do not intersect': (
        admission_lease,
        'majority',
        lambda _: 1,
    ),
    'a restarted process counted as voter': (
        admission_lease,
        'is_voter',
        _has_node,
    ),
    "any peer's version taken after a restart": (
        admission_lease,
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
        versions,
        'required_voter_sets',
        lambda row: (versions.voters(row),),
    ),
    'a timeout taken as a refusal': (
        simulation.Simulation,
        'timeout_is_refusal',
        True,
    ),
    'the lease checked before the pause': (
        node_state,
        'may_admit',
        lambda node, _: _right_before_pause(node.quorum, _),
    ),
}


@contextlib.contextmanager
def inject_fault(name):
    """Replace one mechanism by a faulty one."""
    owner, attribute, value = FAULT_BY_NAME[name]
    with mock.patch.object(owner, attribute, value):
        yield


@behave.when('the interleaving "{name}" is run')
def run_interleaving(context, name):
    context.run = RUN_BY_NAME[name]
    context.run()


@behave.then('no invariant is violated')
def check_nothing_raised(context):
    # A violation is raised by the step that runs the schedule.
    pass


@behave.then('with "{name}" the violation "{violation}" is reported')
def check_fault_found(context, name, violation):
    try:
        with inject_fault(name):
            context.run()
    except simulation.Violation as error:
        assert violation in str(error).split('\n')[0], error
    else:
        raise AssertionError(f'{name}: no violation reported')


@behave.when('random schedules of faults are run on 3 to 7 nodes')
def run_random(context):
    context.runs = [
        exploration.random_run(seed) for seed in exploration.seeds(RANDOM_RUNS)
    ]


@behave.then(
    'after recovery every node admits and a change is accepted within 6 s'
)
def check_random(context):
    for run in context.runs:
        final = run.result_by_attempt['final']
        assert isinstance(final, publish.Accepted), final


@behave.when('nodes restart and links fail during a rollout')
def run_focused(context):
    for seed in exploration.seeds(FOCUSED_RUNS):
        exploration.focused_run(seed)


@behave.when('random schedules are run with "{name}"')
def run_random_with_fault(context, name):
    context.violation_found = False
    with inject_fault(name):
        for seed in range(1, MAX_FAULT_DETECTION_RUNS + 1):
            try:
                exploration.random_run(seed)
            except simulation.Violation:
                context.violation_found = True
                return


@behave.then('at least one run reports a violation')
def check_found(context):
    assert context.violation_found


@behave.given('{count:d} nodes with one version in force')
def start_nodes(context, count):
    context.cluster = exploration.start_cluster(11, 'abcdefg'[:count])


@behave.when(
    'the table service is down for {seconds:d} s and one node restarts'
)
def long_outage(context, seconds):
    cluster = context.cluster
    cluster.table_down = True
    context.stopped_s = dict.fromkeys('abcde', 0)
    for second in range(seconds):
        if second == 100:
            cluster.kill('b')
            cluster.start('b')
        if second == 150:
            cluster.propose('a', 'edit', 'key')
        cluster.run(1)
        for name in 'abcde':
            context.stopped_s[name] += not cluster.admits(name)


@behave.then('only the restarted node stopped admitting, for at most 5 s')
def check_serving(context):
    stopped = {name for name, seconds in context.stopped_s.items() if seconds}
    assert stopped <= {'b'} and context.stopped_s['b'] <= 5, context.stopped_s


@behave.then('a change during the outage is refused and nothing is written')
def check_refused(context):
    result = context.cluster.result_by_attempt['edit']
    assert isinstance(result, publish.Refused), result
    context.cluster.check_outcomes()


@behave.when('the table service is down and 3 nodes are killed')
def lose_majority(context):
    context.cluster.table_down = True
    for name in 'abc':
        context.cluster.kill(name)
    context.cluster.run(4)


@behave.then('no node admits after 4 s')
def check_stopped(context):
    assert not any(context.cluster.admits(name) for name in 'de')


@behave.then(
    'the nodes admit again within 4 s of the recovery of the table service'
)
def check_again(context):
    context.cluster.table_down = False
    context.cluster.run(4)
    assert all(context.cluster.admits(name) for name in 'de')


@behave.when('three operators change key "{key}" of the same base version')
def race(context, key):
    for name in 'abc':
        context.cluster.propose(name, f'edit-{name}', key)
    context.cluster.run(6)


@behave.then('one change is accepted and the others conflict with its author')
def check_race(context):
    results = {
        name: context.cluster.result_by_attempt[f'edit-{name}']
        for name in 'abc'
    }
    (winner,) = (
        name
        for name, result in results.items()
        if isinstance(result, publish.Accepted)
    )
    expected = (versions.KeyConflict('rules', (f'operator-{winner}',)),)
    for name in set('abc') - {winner}:
        assert results[name].changes == expected, results[name]


@behave.when('a node joins and an operator edits the previous version')
def join_and_edit(context):
    base = context.cluster.version('a')
    context.cluster.start('f')
    context.cluster.run(4)
    assert context.cluster.version('a') == base + 1
    context.cluster.propose('a', 'edit', 'key', base)
    context.cluster.run(6)


@behave.then('the edit is accepted')
def check_edit(context):
    result = context.cluster.result_by_attempt['edit']
    assert isinstance(result, publish.Accepted), result


@behave.when('a writer is killed right after its write is applied')
def kill_writer(context):
    cluster = context.cluster
    cluster.propose('a', 'edit', 'key')
    while 'edit' not in cluster.version_by_attempt:
        cluster.run(0.001)
    cluster.kill('a')
    cluster.run(6)


@behave.then('the version is in force on all other nodes within 6 s')
def check_rolled_forward(context):
    cluster = context.cluster
    version = cluster.version_by_attempt['edit']
    assert all(cluster.version(name) >= version for name in 'bcde')
    assert cluster.accepted_version >= version, cluster.accepted_version


@behave.when(
    'all hosts are replaced and the platform reports the old ones as gone'
)
def replace_all(context):
    cluster = context.cluster
    ended = [(item.name, item.incarnation) for item in cluster.live()]
    for name, _ in ended:
        cluster.kill(name)
    for name in 'vwxyz':
        cluster.start(name)
        for voter in ended:
            cluster.post(name, events.ProcessEnded(voter))


@behave.then('a change is accepted within 30 s')
def check_replaced(context):
    context.cluster.run(24)
    context.cluster.propose('v', 'edit', 'key')
    context.cluster.run(6)
    check_edit(context)
