"""Steps for long prompts beside short ones; no I/O."""

import dataclasses
import random
import statistics

import behave

from hornbeamrudder.core import ids
from hornbeamrudder.gateway.features import long_prompt_simulation
from hornbeamrudder.gateway import forward
from hornbeamrudder.gateway import long_prompts
from hornbeamrudder.gateway import server_selection

SIMULATED_S = 30.0
# Targets for the time to the first event.
TARGET_MS = {
    long_prompt_simulation.Kind.SHORT: 500.0,
    long_prompt_simulation.Kind.LONG: 1000.0,
}


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
    '{rate:d} requests per second, {key:d} in 100 of one key, arrive at'
    ' {engines:d} engines, every fourth slow by {slowness:g}, {reclaimed:d} of'
    ' them reclaimed'
)
def simulate_load(context, rate, key, engines, slowness, reclaimed):
    context.waits_ms = {
        gap_ms: {kind: [] for kind in long_prompt_simulation.Kind}
        for gap_ms in (long_prompt_simulation.TARGET_GAP_MS, 0.0)
    }
    context.with_target, context.without_target = (
        [
            long_prompt_simulation.simulate(
                engines,
                rate,
                SIMULATED_S,
                gap_ms,
                seed,
                slowness,
                waits_ms_by_kind,
                reclaimed,
                key / 100,
            )
            for seed in range(3)
        ]
        for gap_ms, waits_ms_by_kind in context.waits_ms.items()
    )


@behave.then('no more streams have a long pause than without a target gap')
def check_pauses(context):
    paused, paused_without = (
        sum(paused for _, paused in results)
        / sum(count for count, _ in results)
        for results in (context.with_target, context.without_target)
    )
    assert paused <= paused_without, (paused, paused_without)


@behave.then(
    'at least {share:d} of 100 short prompts and of 100 long ones are in time'
)
def check_in_time(context, share):
    for kind, waits_ms in context.waits_ms[
        long_prompt_simulation.TARGET_GAP_MS
    ].items():
        in_time = sum(wait_ms <= TARGET_MS[kind] for wait_ms in waits_ms)
        assert waits_ms and 100 * in_time >= share * len(waits_ms), (
            kind,
            in_time,
            len(waits_ms),
        )


@behave.then(
    'the median short prompt waits at most {limit_ms:d} ms longer than without'
    ' a target gap'
)
def check_short_waits(context, limit_ms):
    with_target, without_target = (
        statistics.median(waits_ms[long_prompt_simulation.Kind.SHORT])
        for waits_ms in context.waits_ms.values()
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
    'without an estimated wait for a slot an urgent prompt {urgent} there and'
    ' less urgent ones {others}'
)
def check_reserved(context, urgent, others):
    found = [
        server_selection.has_capacity(
            context.candidate,
            dataclasses.replace(
                _requirements(tokens), run_ms=0.0, slot_share=slot_share
            ),
        )
        for slot_share in (1.0, 1.0 - forward.RESERVED_SLOT_SHARE)
        for tokens in (500, 40_000)
    ]
    assert found == [urgent == 'starts'] * 2 + [others == 'start'] * 2, found


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
