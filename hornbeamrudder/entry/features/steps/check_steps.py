"""Steps that compare what callers were told with what happened."""

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

# Section 2 of the design page: no new work "after a few seconds", 3 s.
NO_NEW_WORK_S = 3.0


@behave.then('the history keeps the promises')
def check_history(context):
    _check(context.trial, False)


@behave.then('the history keeps the promises, orders may be unknown')
def check_history_unknown(context):
    _check(context.trial, True)


@behave.then('the history keeps the promises after a loss without notice')
def check_history_loss(context):
    _check(context.trial, True, True)


def _check(item, unknown_allowed, restarts_allowed=False):
    seen = item.history()
    broken = history.broken_promises(seen, unknown_allowed, restarts_allowed)
    assert not broken, '\n'.join(broken)
    answered = [
        call.rank
        for call in seen.records
        if call.end is callers.CallEnd.ANSWERED
    ]
    # A load of refusals alone would keep every promise.
    assert types.Rank.STANDARD in answered, 'no order was answered'


@behave.then('a stream was resumed or moved')
def check_moved(context):
    item = context.trial
    item.end_load()
    recomputed = sum(
        local.get_json(item.client, item.running.address(name), '/totals')[
            'recomputed_tokens'
        ]
        for name in item.running.engine_names
        if item.processes.by_name[name].running
    )
    resumed = any(call.connections > 1 for call in item.records)
    assert recomputed or resumed, 'the fault hit no stream'


@behave.then('node {node} ends with status 0')
def check_status(context, node):
    status = context.trial.processes.by_name[node].wait(60.0)
    assert status == 0, status


@behave.then('no call needed a second connection')
def check_connections(context):
    item = context.trial
    item.end_load()
    cut = [call.key for call in item.records if call.connections > 1]
    assert not cut, cut


@behave.then('{node} has handed over answers')
def check_handed_over(context, node):
    log = context.trial.processes.log_text(node)
    moved = re.findall('"answers handed over".*"moved": ([0-9]+)', log)
    assert any(map(int, moved)), moved


@behave.then('orders are answered again')
def check_orders_answered(context):
    item = context.trial
    item.wait(
        lambda: item.order().end is callers.CallEnd.ANSWERED,
        'an order is answered',
    )


@behave.then('a stream is answered by {node}')
def check_stream_answered(context, node):
    item = context.trial
    item.wait(
        lambda: (
            item.stream(item.caller_at(node)).end is callers.CallEnd.ANSWERED
        ),
        f'{node} answers a stream',
    )


@behave.then('{worker} gets no new request later than 3 s after the notice')
def check_no_new_work(context, worker):
    item = context.trial
    noticed_at = item.notes['noticed_at']
    time.sleep(max(0.0, noticed_at + NO_NEW_WORK_S - time.monotonic()))
    before = _received(item, worker)
    others = [name for name in item.running.engine_names if name != worker]
    elsewhere = sum(_received(item, name) for name in others)
    item.wait(
        lambda: sum(_received(item, name) for name in others) > elsewhere + 20,
        'other engines receive requests',
    )
    after = _received(item, worker)
    assert after == before, f'{after - before} requests came late'


def _received(item, worker):
    return local.get_json(
        item.client, item.running.address(worker), '/totals'
    )['received_requests']


@behave.when('the same key is sent to two nodes at once, {count:d} times')
def send_twice(context, count):
    item = context.trial
    sent = []
    for _ in range(count):
        key = item.key('twice')
        sent += [
            item.submit(item.order, item.caller_at(node), key)
            for node in ('entry-1', 'entry-2')
        ]
    context.pairs = list(
        zip(*[iter(call.result() for call in sent)] * 2, strict=True)
    )


@behave.then('both callers get the same answer of one run')
def check_pairs(context):
    for first, second in context.pairs:
        assert first.end is callers.CallEnd.ANSWERED, first
        assert (second.end, second.text) == (first.end, first.text), second


@behave.then('a used key with another body is refused with status {status}')
def check_other_body(context, status):
    item = context.trial
    key = item.key('used')
    assert item.order(key=key).end is callers.CallEnd.ANSWERED
    call = item.caller_at('entry-3').call_service(
        item_clerks(),
        item.running.plan.plain_service,
        'POST',
        '/visits',
        key,
        b'{"other": true}',
    )
    assert call.end is callers.CallEnd.NOT_RUN, call
    assert call.detail.startswith(status), call.detail


def item_clerks():
    """Identity that sends orders."""
    return callers.Identity('clerks', 'token-clerks', types.Rank.STANDARD)


@behave.then('orders are refused as not run and streams go on')
def check_refused(context):
    item = context.trial
    calls = [item.submit(item.order) for _ in range(8)]
    streams = [item.submit(item.stream) for _ in range(3)]
    for call in futures.as_completed(calls):
        assert call.result().end is callers.CallEnd.NOT_RUN, call.result()
    for call in futures.as_completed(streams):
        assert call.result().end is callers.CallEnd.ANSWERED, call.result()


@behave.when('an order has run')
def run_order(context):
    item = context.trial
    context.used_key = item.key('used')
    context.first = item.order(key=context.used_key)
    assert context.first.end is callers.CallEnd.ANSWERED, context.first


@behave.then('its key is answered as unknown and a new key as not run')
def check_used_key(context):
    item = context.trial
    new = item.order()
    assert new.end is callers.CallEnd.NOT_RUN, new
    assert _end_of_repeat(item, context.used_key) == 'unknown'


def _end_of_repeat(item, key):
    # Without `Idempotency-Attempt`, as a caller that tries again sends it.
    answer = item.client.call(
        http.HttpRequest(
            method='POST',
            peer=str(item.running.address('entry-2')),
            path=f'/v1/services/{item.running.plan.plain_service}'
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
    again = context.trial.order(key=context.used_key)
    assert (again.end, again.text) == (
        context.first.end,
        context.first.text,
    ), again


# The checker itself.


@behave.given('a good history')
def good_history(context):
    text = history.expected_text('quote', 3)
    context.stream = _call('quote', types.Rank.URGENT, text)
    context.order = _call(
        'visit', types.Rank.STANDARD, '{"path":"/visits/visit"}'
    )
    context.seen = history.History(
        (context.stream, context.order),
        {'visit': 1},
        {'visit': record.OrderState.DONE},
        {'entry-1, 1': [1, 1, 2]},
        3,
    )
    assert not history.broken_promises(context.seen, False)


def _call(key, rank, text):
    return callers.CallRecord(
        key, 'clerks', rank, 0.0, 1.0, callers.CallEnd.ANSWERED, text
    )


@behave.when('{change} is put into it')
def spoil(context, change):
    replace = history.dataclasses.replace
    stream, order = context.stream, context.order
    seen = context.seen
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
            seen = replace(seen, runs_by_key={'visit': 2})
        case 'an answer without a run':
            seen = replace(seen, runs_by_key={})
        case 'a run after "not run"':
            order = replace(order, end=callers.CallEnd.NOT_RUN)
        case 'a run after a record "not run"':
            seen = replace(
                seen, states_by_key={'visit': record.OrderState.NOT_RUN}
            )
        case 'a record that is not final':
            seen = replace(
                seen, states_by_key={'visit': record.OrderState.ACCEPTED}
            )
        case 'an unknown outcome':
            order = replace(order, end=callers.CallEnd.UNKNOWN)
        case 'an answer that no node had':
            stream = replace(stream, restarts=1)
        case 'a lower version':
            seen = replace(seen, versions_by_process={'entry-1, 1': [2, 1]})
        case _:
            raise AssertionError(change)
    context.seen = replace(seen, records=(stream, order))


@behave.then('the checker reports it')
def check_checker(context):
    assert history.broken_promises(context.seen, False)
