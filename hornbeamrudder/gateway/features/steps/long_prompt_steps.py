"""Steps for long prompts beside short ones; no I/O."""

import random
import statistics

import behave

from hornbeamrudder.core import ids
from hornbeamrudder.gateway.features import long_prompt_simulation
from hornbeamrudder.gateway import long_prompts
from hornbeamrudder.gateway import server_selection


@behave.when(
    'long prompts load {long:g} and other prompts {others:g} of {capacity:d}'
    ' engines'
)
def set_load(context, long, others, capacity):
    context.count = long_prompts.gathering_count(long, others, capacity)


@behave.then('long prompts gather at between {low:d} and {high:d} engines')
def check_count(context, low, high):
    assert low <= context.count <= high, context.count


@behave.when(
    '{rate:d} requests per second with some long prompts arrive at'
    ' {engines:d} engines of which every fourth is slow by {slowness:g}'
)
def simulate_uneven(context, rate, engines, slowness):
    context.short_waits_ms = {}
    context.with_target, context.without_target = (
        [
            long_prompt_simulation.simulate(
                engines,
                rate,
                30.0,
                gap_ms,
                seed,
                slowness,
                context.short_waits_ms.setdefault(gap_ms, []),
            )
            for seed in range(3)
        ]
        for gap_ms in (long_prompt_simulation.TARGET_GAP_MS, 0.0)
    )


@behave.then(
    'the median short prompt waits at most {limit_ms:d} ms longer than without'
    ' a target gap'
)
def check_short_waits(context, limit_ms):
    with_target, without_target = (
        statistics.median(context.short_waits_ms[gap_ms])
        for gap_ms in (long_prompt_simulation.TARGET_GAP_MS, 0.0)
    )
    assert with_target <= without_target + limit_ms, (
        with_target,
        without_target,
    )


def _requirements(tokens):
    return server_selection.Requirements(
        prompt_tokens=tokens,
        tokens_per_ms=100.0,
        allowed_wait_ms=120.0,
        gap_ms=400.0,
        run_ms=2500.0,
        running_error=1.0,
        unseen_ms=200.0,
    )


@behave.when(
    'an engine has {running:d} of 32 requests in progress and {backlog:d}'
    ' tokens ahead'
)
def set_engine(context, running, backlog):
    context.candidate = server_selection.Candidate(
        ids.WorkerId('a'), 32, running, float(backlog)
    )


@behave.then(
    'prompts of {short:d} and of {long:d} tokens both {outcome} there'
)
def check_both(context, short, long, outcome):
    found = [
        server_selection.has_capacity(context.candidate, _requirements(tokens))
        for tokens in (short, long)
    ]
    assert found == [outcome == 'start'] * 2, found


@behave.then(
    'of engines with {full:d} and {free:d} of 32 requests in progress the'
    ' second is chosen by {nodes:d} nodes'
)
def check_full(context, full, free, nodes):
    candidates = [
        server_selection.Candidate(ids.WorkerId(name), 32, running)
        for name, running in (('full', full), ('free', free))
    ]
    rng = random.Random(1)
    chosen = {
        server_selection.choose(candidates, _requirements(2000), rng).id
        for _ in range(nodes)
    }
    assert chosen == {'free'}, chosen
