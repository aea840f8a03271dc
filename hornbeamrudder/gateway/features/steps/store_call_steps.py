"""Steps for the calls that nodes make to the store, in virtual time."""

import asyncio
import random
from unittest import mock

import behave

from hornbeamrudder.core import ids
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway.features import fleet_simulation
from hornbeamrudder.gateway import peers
from hornbeamrudder.gateway import reports

START_S = 4.0
POLL_S = 0.1
# A node needs this time to find out that the hubs are turned away.
TURN_S = 1.0
TURNED_AWAY_SHARE = 0.35
STOPPED_S = 0.2
RESTARTS = 20
# Age of a configuration from which keys are refused, and some time more.
KEYS_S = 3.2
# Until the last windows that ended before are reported.
REPORTED_S = 14.0
WINDOW_S = fleet_simulation.BOUNDS.usage_window_s


class _Step:
    """Calls and ages of configurations in one step of a scenario."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._calls_before = dict(fleet.store.calls)
        self._started_at = clock.now()
        self.duration_s = 0.0
        self.calls_by_operation = {}
        self.oldest_s = 0.0

    def end(self):
        """Count the calls since the start of the step."""
        self.duration_s = clock.now() - self._started_at
        self.calls_by_operation = {
            name: calls - self._calls_before.get(name, 0)
            for name, calls in self._fleet.store.calls.items()
            if calls > self._calls_before.get(name, 0)
        }
        return self

    @property
    def calls(self):
        """Number of calls."""
        return sum(self.calls_by_operation.values())


async def _pass_time(fleet, step, seconds, is_checked=lambda node_id: True):
    end = clock.now() + seconds
    while clock.now() < end:
        await asyncio.sleep(POLL_S)
        step.oldest_s = max(
            step.oldest_s,
            *(
                running.node.state.confirmed_age()
                for running in fleet.running_by_number.values()
                if is_checked(running.node.settings.node)
            ),
        )


async def _start(fleet):
    fleet.put_configuration(1)
    await fleet.start_all()
    await asyncio.sleep(START_S)


async def _restart_in_turn(fleet):
    for number in range(min(fleet.count, RESTARTS)):
        await fleet.stop(number)
        await asyncio.sleep(STOPPED_S)
        fleet.start(number)
        await asyncio.sleep(STOPPED_S)


async def _play(fleet):
    """Play all steps of the first scenario; return them by name."""
    steps = {}
    step = steps['start'] = _Step(fleet)
    await _start(fleet)
    step.end()
    step = steps['calm'] = _Step(fleet)
    await _pass_time(fleet, step, 6.0)
    step.end()
    step = steps['outage'] = _Step(fleet)
    fleet.store.refuses = lambda node_id: True
    await asyncio.sleep(5.0)
    fleet.store.refuses = lambda node_id: False
    step.end()
    step = steps['back'] = _Step(fleet)
    await asyncio.sleep(TURN_S)
    await _pass_time(fleet, step, 4.0 - TURN_S)
    step.end()
    step = steps['partial'] = _Step(fleet)
    turned_away = {
        ids.NodeId(f'n{number}')
        for number in range(fleet.count)
        if fleet.rng.random() < TURNED_AWAY_SHARE
    }
    fleet.store.refuses = lambda node_id: node_id in turned_away
    await _pass_time(
        fleet, step, 5.0, lambda node_id: node_id not in turned_away
    )
    fleet.store.refuses = lambda node_id: False
    step.end()
    await asyncio.sleep(3.0)
    step = steps['restarts'] = _Step(fleet)
    await _restart_in_turn(fleet)
    await asyncio.sleep(2.0)
    step.end()
    await asyncio.sleep(REPORTED_S)
    return steps


@behave.given('{count:d} nodes with a shared store')
def create_fleet(context, count):
    context.fleet = fleet_simulation.Fleet(count)
    context.count = count
    context.steps = None


@behave.when('all of them start')
def start_all(context):
    context.step = 'start'


@behave.when('6 s pass')
def pass_calm_time(context):
    context.step = 'calm'


@behave.when('the store is down for 5 s')
def be_down(context):
    context.step = 'outage'


@behave.when('the store is back for 4 s')
def be_back(context):
    context.step = 'back'


@behave.when('a third of the nodes is turned away by the store for 5 s')
def be_turned_away(context):
    context.step = 'partial'


@behave.when('20 nodes at most are stopped and started in turn')
def restart_in_turn(context):
    context.step = 'restarts'


def _step(context):
    """Return the figures of the present step; play all steps at first."""
    if context.steps is None:
        context.steps = context.fleet.run(_play)
        assert not context.fleet.failures, context.fleet.failures
    return context.steps[context.step]


def _calm_calls(context, step):
    """Return the calls that calm time as long as a step would have."""
    calm = context.steps['calm']
    return calm.calls / calm.duration_s * step.duration_s


@behave.then('each node makes at most {limit:d} calls')
def check_calls_by_node(context, limit):
    step = _step(context)
    assert step.calls <= limit * context.count, (
        step.calls / context.count,
        step.calls_by_operation,
    )


@behave.then(
    'each node makes at most {limit:d} calls beside those of calm time'
)
def check_additional_calls(context, limit):
    step = _step(context)
    calls = step.calls - _calm_calls(context, step)
    assert calls <= limit * context.count, (
        calls / context.count,
        step.calls_by_operation,
    )


@behave.then('all nodes together make at most {limit:d} calls')
def check_calls(context, limit):
    step = _step(context)
    assert step.calls <= limit, (step.calls, step.calls_by_operation)


@behave.then('each restart costs at most {limit:d} calls')
def check_calls_by_restart(context, limit):
    step = _step(context)
    restarts = min(context.count, RESTARTS)
    calls = step.calls - _calm_calls(context, step)
    assert calls <= limit * restarts, (
        calls / restarts,
        step.calls_by_operation,
    )


@behave.then('each configuration has been confirmed within {limit:g} s')
@behave.then(
    'each node that is not turned away has confirmed its configuration within'
    ' {limit:g} s'
)
def check_confirmed(context, limit):
    step = _step(context)
    assert step.oldest_s <= limit, step.oldest_s


def _missing_by_window(fleet):
    """Return counted and reported requests that differ, by window."""
    last = max(fleet.counted_by_window) - int(REPORTED_S / WINDOW_S)
    return {
        window: (sum(counted.values()), reported)
        for window, counted in fleet.counted_by_window.items()
        if window < last
        and (reported := fleet.reports_by_window.get(window, [{}])[-1])
        != dict(counted)
    }


@behave.then('the usage reports of all windows are complete')
def check_usage(context):
    missing = _missing_by_window(context.fleet)
    assert not missing, missing


@behave.when(
    'the first hub and a node that is no hub are killed {before:g} s before'
    ' and {after:g} s after the end of a window'
)
def kill_hubs(context, before, after):
    async def play(fleet):
        await _start(fleet)
        for offset_s in (-before, after):
            to_end_s = WINDOW_S - clock.wall() % WINDOW_S
            await asyncio.sleep(to_end_s + offset_s)
            running = next(iter(fleet.running_by_number.values()))
            number_by_node = {
                other.node.settings.node: number
                for number, other in fleet.running_by_number.items()
            }
            hubs = running.node.state.peers.hubs()
            first = next(node for node in hubs if node in number_by_node)
            other = next(node for node in number_by_node if node not in hubs)
            fleet.kill(number_by_node[first])
            fleet.kill(number_by_node[other])
        await asyncio.sleep(REPORTED_S)

    context.fleet.run(play)


@behave.then(
    'the usage reports of all windows are complete but for at most'
    ' {percent:d} %'
)
def check_usage_within(context, percent):
    fleet = context.fleet
    assert len(fleet.reports_by_window) > 2, fleet.reports_by_window
    for window, (counted, reported) in _missing_by_window(fleet).items():
        lost = counted - sum(reported.values())
        assert 0 <= lost <= counted * percent / 100, (window, counted, lost)


@behave.when(
    'the store is down from a moment on, and {percent:d} % of the datagrams'
    ' are lost'
)
def be_down_for_good(context, percent):
    async def play(fleet):
        await _start(fleet)
        fleet.loss_rate = percent / 100
        await asyncio.sleep(6.0)
        fleet.store.refuses = lambda node_id: True
        context.down_at = clock.now()
        # A call that is being answered was sent before.
        await asyncio.sleep(KEYS_S)
        return [
            running.node.state for running in fleet.running_by_number.values()
        ], clock.now()

    states, now = context.fleet.run(play)
    context.confirmed_at = [state.confirmed_at for state in states]
    context.now = now


@behave.then(
    'no node has a configuration that was confirmed after that moment'
)
def check_not_later(context):
    assert max(context.confirmed_at) <= context.down_at, (
        max(context.confirmed_at) - context.down_at
    )


@behave.then('each node that had one refuses keys {seconds:g} s after it')
def check_keys_refused(context, seconds):
    youngest_s = context.now - max(context.confirmed_at)
    assert youngest_s >= seconds, youngest_s


@behave.when(
    '{count:d} messages of nodes with different clocks arrive after delays and'
    ' pauses'
)
def exchange_with_clocks(context, count):
    rng = random.Random(3)
    offset_by_node = {
        ids.NodeId(f'n{number}'): rng.uniform(-500, 500) for number in range(4)
    }
    receiver = peers.Peers(ids.NodeId('receiver'))
    now = 1000.0
    shortest_by_node = {}
    context.errors = []
    with mock.patch.object(clock, 'now', lambda: now):
        for _ in range(count):
            now += rng.choice((0.01, 0.3, 2.0))
            node, offset_s = rng.choice(list(offset_by_node.items()))
            delay_s = rng.choice((0.001, 0.05, 3.0))
            confirmation = reports.Confirmation(
                node, 1, now - delay_s + offset_s, 1, 0.0, 0, ()
            )
            receiver.datagram_received(
                reports.encode(confirmation), ('10.0.0.1', 1)
            )
            shortest_by_node[node] = min(
                delay_s, shortest_by_node.get(node, delay_s)
            )
            now += rng.choice((0.0, 5.0))
            context.errors += [
                (
                    now
                    + offset_by_node[other]
                    - receiver.clock_bound(other).clock_s,
                    shortest_s,
                )
                for other, shortest_s in shortest_by_node.items()
            ]


@behave.then('no bound on a clock is later than that clock')
def check_bounds(context):
    assert min(error for error, _ in context.errors) > -1e-6


@behave.then(
    'no bound is earlier than the clock by more than the shortest delay since'
    ' the start'
)
def check_tightness(context):
    assert all(
        error <= shortest_s + 1e-6 for error, shortest_s in context.errors
    )
