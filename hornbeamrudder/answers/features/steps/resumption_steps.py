"""Steps for the limits and delays of repeated attempts."""

from concurrent import futures
import time
from unittest import mock

import behave
from returns import result

from hornbeamrudder.answers import attempt_failures
from hornbeamrudder.answers import generation
from hornbeamrudder.answers import generation_types
from hornbeamrudder.answers import handover
from hornbeamrudder.answers import resumption
from hornbeamrudder.core import errors
from hornbeamrudder.core import types
from hornbeamrudder.infrastructure import http


def outcome(name, status):
    if name == 'status':
        return result.Success(http.HttpResponse(int(status)))
    connected = name == 'connection'
    return result.Failure(
        errors.Failure(
            errors.FailureKind.INTERRUPTED
            if connected
            else errors.FailureKind.NOT_CONNECTED,
            errors.Step.READ_ANSWER,
            'w0',
            name,
            types.Outcome.UNKNOWN if connected else types.Outcome.NOT_RUN,
        )
    )


@behave.when(
    '{count:d} attempts of an answer that {has} begun end with {name} {detail}'
)
def fail_attempts(context, count, has, name, detail):
    context.attempts = count
    context.refusals = resumption.Refusals()
    for _ in range(count):
        context.refusals = resumption.after_failure(
            context.refusals,
            attempt_failures.is_proved_not_run(outcome(name, detail)),
            has == 'has',
        )


@behave.then('with {left:g} s left {expected}')
def check_next_attempt(context, left, expected):
    found = 'none is made'
    if resumption.may_attempt(context.attempts, context.refusals, left):
        delay_s = resumption.delay_s(context.refusals, left)
        found = f'another is made after {delay_s:g} s'
    assert found == expected, found


def idle_generation():
    request = generation_types.GenerationRequest(
        'n1-0123', 'fitters', 'modele-atelier', types.Rank.URGENT, b'{}', '',
        5, 5.0, time.monotonic() + 30,
    )  # fmt: skip
    return generation.Generation(
        request,
        mock.Mock(),
        mock.Mock(),
        mock.Mock(spec=futures.Executor),
        mock.Mock(),
        lambda item: None,
    )


@behave.given('an answer with {count:d} attempts, {refused:d} of them refused')
def make_refused_answer(context, count, refused):
    context.answer = idle_generation()
    context.answer.resume_from([b'event'], count, refused, None)


@behave.when('a node takes it over from another one')
def take_over(context):
    message = handover.to_message(context.answer, None, time.monotonic())
    context.taken = idle_generation()
    answers = mock.Mock()
    answers.create.return_value = context.taken
    node = handover.Handover(
        'n2', answers, mock.Mock(), mock.Mock(), lambda worker: None,
        lambda item: None, mock.Mock(),
    )  # fmt: skip
    assert node.take_over(message).accepted


@behave.then(
    'the answer there has {count:d} attempts, {refused:d} of them refused'
)
def check_taken(context, count, refused):
    assert context.taken.attempts == count, context.taken.attempts
    assert context.taken.refused_attempts == refused
