"""Steps for the planning of weight loads."""

import dataclasses

import behave
import hypothesis
from hypothesis import strategies

from hornbeamrudder.core import types
from hornbeamrudder.fleet import weights

BYTES = 60
RATE = 2.0
MODELS = ('quill', 'scribe', 'tags')


def model(name, engines, rank=types.Rank.URGENT):
    return weights.Model(name, 'quill-llm', rank, BYTES, engines)


def plan(models, fleet, max_download_s=60.0, store_busy=False):
    return weights.plan(models, fleet, RATE, max_download_s, store_busy)


@behave.given(
    '8 new engines and a weight store that loads 2 models in 60 seconds'
)
def make_new_engines(context):
    context.fleet = [
        weights.Engine(f'worker-{number}', 'quill', frozenset())
        for number in range(8)
    ]


def ready_times(fleet, max_download_s):
    """Return when each engine has its weights if downloads share the rate."""
    remaining_bytes_by_engine = {}
    fleet = {engine.id: engine for engine in fleet}
    times = []
    now = 0.0
    while len(times) < len(fleet):
        for name in plan(
            [model('quill', 8)], fleet.values(), max_download_s
        ).load:
            remaining_bytes_by_engine[name] = float(BYTES)
            fleet[name] = dataclasses.replace(fleet[name], loading='quill')
        rate = RATE / len(remaining_bytes_by_engine)
        seconds = min(remaining_bytes_by_engine.values()) / rate
        now += seconds
        for name in tuple(remaining_bytes_by_engine):
            remaining_bytes_by_engine[name] -= rate * seconds
            if remaining_bytes_by_engine[name] <= 1e-9:
                del remaining_bytes_by_engine[name]
                times.append(now)
                fleet[name] = dataclasses.replace(
                    fleet[name], loading='', present=frozenset(['quill'])
                )
    return times


@behave.then('with {loads} the first engine serves after {seconds:d} seconds')
def check_first(context, loads, seconds):
    max_download_s = 1e6 if loads == 'all loads at once' else 60.0
    times = ready_times(context.fleet, max_download_s)
    assert times[0] == seconds, times
    context.last = {*getattr(context, 'last', ()), times[-1]}


@behave.then('in both cases the last engine serves after {seconds:d} seconds')
def check_last(context, seconds):
    assert context.last == {seconds}, context.last


@behave.given('an engine with the weights of "quill" and one without')
def make_two_engines(context):
    context.fleet = [
        weights.Engine('worker-1', 'tags', frozenset(['tags', 'quill'])),
        weights.Engine('worker-2', 'tags', frozenset(['tags'])),
    ]


@behave.when('one more engine for "quill" is needed')
def need_one(context):
    context.plan = plan([model('quill', 1), model('tags', 1)], context.fleet)


@behave.when('two more engines for "quill" are needed and the store is busy')
def need_two(context):
    context.plan = plan([model('quill', 2)], context.fleet, store_busy=True)


@behave.then(
    'the engine with the weights changes its role and nothing is loaded'
)
def check_role_change(context):
    assert context.plan == weights.Plan({'worker-1': 'quill'}, {}), (
        context.plan
    )


names = strategies.sampled_from(MODELS)
engines = strategies.builds(
    weights.Engine,
    strategies.just(''),
    names | strategies.just(''),
    strategies.frozensets(names),
    strategies.sampled_from(('', '', '', *MODELS)),
)


@behave.then('random plans respect the limits')
def check_limits(_context):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=400
    )
    @hypothesis.given(
        strategies.lists(engines, max_size=8),
        strategies.tuples(*[strategies.integers(0, 4)] * len(MODELS)),
    )
    def check(given, desired):
        fleet = {
            f'worker-{number}': dataclasses.replace(
                engine, id=f'worker-{number}'
            )
            for number, engine in enumerate(given)
        }
        models = [
            model(name, count, rank)
            for name, count, rank in zip(
                MODELS, desired, types.Rank, strict=True
            )
        ]
        planned = plan(models, tuple(fleet.values()))
        loading = sum(bool(engine.loading) for engine in given)
        assert not planned.load or loading + len(planned.load) <= 2
        for name, loaded in planned.load.items():
            assert loaded not in fleet[name].present
            assert not fleet[name].loading
        for item in models:
            before = [
                name
                for name, engine in fleet.items()
                if (engine.loading or engine.serves) == item.name
            ]
            after = [name for name in before if name not in planned.serve]
            assert len(after) >= min(len(before), item.engines)

    check()
