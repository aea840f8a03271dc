"""Steps for roll-outs in virtual time."""

import dataclasses

import behave

from hornbeamrudder.rollouts.features import roll_out_simulation
from hornbeamrudder.rollouts import state

LATE_S = 8.0
ORDER_S = 1.0


@behave.given('a roll-out of a {kind} version with seed {seed:d}')
def given_roll_out(context, kind, seed):
    context.simulation = simulation = roll_out_simulation.Simulation(seed)
    context.servers = None
    if kind == 'bad':
        simulation.is_bad = lambda route, after_s, running: True


@behave.given('a roll-out of a version that is bad {how} with seed {seed:d}')
def given_bad_version(context, how, seed):
    context.servers = None
    context.simulation = simulation = roll_out_simulation.Simulation(seed)
    simulation.is_slow = how.startswith('slow')
    simulation.is_bad = {
        'at once': lambda route, after_s, running: True,
        'slow': lambda route, after_s, running: True,
        'late': lambda route, after_s, running: after_s > LATE_S,
        'slow and late': lambda route, after_s, running: after_s > LATE_S,
        'on one route': lambda route, after_s, running: route == 'chat',
        'under load': lambda route, after_s, running: running > 5,
    }[how]


@behave.given('three in ten answers are slow, by a factor of four')
def given_slightly_slow(context):
    context.simulation.bad_share = 0.3
    context.simulation.slow_by = 4.0


@behave.given('a time budget of {seconds:d} seconds')
def given_time_budget(context, seconds):
    context.simulation.duration_s = float(seconds)


@behave.given('{trouble} during the roll-out')
def given_trouble(context, trouble):
    simulation = context.simulation
    match trouble:
        case 'a burst of three times the load':
            simulation.at(
                7.0, lambda: setattr(simulation, 'rate', 3 * simulation.rate)
            )
        case 'few requests':
            simulation.rate = 3.0
        case 'no requests':
            simulation.rate = 0.0
        case 'a failing host of each version':
            simulation.faulty = {'v1-3': 1.0, 'v2-3': 1.0, 'v2-17': 1.0}
        case 'a crash of two new servers':
            simulation.at(6.0, lambda: simulation.gone.update(_trial(context)))
        case 'a reclaim of half the servers':
            simulation.at(6.5, lambda: _reclaim(simulation))
        case 'lost answers of the store':
            simulation.store.loses_answers = True


def _trial(context):
    node = context.simulation.network.node_by_number[0]
    (known,) = node.state.rollouts.by_service.values()
    return sorted(known.trial_servers)[:2]


def _reclaim(simulation):
    for entry in list(simulation.running)[::2]:
        simulation.gone.add(entry.id)
        for node in simulation.network.node_by_number.values():
            node.state.servers.remove(entry.id, simulation.network.now)


@behave.given('the holder is killed after the step {step}')
def given_holder_killed(context, step):
    simulation = context.simulation

    def kill(phase):
        if phase is state.Phase(step):
            simulation.on_step_written = lambda phase: None
            simulation.kill_holder()

    simulation.on_step_written = kill


@behave.given('the store is away for 4 seconds after the step {step}')
def given_store_away(context, step):
    context.simulation.store.is_away_at = lambda rollout: (
        rollout.phase is state.Phase(step)
    )


@behave.given('a second node believes that it still holds the duties')
def given_second_holder(context):
    simulation = context.simulation
    simulation.number = 4
    simulation.also_holds = {5: 3}


@behave.given('only {count:d} servers of the new version start')
def given_few_servers(context, count):
    context.servers = count


@behave.when('the roll-out is ordered and its time budget passes')
def when_ordered(context):
    _order(context, context.simulation.duration_s)


@behave.when('the roll-out is ordered and {seconds:d} seconds pass')
def when_ordered_for(context, seconds):
    _order(context, seconds)


def _order(context, seconds, target='v2'):
    simulation = context.simulation
    simulation.advance(2.0)
    boots = context.servers != 0
    simulation.give_order(
        target,
        roll_out_simulation.BOOT_S if boots else None,
        context.servers,
    )
    simulation.advance(seconds)


@behave.when('a good version {target} is ordered and its time budget passes')
def when_next_ordered(context, target):
    context.simulation.is_bad = lambda route, after_s, running: False
    _order(context, context.simulation.duration_s, target)


@behave.when('all nodes are started again')
def when_all_restarted(context):
    simulation = context.simulation
    for _ in list(simulation.network.node_by_number):
        simulation.kill_holder()


@behave.when('{seconds:d} seconds pass')
def when_time_passes(context, seconds):
    context.simulation.advance(seconds)


@behave.when('the operator removes the order')
def when_taken_back(context):
    context.simulation.take_back()


@behave.then('the roll-out is completed in time')
def then_completed(context):
    store = context.simulation.store
    last = store.history[-1]
    assert last.phase is state.Phase.COMPLETED, _story(store)
    assert last.since <= last.due_at, _story(store)


@behave.then('the roll-out is rolled back')
def then_rolled_back(context):
    store = context.simulation.store
    assert store.history[-1].phase is state.Phase.ROLLED_BACK, _story(store)


def _story(store):
    first = store.history[0].since
    return '\n'.join(
        f'{item.since - first:.2f} {item.phase} {item.reason} {item.counts}'
        for item in store.history
    )


@behave.then('no run was left at an old server')
def then_no_run_left(context):
    assert not context.simulation.cut_runs, context.simulation.cut_runs


@behave.then('the bad version got no more than its share')
def then_within_share(context):
    simulation = context.simulation
    if simulation.store.history[-1].phase is state.Phase.COMPLETED:
        return
    sent, limit = len(simulation.new_sends), simulation.exposure_limit()
    assert sent <= limit, (sent, limit)


@behave.then('the bad version got nothing long after its 50th bad answer')
def then_nothing_late(context):
    assert not context.simulation.late_sends()


@behave.then('no step was skipped or made twice')
def then_steps_in_order(context):
    phases = context.simulation.store.phases()
    expected = [
        state.Phase.WAITING,
        state.Phase.TRIAL,
        state.Phase.LOAD,
        state.Phase.TRANSFER,
        state.Phase.COMPLETED,
    ]
    if phases[-1] is state.Phase.ROLLED_BACK:
        expected = [*expected[: len(phases) - 1], phases[-1]]
    assert phases == expected, phases


@behave.then('the fencing numbers of the steps never fell')
def then_numbers_rise(context):
    numbers = [item.number for item in context.simulation.store.history]
    assert numbers == sorted(numbers), numbers


@behave.then('no request goes to the version that was rolled back')
def then_none_to_rolled_back(context):
    assert _versions(context) == {'v1'}


@behave.then('all requests go to version {version}')
def then_all_to(context, version):
    assert _versions(context) == {version}


def _versions(context):
    """Return the versions that get requests in the next second."""
    simulation = context.simulation
    found = set()
    run = simulation._run

    def record(node, route, placement):
        found.add(placement.record.entry.version)
        run(node, route, placement)

    simulation._run = record
    simulation.advance(1.0)
    simulation._run = run
    return found


@behave.given('nodes without bounds on roll-outs and servers of two versions')
def given_no_bounds(context):
    context.simulation = simulation = roll_out_simulation.Simulation(1)
    for node in simulation.network.node_by_number.values():
        node.state.settings = dataclasses.replace(
            node.state.settings,
            bounds=dataclasses.replace(
                roll_out_simulation.BOUNDS, exposure_share=None
            ),
        )
    simulation.give_order()
    simulation.advance(5.0)


@behave.then('requests go to servers of both versions')
def then_both_versions(context):
    assert _versions(context) == {'v1', 'v2'}
