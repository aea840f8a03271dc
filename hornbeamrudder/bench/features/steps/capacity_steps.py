"""Steps for the fits and processes of the capacity measurements."""

import pathlib
import random
import tempfile
from unittest import mock

import behave

from hornbeamrudder.bench import capacity_peers
from hornbeamrudder.bench import local
from hornbeamrudder.bench import process_usage
from hornbeamrudder.bench import slopes

RELATIVE_TOLERANCE = 0.02


def parse_numbers(text):
    return [float(item) for item in text.split(',')]


def is_near(value, expected):
    return abs(value - expected) <= RELATIVE_TOLERANCE * abs(expected)


def is_rejected(function, *arguments):
    try:
        function(*arguments)
    except ValueError:
        return True
    return False


@behave.given(
    'values of {constant:g} + {slope:g} x size at sizes {sizes} with noise'
    ' of {noise:g}'
)
def make_line(context, constant, slope, sizes, noise):
    rng = random.Random(1)
    context.sizes = parse_numbers(sizes)
    context.values = [
        constant + slope * size + rng.uniform(-noise, noise)
        for size in context.sizes
    ]
    context.fit = slopes.fit_line(context.sizes, context.values)


@behave.then(
    'the fitted slope is near {slope:g} and the constant near {constant:g}'
)
def check_line(context, slope, constant):
    assert is_near(context.fit.slope, slope), context.fit
    assert is_near(context.fit.constant, constant), context.fit
    assert context.fit.largest_size == max(context.sizes)


@behave.then('the value at {size:g} is near {value:g}')
def check_value(context, size, value):
    assert is_near(context.fit.at(size), value), context.fit


@behave.given('values of the square of sizes {sizes}')
def make_square(context, sizes):
    context.sizes = parse_numbers(sizes)
    context.values = [size**2 for size in context.sizes]


@behave.then('the residual of the line is above {share:g}')
def check_residual(context, share):
    fit = slopes.fit_line(context.sizes, context.values)
    assert fit.residual > share, fit


@behave.then('the growth exponent is near {exponent:g}')
def check_exponent(context, exponent):
    result = slopes.growth_exponent(context.sizes, context.values)
    assert is_near(result, exponent), result


@behave.then('a fit of sizes {sizes} and values {values} is rejected')
def check_rejected(context, sizes, values):
    assert is_rejected(
        slopes.fit_line, parse_numbers(sizes), parse_numbers(values)
    )


@behave.given('runs of {runs} requests and tokens each')
def make_runs(context, runs):
    pairs = [parse_numbers(item) for item in runs.split(' and ')]
    context.counts = [(requests, requests * each) for requests, each in pairs]


@behave.then(
    'costs of {request:g} a request and {token:g} a token are recovered'
)
def check_costs(context, request, token):
    totals = [
        request * requests + token * tokens
        for requests, tokens in context.counts
    ]
    result = slopes.solve_costs(context.counts, totals)
    assert is_near(result[0], request) and is_near(result[1], token), result


@behave.then('runs with equal tokens per request are rejected')
def check_dependent_counts(context):
    assert is_rejected(slopes.solve_costs, [(1, 10), (2, 20)], [1.0, 2.0])


@behave.then(
    'the runs {runs} have median {median:g}, low {low:g} and high {high:g}'
)
def check_spread(context, runs, median, low, high):
    result = slopes.spread(parse_numbers(runs))
    assert (result.median, result.low, result.high) == (median, low, high)
    assert is_rejected(slopes.spread, [])


@behave.then(
    'a table of "{text}" and {value:g} has two columns and shows "{shown}"'
)
def check_table(context, text, value, shown):
    *_, row = slopes.markdown_table(('a', 'b'), [(text, value)]).split('\n')
    assert row.replace('\\|', '').count('|') == 3, row
    assert shown in row, row


@behave.then('a row with a missing cell is rejected')
def check_short_row(context):
    assert is_rejected(slopes.markdown_table, ('a', 'b'), [('one',)])


@behave.given(
    'the status of a process named "{name}" with {user:d} user and'
    ' {system:d} system ticks'
)
def make_status(context, name, user, system):
    stat = f'42 ({name}) S 1 1 1 0 -1 0 7 0 8 0 {user} {system} 5 6 20 0'
    status = f'Name:\t{name}\nVmRSS:\t    4096 kB\nThreads:\t9\n'
    context.usage = process_usage.parse(stat, status, 100, 0.0)


@behave.then(
    'its CPU time is {cpu_s:g} s, its memory {resident_kb:d} kB and'
    ' its threads {threads:d}'
)
def check_usage(context, cpu_s, resident_kb, threads):
    usage = context.usage
    result = (usage.cpu_s, usage.resident_kb, usage.threads)
    assert result == (cpu_s, resident_kb, threads), result


@behave.then(
    'a heartbeat among {many:d} nodes is as long as one among {few:d}'
)
def check_heartbeat(context, many, few):
    lengths = {
        capacity_peers.heartbeats_sent(
            capacity_peers.node_with_peers(count), 0.2
        )
        for count in (many, few)
    }
    (count_1, bytes_1), (count_2, bytes_2) = lengths
    assert {count_1, count_2} == {many - 1, few - 1}
    assert bytes_1 / count_1 == bytes_2 / count_2, lengths


@behave.when(
    'a stand-in with invalid settings is started together with a valid one'
)
def start_with_invalid(context):
    started = []
    spawn = local.LocalProcesses._spawn

    def recording_spawn(processes, *arguments):
        started.append(spawn(processes, *arguments))
        return started[-1]

    context.started = started
    arguments = ('standin', 'table')
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.object(local.LocalProcesses, '_spawn', recording_spawn),
        local.local_processes(pathlib.Path(folder)) as processes,
    ):
        context.start_failed = False
        try:
            processes.start_many(
                {
                    'invalid': (arguments, {'port': 'none'}),
                    'valid': (arguments, {}),
                }
            )
        except RuntimeError:
            context.start_failed = True
        # Checked inside the block: leaving it stops all registered processes.
        context.ended = [process.poll() is not None for process in started]
        for process in started:
            process.kill()


@behave.then('the start fails and both processes have ended')
def check_ended(context):
    assert context.start_failed
    assert context.ended == [True, True], context.ended
