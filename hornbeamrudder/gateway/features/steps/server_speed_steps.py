"""Steps for uneven servers and for old load reports; no I/O."""

import itertools
import random
import re
import statistics

import behave

from hornbeamrudder.core import ids
from hornbeamrudder.gateway import host_speed
from hornbeamrudder.gateway import server_selection
from hornbeamrudder.gateway import server_speed
from hornbeamrudder.gateway import shared_sums

SERVICE = ids.ServiceName('engines')
USUAL_PAUSE_MS = 40.0
EVENTS = 25
TOKENS_PER_MS = 100.0


class Node:
    """Measurements of one node, and the sums that it shares."""

    def __init__(self, number):
        self.sums = shared_sums.SharedSums(ids.NodeId(f'n{number}'), 1)
        self.speeds = server_speed.ServerSpeeds(50.0)


def _exchange(nodes, keys, now):
    for node in nodes:
        node.speeds.publish(node.sums, now)
    live = frozenset(ids.NodeId(f'n{i}') for i in range(len(nodes)))
    for node, other in itertools.permutations(nodes, 2):
        message = other.sums.report()
        if message is not None:
            node.sums.apply(message)
    for node in nodes:
        node.sums.set_nodes(live, None)
        node.speeds.update(node.sums, {SERVICE: keys})


@behave.given(
    '{count:d} nodes that share measurements of servers of slowness "{hosts}"'
)
def share_measurements(context, count, hosts):
    context.nodes = [Node(number) for number in range(count)]
    context.slowness_by_key = dict(enumerate(map(float, hosts.split())))


@behave.when(
    'each server serves {streams:d} streams from all nodes with spells of'
    ' {spell:g} in {share:d} of 100'
)
def serve_streams(context, streams, spell, share):
    rng = random.Random(7)
    now = 100.0
    for number, (key, slowness) in itertools.product(
        range(streams), context.slowness_by_key.items()
    ):
        node = context.nodes[number % len(context.nodes)]
        sampler = server_speed.PaceSampler()
        at, in_spell = now + number * 0.05, rng.random() * 100 < share
        for _ in range(EVENTS):
            if rng.random() < 0.08:
                in_spell = rng.random() * 100 < share
            at += USUAL_PAUSE_MS / 1e3 * slowness * (spell if in_spell else 1)
            pause_ms = sampler.event(at)
            if pause_ms is not None:
                node.speeds.record_pause(key, pause_ms, at)
    _exchange(context.nodes, context.slowness_by_key, now + 3.0)


@behave.when(
    'each server states its slowness in {answers:d} answers to all nodes with'
    ' spells of {spell:g} in {share:d} of 100'
)
def state_slowness(context, answers, spell, share):
    rng = random.Random(7)
    now = 100.0
    for number, (key, slowness) in itertools.product(
        range(answers), context.slowness_by_key.items()
    ):
        factor = spell if rng.random() * 100 < share else 1.0
        context.nodes[number % len(context.nodes)].speeds.record_stated(
            key, slowness * factor, now + number * 0.05
        )
    _exchange(context.nodes, context.slowness_by_key, now + 3.0)


@behave.then('every node knows each stated slowness within {limit:d} in 100')
def check_stated(context, limit):
    for node, (key, slowness) in itertools.product(
        context.nodes, context.slowness_by_key.items()
    ):
        known = node.speeds.slowness_by_key[key]
        assert abs(known / slowness - 1) <= limit / 100, (key, known)


@behave.then(
    'a stated slowness of {stated:g} counts as {expected:g} again {seconds:d}'
    ' s later at a host of lasting slowness {lasting:g}'
)
def check_return(context, stated, expected, seconds, lasting):
    speed = host_speed.HostSpeed()
    assert host_speed.slowness(speed, 0.0, lasting) == lasting
    for tenths in range(20):
        speed = host_speed.updated(speed, stated, tenths / 10, lasting)
    assert host_speed.slowness(speed, 2.0, lasting) > (stated + lasting) / 2
    assert (
        abs(host_speed.slowness(speed, 2.0 + seconds, lasting) - expected)
        < 0.05
    )


@behave.when('the first node hears no others any more')
def hear_no_others(context):
    for node in context.nodes:
        node.speeds.record_placed(SERVICE, 5000.0, 103.0)
    _exchange(context.nodes, context.slowness_by_key, 103.0)
    node = context.nodes[0]
    assert node.speeds.work(node.sums, SERVICE, 103.0).other_tokens_per_s > 0
    node.sums.set_nodes(frozenset(), None)


@behave.then('it knows no work that others place')
def check_no_work(context):
    node = context.nodes[0]
    assert node.speeds.work(node.sums, SERVICE, 103.0).other_tokens_per_s == 0


@behave.then('{seconds:d} s later all servers count as usual to it')
def check_usual(context, seconds):
    node = context.nodes[0]
    node.speeds.publish(node.sums, 103.0 + seconds)
    node.speeds.update(node.sums, {SERVICE: context.slowness_by_key})
    assert all(
        abs(slowness - 1) < 0.1
        for slowness in node.speeds.slowness_by_key.values()
    ), node.speeds.slowness_by_key


@behave.when('one pause is measured at each server')
def measure_one_pause(context):
    for key, slowness in context.slowness_by_key.items():
        context.nodes[0].speeds.record_pause(
            key, USUAL_PAUSE_MS * slowness, 100.0
        )
    _exchange(context.nodes, context.slowness_by_key, 100.1)


@behave.then(
    'every node knows each slowness relative to the median within {limit:d}'
    ' in 100'
)
def check_slowness(context, limit):
    usual = statistics.median(context.slowness_by_key.values())
    for node, (key, slowness) in itertools.product(
        context.nodes, context.slowness_by_key.items()
    ):
        known = node.speeds.slowness_by_key[key]
        assert abs(known * usual / slowness - 1) <= limit / 100, (
            key,
            known,
            slowness / usual,
        )


@behave.then(
    'no server is known to be more than {limit:g} times as slow as another'
)
def check_spread(context, limit):
    for node in context.nodes:
        known = node.speeds.slowness_by_key.values()
        assert max(known) <= limit * min(known), known


@behave.when(
    'a stream has pauses of {pause_ms:d} ms, every third of them {long_ms:d}'
    ' ms'
)
def stream_with_pauses(context, pause_ms, long_ms):
    sampler, at = server_speed.PaceSampler(), 0.0
    context.samples = []
    for number in range(EVENTS):
        at += (long_ms if number % 3 == 2 else pause_ms) / 1e3
        context.samples.append(sampler.event(at))


@behave.then('the pause that is measured is {pause_ms:d} ms')
def check_pause(context, pause_ms):
    found = [sample for sample in context.samples if sample is not None]
    assert found
    assert all(abs(sample - pause_ms) < 0.01 for sample in found), found


@behave.when(
    '{prompts:d} prompts of {tokens:d} tokens are prefilled at {rate:d}'
    ' tokens per ms, by one of them'
)
def prefill_prompts(context, prompts, tokens, rate):
    speeds = context.nodes[0].speeds
    speeds.record_placed(SERVICE, tokens, 100.0)
    for _ in range(prompts):
        speeds.record_prefill(SERVICE, tokens, tokens / rate, 100.0)
    _exchange(context.nodes, context.slowness_by_key, 100.0)


@behave.then(
    'the other nodes assume between {low:d} and {high:d} tokens per ms'
)
def check_rate(context, low, high):
    for node in context.nodes[1:]:
        rate = node.speeds.work(node.sums, SERVICE, 100.0).tokens_per_ms
        assert low <= rate <= high, rate


def _parse_engines(text):
    candidates = []
    for count, kind, figure in re.findall(
        r'(\d+) (idle|with|of slowness)(?: ([\d.]+))?', text
    ):
        candidates += [
            server_selection.Candidate(
                ids.WorkerId(f'w{len(candidates) + number}'),
                slots=64,
                running=0,
                backlog_tokens=float(figure) if kind == 'with' else 0.0,
                slowness=float(figure) if kind == 'of slowness' else 1.0,
            )
            for number in range(int(count))
        ]
    return candidates


def _requirements(tokens, unseen_ms):
    return server_selection.Requirements(
        prompt_tokens=tokens,
        tokens_per_ms=TOKENS_PER_MS,
        unseen_ms=unseen_ms,
    )


@behave.when(
    '{nodes:d} nodes place {prompts:d} prompts of {tokens:d} tokens by one'
    ' report of engines "{engines}"'
)
def place_prompts(context, nodes, prompts, tokens, engines):
    candidates = _parse_engines(engines)
    requirements = _requirements(
        tokens, (prompts - 1) * tokens / TOKENS_PER_MS * (1 - 1 / nodes)
    )
    rng = random.Random(3)
    context.chosen = [
        server_selection.choose(candidates, requirements, rng)
        for _ in range(prompts)
    ]
    context.behind_ms = [
        candidate.slowness
        * (candidate.backlog_tokens + tokens * context.chosen.count(candidate))
        / TOKENS_PER_MS
        for candidate in candidates
    ]


@behave.then(
    'no engine is more than twice as far behind as the engines on average'
)
def check_behind(context):
    assert max(context.behind_ms) <= 2 * statistics.fmean(context.behind_ms), (
        context.behind_ms
    )


@behave.then('the idle engine is chosen')
def check_idle(context):
    assert [candidate.id for candidate in context.chosen] == ['w0']


@behave.then(
    'the preferred engine among {count:d} is chosen with {tokens:d} tokens'
    ' ahead'
)
def check_preferred_chosen(context, count, tokens):
    assert _chosen_of(count, tokens).id == 'preferred'


@behave.then(
    'the preferred engine among {count:d} is not chosen with {tokens:d}'
    ' tokens ahead'
)
def check_preferred_left(context, count, tokens):
    assert _chosen_of(count, tokens).id != 'preferred'


def _chosen_of(count, tokens):
    preferred = server_selection.Candidate(
        ids.WorkerId('preferred'),
        slots=64,
        running=0,
        backlog_tokens=float(tokens),
        cached_tokens=5000,
    )
    return server_selection.choose(
        [preferred, *_parse_engines(f'{count - 1} idle')],
        _requirements(9000, 1000.0),
        random.Random(5),
        {preferred.id},
    )
