"""Steps for the policy simulation."""

import contextlib
import io
import json
import math
import pathlib
import tempfile

import behave
import yaml

from hornbeamrudder.bench import baselines
from hornbeamrudder.bench import experiment
from hornbeamrudder.bench import figures
from hornbeamrudder.bench import report
from hornbeamrudder.bench import scenario as scenarios
from hornbeamrudder.bench import simulated_engine
from hornbeamrudder.bench import simulation

EXAMPLES = pathlib.Path(__file__).parents[4] / 'examples' / 'scenarios'
POLICY = baselines.POLICIES['policy']


def make_content(duration_s=20):
    common = {'service': 'm', 'tokens': 50, 'prefixes': 2}
    return {
        'name': 'small',
        'about': 'a test',
        'duration_s': duration_s,
        'warm_up_s': 2,
        'nodes': 3,
        'services': [{'name': 'm', 'workers': 4, 'slots': 4}],
        'loads': [
            common | {'account': 'a', 'rank': 'urgent', 'deadline_s': 8,
                      'capacity_part': 0.3},
            common | {'account': 'b', 'rank': 'batch', 'deadline_s': 30,
                      'capacity_part': 0.8},
        ],
    }  # fmt: skip


@behave.given('a small scenario of {duration:d} seconds')
def make_scenario(context, duration):
    context.content = make_content(duration)


@behave.when(
    '2 of 4 workers are lost at {wave:d} seconds and node 0 fails at'
    ' {failure:d} seconds'
)
def add_faults(context, wave, failure):
    context.content['faults'] = [
        {'kind': 'lose_workers', 'at_s': wave, 'service': 'm', 'part': 0.5},
        {'kind': 'lose_node', 'at_s': failure, 'node': 0},
    ]
    context.run = simulation.Simulation(
        scenarios.Scenario.model_validate(context.content), POLICY, 1
    )
    context.record = context.run.execute()


@behave.then(
    'two runs with seed 1 give equal figures and seed 2 gives different ones'
)
def check_seeds(context):
    scenario = scenarios.Scenario.model_validate(context.content)
    first, again, other = (
        experiment.run_once(scenario, POLICY, seed) for seed in (1, 1, 2)
    )
    assert first == again
    assert first != other


@behave.then('every request is answered or refused and no slot remains in use')
def check_ends(context):
    requests = context.record.requests
    assert len({request.key for request in requests}) == len(requests) > 50
    for request in requests:
        answered = request.finished_at is not None
        assert answered != request.refused, request
        assert not answered or request.remaining_tokens == 0.0, request
    for node in context.run._nodes:
        if node.alive:
            assert node.services['m'].state.demand == 0


@behave.then('retries are counted and are at most 10% of the requests')
def check_retries(context):
    retried = [
        request
        for request in context.record.requests
        if request.attempts > 1 and request.node != 0
    ]
    retries = sum(request.attempts - 1 for request in retried)
    assert 0 < retries <= 0.1 * len(context.record.requests), retries
    result = figures.all_figures(context.record)
    assert result['wave_attempts'] > 1.0
    assert math.isclose(
        len(context.record.attempt_times),
        sum(request.attempts for request in context.record.requests),
    )


@behave.then(
    '2 requests of 100 tokens take as long as token rate and cache imply'
)
def check_engine(context):
    service = scenarios.Service(
        name='m', workers=1, slots=2, token_rate=50, halving_batch=1,
        prefill_cost=0.01, cache_tokens=1500,
    )  # fmt: skip
    load = scenarios.Load(
        account='a', rank='urgent', service='m', capacity_part=0.1,
        tokens=100, deadline_s=10, prompt_tokens=0, prefix_tokens=1500,
    )  # fmt: skip
    engine = simulated_engine.Engine('m-0', service)
    for key in range(2):
        request = simulated_engine.Request(key, load, 0.0, 100, (7,), 100)
        engine.add(simulated_engine.Attempt(request, 100, 0.0), 0.0)
    ends = []
    now = engine.next_event_at(0.0)
    while now is not None:
        ends += [now] * len(engine.take_finished(now))
        now = engine.next_event_at(now)
    # The second request hits the prefix cache and needs 100 tokens at 25/s.
    # The first also needs 15 tokens of prefill, so it runs its last 15 tokens
    # alone, at 50/s.
    assert [round(end, 3) for end in ends] == [4.0, 4.3], ends
    assert engine.hits == 1 and engine.lookups == 2


@behave.then(
    'medians, missing figures and ratios are compared with the bounds'
)
def check_target_results(context):
    values = {
        'policy': {'x': [1.0, 5.0, 2.0], 'y': [3.0, 3.0], 'n': [math.nan]},
        'other': {'y': [2.0, 4.0]},
    }
    cases = [
        (scenarios.Target(figure='x', at_least=2.0, at_most=2.0), True),
        (scenarios.Target(figure='x', at_most=1.9), False),
        (scenarios.Target(figure='absent', at_most=1.0), False),
        (scenarios.Target(figure='n', at_most=1.0), False),
        (
            scenarios.Target(figure='y', at_most=1.2, relative_to='other'),
            True,
        ),
        (scenarios.Target(figure='x', at_most=9, relative_to='other'), False),
    ]
    for target, met in cases:
        (result,) = report.check_targets([target], values, 'policy')
        assert result.met is met, result


@behave.given('a scenario file with {change}')
def write_scenario(context, change):
    content = make_content(duration_s=10)
    match change:
        case 'an unknown key':
            content['loads'][0]['tokns'] = 5
        case 'an unknown policy':
            content['baselines'] = ['best guess']
        case 'a missing service':
            content['loads'][0]['service'] = 'x'
        case 'one baseline':
            content['baselines'] = ['round robin']
    text = '{' if change == 'broken YAML' else yaml.safe_dump(content)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.path = context.folder / 'scenario.yaml'
    context.path.write_text(text)


def run_bench(context, seeds):
    context.out = context.folder / 'out'
    errors, output = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stderr(errors),
        contextlib.redirect_stdout(output),
    ):
        status = experiment.main(
            [str(context.path), '--seeds', str(seeds), '--out']
            + [str(context.out)]
        )
    return status, output.getvalue(), errors.getvalue()


@behave.then('the bench command exits with status 2 and names the file')
def check_rejected(context):
    status, _, errors = run_bench(context, 1)
    assert status == 2
    assert str(context.path) in errors, errors


@behave.then(
    'all files in examples/scenarios are valid and name known baselines'
)
def check_examples(context):
    loaded = [
        scenarios.load_scenario(path) for path in EXAMPLES.glob('*.yaml')
    ]
    assert {'beaudoin', 'blue-mahoe'} <= {item.name for item in loaded}
    for scenario in loaded:
        assert set(scenario.baselines) <= set(baselines.POLICIES)


@behave.when('the bench command runs it with {seeds:d} seeds')
def run_with_seeds(context, seeds):
    status, context.output, errors = run_bench(context, seeds)
    assert status == 0, errors


@behave.then(
    'the folder has a JSON file with {count:d} values for each figure and a'
    ' plot'
)
def check_reports(context, count):
    content = json.loads((context.out / 'small.json').read_text())
    assert set(content['values']) == {'policy', 'round robin'}
    for values_by_figure in content['values'].values():
        assert 'in_time.urgent' in values_by_figure
        assert all(len(item) == count for item in values_by_figure.values())
    assert (context.out / 'small.png').stat().st_size > 0
    assert '| round robin' in context.output
