"""Steps for the event parser and the answer buffer."""

import random

import behave
import hypothesis
from hypothesis import strategies

from hornbeamrudder.answers import buffer
from hornbeamrudder.answers import events
from hornbeamrudder.core import ids

LAST_OFFSET = 7
REQUEST_ID = ids.RequestId('n1-0123')
FIXED_SEED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)


def event_bytes(offset, text='t'):
    finish = ',"finish_reason":"stop"' if offset == LAST_OFFSET else ''
    return (
        f'id: {REQUEST_ID}:{offset}\n'
        f'data: {{"choices":[{{"delta":"{text}"{finish}}}]}}\n\n'
    ).encode()


@behave.given('the bytes of an answer of {count:d} tokens')
def answer_bytes(context, count):
    context.expected = [
        events.TokenEvent(offset, event_bytes(offset))
        for offset in range(count)
    ] + [events.EndMarker()]
    context.bytes = b''.join(
        event_bytes(offset) for offset in range(count)
    ) + (events.DONE_EVENT + events.EVENT_END)


@behave.then('any split of them into chunks gives the same {count:d} events')
def check_splits(context, count):
    size = len(context.bytes)
    assert len(context.expected) == count

    @FIXED_SEED
    @hypothesis.given(strategies.sets(strategies.integers(1, size - 1)))
    def check(cuts):
        boundaries = [0, *sorted(cuts), size]
        parser = events.EventParser(REQUEST_ID)
        found = [
            event
            for start, end in zip(boundaries, boundaries[1:])
            for event in parser.feed(context.bytes[start:end])
        ]
        assert found == context.expected

    check()


@behave.then('any bytes are parsed without exception')
def check_fuzz(context):
    part = strategies.one_of(
        strategies.binary(max_size=40),
        strategies.sampled_from(
            [b'id: ', b'id: n1-0123:', b'\n', b'\n\n', b'data: [DONE]', b'9']
        ),
    )

    @FIXED_SEED
    @hypothesis.given(strategies.lists(part, max_size=20))
    def check(parts):
        parser = events.EventParser(REQUEST_ID)
        for item in parts:
            for event in parser.feed(item):
                assert isinstance(
                    event,
                    (
                        events.TokenEvent,
                        events.EndMarker,
                        events.UnexpectedEvent,
                    ),
                )

    check()


def arrivals(rng, count):
    """Return events of a truncated attempt 1 and of attempt 2, shuffled."""
    cut = rng.randrange(count + 1)
    first = [(1, offset) for offset in range(cut)]
    second = [(2, offset) for offset in range(count)]
    mixed = first + second + rng.choices(first + second, k=5)
    rng.shuffle(mixed)
    return mixed


@behave.given('events of two attempts, reordered and duplicated')
def give_events(context):
    context.arrivals = [
        arrivals(random.Random(seed), 8) for seed in range(300)
    ]


@behave.then('the answer is complete only with all its events, in order')
def check_buffer(context):
    for items in context.arrivals:
        answer = buffer.AnswerBuffer(REQUEST_ID)
        answer.begin_attempt(2)
        for position, (attempt, offset) in enumerate(items):
            text = 'wrong' if attempt == 1 else 't'
            answer.accept(
                attempt, events.TokenEvent(offset, event_bytes(offset, text))
            )
            missing = {(2, other) for other in range(8)} - set(
                items[: position + 1]
            )
            if missing and is_sampled(position):
                assert not answer.complete(1)
                got = answer.events_from(0)
                assert got == [event_bytes(i) for i in range(len(got))]
        assert answer.complete(2)
        assert answer.events_from(0) == [event_bytes(i) for i in range(8)]


def is_sampled(position):
    return position % 3 == 0


@behave.given('an answer assembled in the order of arrival')
def arrival_order(context):
    context.arrivals = [
        arrivals(random.Random(seed), 8) for seed in range(300)
    ]


@behave.then('some order of duplicated events gives a wrong answer')
def check_arrival_order(context):
    expected = [event_bytes(i) for i in range(8)]
    assert any(
        [event_bytes(offset) for _, offset in items] != expected
        for items in context.arrivals
    )
