"""Random fault schedules and scripted interleavings for the simulation."""

import itertools
import os
import random

from hornbeamrudder.configuration import events
from hornbeamrudder.configuration.features import simulation
from hornbeamrudder.configuration import publish
from hornbeamrudder.configuration import versions

LONG_FACTOR = 30
SETTLE_S = 60.0


def seeds(count):
    """Return fixed seeds; the long form runs more of them."""
    if os.environ.get('HORNBEAMRUDDER_PROOFS') == 'long':
        count *= LONG_FACTOR
    return range(1, count + 1)


def start_cluster(seed, names, **options):
    """Start a simulation whose nodes have all joined."""
    run = simulation.Simulation(seed, **options)
    for name in names:
        run.start(name)
    run.run(12)
    assert {len(run.row.members), run.row.version} == {len(names)}
    return run


def random_run(seed):
    """Run one random schedule, then end all faults and check recovery."""
    rng = random.Random(seed)
    names = [f'n{index}' for index in range(rng.randint(3, 7))]
    run = simulation.Simulation(
        seed,
        loss_rate=rng.choice((0.0, 0.05, 0.3)),
        delay_rate=rng.choice((0.0, 0.05, 0.3)),
        drift=simulation.max_drift(),
    )
    for name in names:
        run.start(name)
    run.run(rng.uniform(3, 8))
    for index in range(rng.randint(10, 40)):
        _random_fault(run, rng, index)
        run.run(rng.choice((0.02, 0.1, 0.5, 2.0, 5.0)))
    _recover(run)
    run.run(SETTLE_S)
    _check_progress(run)
    return run


def focused_run(seed):
    """Restart and cut off nodes during a rollout; check safety only.

    The schedules are short, so that more of them reach the rare
    interleavings of acknowledgements, restarts and confirmations.
    """
    rng = random.Random(seed)
    names = 'abcde'[: rng.choice((3, 4, 5, 5))]
    run = start_cluster(seed, names)
    run.delay_rate = rng.choice((0.0, 0.0, 0.1))
    for index in range(rng.randint(1, 3)):
        writer, *others = rng.sample(names, len(names))
        _cut_around(run, rng, names, writer)
        run.cuts |= {
            (name, simulation.TABLE) for name in others if rng.random() < 0.9
        }
        run.propose(writer, f'edit{index}', 'key')
        run.run(rng.choice((0.04, 0.06, 0.1)))
        run.table_down = rng.random() < 0.8
        for _ in range(rng.randint(1, 4)):
            name = rng.choice(others)
            if rng.random() < 0.3:
                run.post(name, events.StopRequested())
                run.run(0.2)
            if rng.random() < 0.6:
                run.kill(name)
                run.start(name)
            _cut_around(run, rng, names, writer)
            run.run(rng.choice((0.1, 0.3, 0.6, 1.0, 2.0)))
        run.run(4)
        run.table_down = rng.random() < 0.3
    run.check_outcomes()
    return run


def _cut_around(run, rng, names, writer):
    """Cut most links from and to the writer and few of the others."""
    outgoing, incoming, others = rng.choice(
        ((0.6, 0.3, 0.05), (0.9, 0.5, 0.15))
    )
    share_by_is_writer = {True: outgoing, False: others}
    run.cuts = {pair for pair in run.cuts if simulation.TABLE in pair} | {
        (one, other)
        for one, other in itertools.permutations(names, 2)
        if rng.random()
        < (incoming if other == writer else share_by_is_writer[one == writer])
    }


def _random_fault(run, rng, index):
    if not run.live():
        run.start('restarted')
    live = [process.name for process in run.live()]
    every = [*run.processes_by_name, simulation.TABLE]
    name = rng.choice(live)
    match rng.choice(_FAULTS):
        case 'propose':
            run.propose(name, f'edit{index}', rng.choice('abc'))
        case 'race':
            for other in rng.sample(live, min(2, len(live))):
                run.propose(other, f'edit{index}-{other}', rng.choice('ab'))
        case 'cut':
            run.cuts |= {tuple(rng.sample(every, 2)) for _ in range(6)}
        case 'change cuts':
            _cut_randomly(run, rng, every)
        case 'partition':
            rng.shuffle(every)
            middle = rng.randint(1, len(every) - 1)
            run.partition(every[:middle], every[middle:])
        case 'reconnect':
            run.cuts = set()
        case 'pause':
            run.pause(name, rng.choice((0.5, 2.9, 3.2, 6.0)))
        case 'restart':
            run.kill(name)
            run.schedule(rng.choice((0.01, 1.0, 4.0)), lambda: run.start(name))
        case 'restart during a rollout' if len(live) > 2:
            _cut_randomly(run, rng, every)
            run.propose(name, f'edit{index}', 'a')
            run.run(rng.choice((0.05, 0.1, 0.6)))
            other = rng.choice([item for item in live if item != name])
            run.table_down = rng.random() < 0.7
            run.kill(other)
            run.start(other)
            _cut_randomly(run, rng, every)
        case 'kill' if len(live) > 2:
            run.kill(name)
        case 'join' if len(live) < 7:
            run.start(f'j{index}')
        case 'leave' if len(live) > 2:
            run.post(name, events.StopRequested())
            run.schedule(rng.choice((0.0, 1.0, 5.0)), lambda: run.kill(name))
        case 'outage':
            run.table_down = not run.table_down
        case 'lost responses':
            run.response_loss_rate = rng.choice((0.0, 0.5, 1.0))


def _cut_randomly(run, rng, every):
    """Cut each direction of each link with the same probability."""
    share = rng.choice((0.2, 0.4, 0.6))
    run.cuts = {
        pair
        for pair in itertools.permutations(every, 2)
        if rng.random() < share
    }


_FAULTS = (
    *('propose',) * 5,
    *('restart during a rollout', 'change cuts') * 3,
    *('race', 'partition', 'reconnect', 'restart', 'outage') * 2,
    *('cut', 'pause', 'kill', 'join', 'leave', 'lost responses'),
)


def _recover(run):
    run.cuts, run.table_down = set(), False
    run.loss_rate = run.delay_rate = run.response_loss_rate = 0.0
    run.run(15)
    for process in run.live():
        if process.state.quorum.stopping:
            run.kill(process.name)
    if not run.live():
        run.start('last')
    alive = {(item.name, item.incarnation) for item in run.live()}
    # The platform reports the processes that have terminated.
    for process in run.live():
        for voter_set in (
            versions.required_voter_sets(run.row) if run.row else ()
        ):
            for voter in voter_set:
                if voter not in alive:
                    run.post(process.name, events.ProcessEnded(voter))


def _check_progress(run):
    """Check that all live nodes admit and that a change is accepted."""
    for process in run.live():
        if not run.admits(process.name):
            run.fail(f'{process.name} does not admit after recovery')
    run.propose(run.live()[0].name, 'final', 'final')
    run.run(6)
    if not isinstance(run.result_by_attempt.get('final'), publish.Accepted):
        run.fail('no change is accepted within 6 s after recovery')
    if {run.version(process.name) for process in run.live()} != {
        run.row.version
    }:
        run.fail('a node does not follow after recovery')
    run.check_outcomes()


def silent_node_run():
    """Node c is cut off just after a confirmation; then a change is made."""
    run = start_cluster(1, 'abc')
    run.partition('ab' + 'T', 'c')
    run.cuts |= {('c', simulation.TABLE)}
    run.propose('a', 'edit', 'key')
    run.run(8)
    return run


def partition_run():
    """Nodes d and e are connected only to each other during a change."""
    run = start_cluster(2, 'abcde')
    run.partition('abc', 'de')
    run.cuts |= {('d', simulation.TABLE), ('e', simulation.TABLE)}
    run.run(1)
    run.propose('a', 'edit', 'key')
    run.run(20)
    return run


def restart_run():
    """Node a acknowledges a version and restarts among nodes without it.

    The restarted process is confirmed by c, d and e at the previous version;
    then e acknowledges, and b counts a, b and e as a majority.
    """
    run = start_cluster(3, 'abcde')
    run.cuts = {('b', 'c'), ('b', 'd'), ('b', 'e')}
    run.cuts |= {('a', other) for other in 'cde'}
    run.cuts |= {(name, simulation.TABLE) for name in 'acde'}
    run.propose('b', 'edit', 'key')
    while run.version('a') < 6:
        run.run(0.005)
    run.run(0.05)
    run.table_down = True
    run.kill('a')
    run.start('a')
    run.cuts = {('b', 'c'), ('b', 'd'), ('a', 'b'), ('b', 'a')}
    run.cuts |= {('b', 'e')}
    run.run(2)
    run.cuts = {('b', 'c'), ('b', 'd'), ('a', 'b'), ('b', 'a')}
    run.cuts |= {('e', other) for other in 'acd'}
    run.run(20)
    return run


def stale_answer_run():
    """As `restart_run`, but c, d and e acknowledge just after confirming."""
    run = start_cluster(4, 'abcde')
    run.cuts = {('b', 'c'), ('b', 'd'), ('b', 'e')}
    run.cuts |= {('a', other) for other in 'cde'}
    run.cuts |= {(name, simulation.TABLE) for name in 'acde'}
    run.propose('b', 'edit', 'key')
    while run.version('a') < 6:
        run.run(0.005)
    run.run(0.05)
    run.table_down = True
    run.kill('a')
    run.start('a')
    run.cuts = {('b', other) for other in 'acde'} | {('a', 'b')}
    while not run.admits('a'):
        run.run(0.01)
    run.cuts = {(one, 'a') for one in 'bcde'} | {('a', 'b')}
    run.run(20)
    return run


def member_chain_run():
    """Nodes a and b miss four joins, then a change is made.

    They are a majority of the three members that they know, while the other
    five nodes are a majority of the seven current members.
    """
    run = start_cluster(5, 'abc')
    run.cuts = {(simulation.TABLE, 'a'), (simulation.TABLE, 'b')}
    run.cuts |= {('a', simulation.TABLE), ('b', simulation.TABLE)}
    for name in 'defg':
        run.cuts |= {(one, other) for one in 'cdefg' for other in 'ab'}
        run.start(name)
        run.run(3)
    run.propose('g', 'edit', 'key')
    run.run(20)
    return run


def lost_response_run():
    """The response to a write is lost and the write takes effect late."""
    run = start_cluster(6, 'abc')
    run.response_loss_rate = 1.0
    run.propose('a', 'edit', 'key')
    run.run(3)
    run.response_loss_rate = 0.0
    run.run(20)
    run.check_outcomes()
    return run


def paused_node_run():
    """Node c is paused while a change is accepted, and resumes later."""
    run = start_cluster(7, 'abc')
    run.pause('c', 9.0)
    run.propose('a', 'edit', 'key')
    run.run(15)
    return run


def released_restart_run():
    """Node a releases, restarts, and is confirmed below a new version."""
    run = start_cluster(8, 'abcde')
    run.cuts = {('a', simulation.TABLE)}
    run.run(3)
    run.post('a', events.StopRequested())
    run.run(3)
    run.cuts = {('b', 'c'), ('b', 'd'), ('b', 'e')}
    run.cuts |= {(name, simulation.TABLE) for name in 'acde'}
    run.propose('b', 'edit', 'key')
    run.run(0.1)
    run.table_down = True
    run.kill('a')
    run.start('a')
    run.cuts = {('b', other) for other in 'acde'} | {('a', 'b')}
    while not run.admits('a'):
        run.run(0.01)
    run.cuts = {(one, 'a') for one in 'bcde'} | {('a', 'b')}
    run.run(20)
    return run


def lagging_peer_run():
    """Node a restarts connected only to d, which missed a version."""
    run = start_cluster(9, 'abcde')
    run.partition('bce', 'ad')
    run.cuts |= {('a', simulation.TABLE), ('d', simulation.TABLE)}
    run.propose('b', 'edit', 'key')
    run.run(6)
    run.kill('a')
    run.start('a')
    run.run(10)
    return run
