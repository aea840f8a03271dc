"""Steps for the flood measurements."""

import pathlib
import tempfile

import behave

from hornbeamrudder.bench import flood_load
from hornbeamrudder.bench import flood_report
from hornbeamrudder.bench import local
from hornbeamrudder.core import types


@behave.then(
    'the base load of each scenario is the same with and without the flood'
)
def check_base(context):
    for scenario in flood_load.SCENARIOS.values():
        reference = scenario.reference()
        assert not reference.wave and reference != scenario
        full = flood_load.arrivals(scenario.streams, 3)
        base = [item for item in full if item.stream in scenario.base]
        assert base == list(flood_load.arrivals(reference.streams, 3))


@behave.then('the floods have the sizes stated in the targets')
def check_sizes(context):
    rate = flood_load.tokens_per_second
    batch = flood_load.SCENARIOS['batch-flood']
    assert rate(batch.flood) >= 9.99 * flood_load.CAPACITY_TOKENS_PER_S
    large = flood_load.SCENARIOS['large-caller']
    assert abs(rate(large.flood) / rate(large.base) - 50) < 0.01
    assert flood_load.WAVE_ENGINES / flood_load.ENGINES >= 0.43


@behave.then('an answer after its deadline is late and a refusal is not run')
def check_figures(context):
    def record(seconds, outcome=flood_report.ANSWERED):
        return flood_report.Record(
            'fitters', types.Rank.URGENT, 12, seconds, outcome
        )

    (figures,) = flood_report.figures_by_group(
        [record(1.0), record(9.0), record(0.1, 'not_run'), record(1, 'lost')]
    )
    names = ('offered', 'in_time', 'late', 'not_run', 'other')
    assert [figures[name] for name in names] == [4, 1, 1, 1, 1]


@behave.then('counters of one service are summed over all nodes')
def check_counters(context):
    def page(service, requests, attempts):
        return ''.join(
            f'hornbeamrudder_{name}{{rank="urgent",service="{service}"}}'
            f' {value}\n'
            for name, value in (
                ('requests_total', requests),
                ('backend_attempts_total', attempts),
            )
        )

    totals = flood_report.sum_counters(
        [page('a', 10, 11), page('a', 10, 12), page('b', 1, 9)], 'a'
    )
    assert totals['attempts_per_request'] == 23 / 20


@behave.when('two processes are started with invalid settings')
def start_with_invalid(context):
    invalid = (('standin', 'table'), {'surplus': 1})
    with tempfile.TemporaryDirectory() as folder:
        try:
            with local.local_processes(pathlib.Path(folder)) as processes:
                context.by_name = processes.by_name
                processes.start_many({'a': invalid, 'b': invalid})
        except RuntimeError:
            return
    raise AssertionError('the processes started')


@behave.then('neither of them is running')
def check_none_running(context):
    assert sorted(context.by_name) == ['a', 'b']
    assert not any(item.running for item in context.by_name.values())
