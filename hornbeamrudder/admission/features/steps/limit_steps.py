"""Steps for account limits, changed floors and waiting for workers."""

from concurrent import futures
import time

import behave
from returns import result

from hornbeamrudder.admission import controller
from hornbeamrudder.admission import limits
from hornbeamrudder.answers import generation
from hornbeamrudder.answers import generation_types
from hornbeamrudder.answers import scheduler
from hornbeamrudder.core import errors
from hornbeamrudder.core import types
from hornbeamrudder.inventory import schema

SERVICE = 'modele-atelier'


def parse_floors(text):
    return tuple(map(float, text.split(',')))


@behave.given(
    'a controller with floors {floors}, no slots and {count:d} waiting'
    ' requests of each rank'
)
def make_waiting(context, floors, count):
    context.granted = []
    context.controller = controller.Controller(parse_floors(floors))
    context.add_cleanup(context.controller.close)

    def record_grant(future):
        entry = future.result().unwrap().entry
        context.granted.append(entry.rank.name[0].lower())

    deadline = time.monotonic() + 1e6

    def submit(rank, account):
        return context.controller.submit(
            rank, account, SERVICE, 100.0, deadline
        )

    context.controller.set_capacity(SERVICE, 1)
    first = submit(types.Rank.URGENT, 'first').result().unwrap()
    for number in range(count):
        for rank in types.Rank:
            submit(rank, f'account-{number}').add_done_callback(record_grant)
    # Urgent work of 10,000 tokens is served while the other ranks wait
    # without a floor.
    context.controller.set_capacity(SERVICE, 0)
    context.controller.release(first, 10_000.0)


@behave.when('the floors become {floors} and {slots:d} slots are given')
def change_floors(context, floors, slots):
    context.controller.set_floors(parse_floors(floors))
    for capacity in range(1, slots + 1):
        context.controller.set_capacity(SERVICE, capacity)


@behave.then('all {count:d} requests are granted')
def check_granted(context, count):
    assert len(context.granted) == count, context.granted


@behave.then('all {count:d} requests are granted in the order "{order}"')
def check_order(context, count, order):
    assert ''.join(context.granted) == order, context.granted
    assert len(context.granted) == count


@behave.given('a limit of {limit:d} {name} and {nodes:d} live nodes')
def set_limit(context, limit, name, nodes):
    context.limits = schema.AccountLimits(
        **({} if name == 'nothing' else {name: limit})
    )
    context.nodes = nodes
    context.usage = limits.Usage()
    context.admitted, context.refusals = 0, []


def submit_one(context, now, tokens=10.0):
    admitted = limits.admit(
        context.usage, context.limits, context.nodes, tokens, now
    )
    if isinstance(admitted, errors.Failure):
        context.refusals.append(admitted)
    else:
        context.usage = admitted
        context.admitted += 1


@behave.when(
    '{count:d} requests of {tokens:d} tokens arrive in {seconds:d} seconds on'
    ' one node'
)
def submit_many(context, count, tokens, seconds):
    for number in range(count):
        submit_one(context, 100 + seconds * number / count, tokens)


@behave.then('between {low:d} and {high:d} of them are admitted')
def check_admitted(context, low, high):
    assert low <= context.admitted <= high, context.admitted


@behave.then('the refusal is not run, at step "{step}", with a retry time')
def check_refusal(context, step):
    for failure in context.refusals:
        assert failure.outcome is types.Outcome.NOT_RUN
        assert failure.kind is errors.FailureKind.OVERLOADED
        assert failure.step.value == step and failure.retry_after_s >= 1


@behave.when(
    '{count:d} requests arrive and one node fails before {more:d} more'
)
def lose_node(context, count, more):  # fmt: skip
    for _ in range(count):
        submit_one(context, 100.0)
    context.before = context.usage.open_requests
    context.nodes -= 1
    for _ in range(more):
        submit_one(context, 100.0)


@behave.then('{before:d} are open before and {after:d} after it')
def check_open(context, before, after):
    assert context.before == before
    assert context.usage.open_requests == after
    assert limits.release(context.usage).open_requests == after - 1


@behave.then(
    'a queue of {requests:d} requests and {tokens:d} tokens {state} at limits'
    ' of {max_requests:d} and {max_tokens:d}'
)
def check_queue(context, requests, tokens, state, max_requests, max_tokens):
    refusal = limits.check_queue_limits(
        schema.AdmissionLimits(
            max_queued_requests=max_requests, max_queued_tokens=max_tokens
        ),
        requests, float(tokens), 10.0,
    )  # fmt: skip
    assert (refusal is not None) is (state == 'is full')
    assert refusal is None or refusal.outcome is types.Outcome.NOT_RUN


class Workers:
    """Worker pool whose first calls of `choose` find no worker."""

    def __init__(self, tries):
        self._remaining = tries

    def choose(self, request, excluded):
        self._remaining -= 1
        if self._remaining > 0:
            return result.Failure(
                errors.Failure(
                    errors.FailureKind.UNAVAILABLE, errors.Step.ROUTE, '', ''
                )
            )
        return result.Success(
            types.Worker(
                'w', SERVICE, 'h', 'dc', types.Address('127.0.0.1', 1), 1
            )
        )


class PendingBackend:
    """Backend client whose calls never end."""

    future = futures.Future()

    def start(self, request, on_piece):
        return self


@behave.given(
    'an answer with a deadline in {milliseconds:d} ms and a worker after'
    ' {tries:d} tries'
)
def make_answer(context, milliseconds, tries):
    executor = futures.ThreadPoolExecutor(1)
    waits = scheduler.Scheduler(executor)
    context.add_cleanup(executor.shutdown)
    context.add_cleanup(waits.close)
    request = generation_types.GenerationRequest(
        'n-1', 'a', SERVICE, types.Rank.URGENT, b'{}', '', 5, 5.0,
        time.monotonic() + milliseconds / 1000,
    )  # fmt: skip
    context.answer = generation.Generation(
        request,
        PendingBackend(),
        Workers(tries),
        executor,
        waits,
        lambda item: None,
    )


@behave.when('its first attempt is run')
def run_attempt(context):
    context.answer.run_first_attempt()
    context.answer.wait_for_start(10.0)


@behave.then('it was sent')
def check_sent(context):
    assert context.answer.attempts == 1


@behave.then('it failed as not run')
def check_failed(context):
    assert context.answer.attempts == 0
    assert context.answer.buffer.failure.outcome is types.Outcome.NOT_RUN
