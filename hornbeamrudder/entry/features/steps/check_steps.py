"""Steps that check reported outcomes against the actual ones."""

from concurrent import futures
import re
import time

import behave
import orjson

from hornbeamrudder.bench import callers
from hornbeamrudder.bench import local
from hornbeamrudder.core import errors
from hornbeamrudder.core import types
from hornbeamrudder.entry.features import history
from hornbeamrudder.infrastructure import http
from hornbeamrudder.orders import record

# Section 2 of the design page allows "a few seconds" after a notice.
NO_NEW_WORK_S = 3.0


@behave.then('the history satisfies the guarantees')
def check_history(context):
    _check_history(context.harness, False)


@behave.then(
    'the history satisfies the guarantees, unknown order outcomes allowed'
)
def check_history_unknown(context):
    _check_history(context.harness, True)


@behave.then(
    'the history satisfies the guarantees after an unannounced failure'
)
def check_history_loss(context):
    _check_history(context.harness, True, True)


def _check_history(harness, unknown_allowed, restarts_allowed=False):
    checked_history = harness.collect_history()
    violations = history.find_violations(
        checked_history, unknown_allowed, restarts_allowed
    )
    assert not violations, '\n'.join(violations)
    answered = [
        call.rank
        for call in checked_history.records
        if call.end is callers.CallEnd.ANSWERED
    ]
    # A history of refusals only would satisfy every guarantee.
    assert types.Rank.STANDARD in answered, 'no order was answered'


@behave.then('a stream was resumed or moved')
def check_moved(context):
    harness = context.harness
    harness.stop_load()
    recomputed = sum(
        local.get_json(
            harness.client, harness.running.address(name), '/totals'
        )['recomputed_tokens']
        for name in harness.running.engine_names
        if harness.processes.by_name[name].running
    )
    resumed = any(call.connections > 1 for call in harness.records)
    assert recomputed or resumed, 'the fault affected no stream'


@behave.then('node {node} ends with status 0')
def check_status(context, node):
    status = context.harness.processes.by_name[node].wait(60.0)
    assert status == 0, status


@behave.then('no call needed a second connection')
def check_connections(context):
    harness = context.harness
    harness.stop_load()
    reconnected = [
        call.key for call in harness.records if call.connections > 1
    ]
    assert not reconnected, reconnected


@behave.then('{node} has handed over answers')
def check_handed_over(context, node):
    log = context.harness.processes.log_text(node)
    moved = re.findall('"answers handed over".*"moved": ([0-9]+)', log)
    assert any(map(int, moved)), moved


@behave.then('orders succeed again')
def check_orders_answered(context):
    harness = context.harness
    harness.wait(
        lambda: harness.order().end is callers.CallEnd.ANSWERED,
        'an order is answered',
    )


@behave.then('a stream is answered by {node}')
def check_stream_answered(context, node):
    harness = context.harness
    harness.wait(
        lambda: (
            harness.stream(harness.caller_at(node)).end
            is callers.CallEnd.ANSWERED
        ),
        f'{node} answers a stream',
    )


@behave.then('{worker} gets no new requests from 3 s after the notice on')
def check_no_new_work(context, worker):
    harness = context.harness
    noticed_at = harness.fault_state['noticed_at']
    time.sleep(max(0.0, noticed_at + NO_NEW_WORK_S - time.monotonic()))
    before = _received(harness, worker)
    others = [name for name in harness.running.engine_names if name != worker]
    elsewhere = sum(_received(harness, name) for name in others)
    harness.wait(
        lambda: (
            sum(_received(harness, name) for name in others) > elsewhere + 20
        ),
        'other engines receive requests',
    )
    after = _received(harness, worker)
    assert after == before, f'{after - before} requests were sent too late'


def _received(harness, worker):
    return local.get_json(
        harness.client, harness.running.address(worker), '/totals'
    )['received_requests']


@behave.when('the same key is sent to two nodes concurrently, {count:d} times')
def send_twice(context, count):
    harness = context.harness
    sent = []
    for _ in range(count):
        key = harness.key('twice')
        sent += [
            harness.submit(harness.order, harness.caller_at(node), key)
            for node in ('entry-1', 'entry-2')
        ]
    context.pairs = list(
        zip(*[iter(call.result() for call in sent)] * 2, strict=True)
    )


@behave.then('both callers get the same answer')
def check_pairs(context):
    for first, second in context.pairs:
        assert first.end is callers.CallEnd.ANSWERED, first
        assert (second.end, second.text) == (first.end, first.text), second


@behave.then(
    'a used key with a different body is refused with status {status}'
)
def check_other_body(context, status):
    harness = context.harness
    key = harness.key('used')
    assert harness.order(key=key).end is callers.CallEnd.ANSWERED
    call = harness.caller_at('entry-3').call_service(
        clerks(),
        harness.running.plan.plain_service,
        'POST',
        '/visits',
        key,
        b'{"other": true}',
    )
    assert call.end is callers.CallEnd.NOT_RUN, call
    assert call.detail.startswith(status), call.detail


def clerks():
    """Return the identity that sends orders."""
    return callers.Identity('clerks', 'token-clerks', types.Rank.STANDARD)


@behave.then('orders are refused as not run and streams complete')
def check_refused(context):
    harness = context.harness
    calls = [harness.submit(harness.order) for _ in range(8)]
    streams = [harness.submit(harness.stream) for _ in range(3)]
    for call in futures.as_completed(calls):
        assert call.result().end is callers.CallEnd.NOT_RUN, call.result()
    for call in futures.as_completed(streams):
        assert call.result().end is callers.CallEnd.ANSWERED, call.result()


@behave.when('an order has run')
def run_order(context):
    harness = context.harness
    context.used_key = harness.key('used')
    context.first = harness.order(key=context.used_key)
    assert context.first.end is callers.CallEnd.ANSWERED, context.first


@behave.then('its key gets outcome unknown and a new key not run')
def check_used_key(context):
    harness = context.harness
    new = harness.order()
    assert new.end is callers.CallEnd.NOT_RUN, new
    assert _end_of_repeat(harness, context.used_key) == 'unknown'


def _end_of_repeat(harness, key):
    # A retry does not send `Idempotency-Attempt: 1`.
    answer = harness.client.call(
        http.HttpRequest(
            method='POST',
            peer=str(harness.running.address('entry-2')),
            path=f'/v1/services/{harness.running.plan.plain_service}'
            f'/visits/{key}',
            step=errors.Step.DISPATCH,
            headers=(
                ('Authorization', 'Bearer token-clerks'),
                ('Idempotency-Key', key),
            ),
            body=b'{}',
            first_byte_timeout_s=30.0,
        )
    ).unwrap()
    return orjson.loads(answer.body)['outcome']


@behave.then('its key gets the stored answer')
def check_stored(context):
    again = context.harness.order(key=context.used_key)
    assert (again.end, again.text) == (
        context.first.end,
        context.first.text,
    ), again


# Steps for the history checker.


@behave.given('a valid history')
def create_valid_history(context):
    text = history.expected_text('quote', 3)
    context.stream = _call('quote', types.Rank.URGENT, text)
    context.order = _call(
        'visit', types.Rank.STANDARD, '{"path":"/visits/visit"}'
    )
    context.checked_history = history.History(
        (context.stream, context.order),
        {'visit': 1},
        {'visit': record.OrderState.DONE},
        {'entry-1, 1': [1, 1, 2]},
        3,
    )
    assert not history.find_violations(context.checked_history, False)


def _call(key, rank, text):
    return callers.CallRecord(
        key, 'clerks', rank, 0.0, 1.0, callers.CallEnd.ANSWERED, text
    )


@behave.when('{change} is introduced')
def introduce_violation(context, change):
    replace = history.dataclasses.replace
    stream, order = context.stream, context.order
    checked_history = context.checked_history
    match change:
        case 'a foreign token':
            stream = replace(stream, text='x' + stream.text)
        case 'a missing token':
            stream = replace(stream, text=stream.text.partition(' ')[2])
        case 'a lost stream':
            stream = replace(stream, end=callers.CallEnd.LOST)
        case 'a stream refused after its first token':
            stream = replace(
                stream, end=callers.CallEnd.NOT_RUN, text=stream.text[:4]
            )
        case 'a second run':
            checked_history = replace(
                checked_history, runs_by_key={'visit': 2}
            )
        case 'an answer without a run':
            checked_history = replace(checked_history, runs_by_key={})
        case 'a run after "not run"':
            order = replace(order, end=callers.CallEnd.NOT_RUN)
        case 'a run after a record "not run"':
            checked_history = replace(
                checked_history,
                states_by_key={'visit': record.OrderState.NOT_RUN},
            )
        case 'a record that is not final':
            checked_history = replace(
                checked_history,
                states_by_key={'visit': record.OrderState.ACCEPTED},
            )
        case 'an unknown outcome':
            order = replace(order, end=callers.CallEnd.UNKNOWN)
        case 'a restarted stream':
            stream = replace(stream, restarts=1)
        case 'a lower version':
            checked_history = replace(
                checked_history, versions_by_process={'entry-1, 1': [2, 1]}
            )
        case _:
            raise AssertionError(change)
    context.checked_history = replace(checked_history, records=(stream, order))


@behave.then('the checker reports a violation')
def check_checker(context):
    assert history.find_violations(context.checked_history, False)
