"""Steps that run generations against in-process engines."""

from concurrent import futures
import random
import threading
import time

import behave
import orjson
from returns import result
import werkzeug

from hornbeamrudder.answers import buffer
from hornbeamrudder.answers import generation
from hornbeamrudder.answers import generation_types
from hornbeamrudder.answers import scheduler
from hornbeamrudder.backends import client as backends_client
from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.entry import chat
from hornbeamrudder.infrastructure import http
from hornbeamrudder.standins import engine
from hornbeamrudder.standins import engine_batch
from hornbeamrudder.standins import server

TOKENS = 10
FAULT_OFFSET = 4
BODY = {
    'messages': [{'role': 'user', 'content': 'which chime fits'}],
    'max_tokens': TOKENS,
}
PROMPT = 'user: which chime fits'


def worker(name, address):
    return types.Worker(
        ids.WorkerId(name),
        ids.ServiceName('modele-atelier'),
        ids.HostId(f'host-{name}'),
        ids.DataCentreName('levis-est'),
        address,
        16,
    )


class Pool:
    """Worker pool with a fixed order; excluded workers come last."""

    def __init__(self, workers):
        self._workers = workers
        self.open = 0

    def choose(self, request, excluded):
        self.open += 1
        preferred = [item for item in self._workers if item.id not in excluded]
        return result.Success((preferred or self._workers)[0])

    def claim(self, request, worker):
        self.open += 1
        return True

    def ended(self, request, worker, reason):
        self.open -= 1

    def may_retry(self, request):
        return True


def faulty_engine(fault):
    """Return an engine with a fault, for some faults after some tokens."""

    @werkzeug.Request.application
    def application(request):
        if request.path != '/v1/chat/completions':
            return werkzeug.Response('{}')
        if fault == 'bad request':
            return werkzeug.Response('no such model', 400)
        if fault == 'server error':
            return werkzeug.Response('out of memory', 500)
        request_id = request.headers['X-Request-Id']
        attempt = request.headers['X-Attempt']
        return werkzeug.Response(
            faulty_events(fault, request_id),
            mimetype='text/event-stream',
            headers={
                'X-Request-Id': request_id,
                'X-Attempt': '99' if fault == 'wrong attempt' else attempt,
            },
        )

    return application


def faulty_events(fault, request_id):
    def event(offset, owner=request_id):
        choice = {
            'delta': {'content': engine_batch.token_text(PROMPT, offset)}
        }
        if offset == TOKENS:
            choice = {'delta': {}, 'finish_reason': 'length'}
        chunk = {'id': owner, 'choices': [choice]}
        return (
            f'id: {owner}:{offset}\n'.encode()
            + b'data: '
            + orjson.dumps(chunk)
            + b'\n\n'
        )

    yield b''.join(event(offset) for offset in range(FAULT_OFFSET))
    match fault:
        case 'cut':
            raise ConnectionResetError
        case 'end marker too early':
            yield event(FAULT_OFFSET + 2) + b'data: [DONE]\n\n'
        case 'last events lost':
            yield b'data: [DONE]\n\n'
        case 'no end marker':
            yield b''.join(event(i) for i in range(FAULT_OFFSET, TOKENS + 1))
        case 'wrong attempt':
            rest = range(FAULT_OFFSET, TOKENS + 1)
            yield b''.join(event(i) for i in rest) + b'data: [DONE]\n\n'
        case 'event of another request':
            yield event(FAULT_OFFSET, 'n2-4567') + b'data: [DONE]\n\n'
        case 'silent':
            time.sleep(3)


def serve(context, application):
    running = server.Server(application, '127.0.0.1', threads=8)
    context.add_cleanup(running.close)
    return running.address


def model_engine(step_s=0.001):
    return engine.make_application(
        engine.Engine(engine.Settings(step_s=step_s))
    )


def make_generation(context, applications, body):
    addresses = [serve(context, item) for item in applications]
    context.client = http.HttpClient()
    context.add_cleanup(context.client.close)
    context.pool = Pool(
        [worker(f'w{i}', item) for i, item in enumerate(addresses)]
    )
    context.executor = futures.ThreadPoolExecutor(4)
    context.ended = threading.Event()
    context.generation = generation.Generation(
        generation_types.GenerationRequest(
            ids.new_request_id(ids.NodeId('n1'), random.Random(7)),
            ids.AccountId('fitters'),
            ids.ServiceName('modele-atelier'),
            types.Rank.URGENT,
            orjson.dumps(body),
            PROMPT,
            body['max_tokens'],
            body['max_tokens'],
            time.monotonic() + 30,
        ),
        context.client,
        context.pool,
        context.executor,
        scheduler.Scheduler(context.executor),
        lambda item: context.ended.set(),
    )


@behave.given('two engines, the first with the fault "{fault}"')
def faulty_engines(context, fault):
    before = backends_client.BETWEEN_TOKENS_TIMEOUT_S
    backends_client.BETWEEN_TOKENS_TIMEOUT_S = 0.4
    context.add_cleanup(
        setattr, backends_client, 'BETWEEN_TOKENS_TIMEOUT_S', before
    )
    first = model_engine() if fault == 'none' else faulty_engine(fault)
    make_generation(context, (first, model_engine()), BODY)


@behave.when('a request is sent to the first engine')
def send_request(context):
    context.generation.run_first_attempt()
    assert context.ended.wait(20)


@behave.then('its answer is complete and correct after {attempts:d} attempts')
def check_complete(context, attempts):
    check_content(context, TOKENS)
    assert context.generation.attempts == attempts


def check_content(context, tokens):
    item = context.generation
    assert item.buffer.state is buffer.AnswerState.COMPLETE, (
        item.buffer.failure
    )
    found = chat.assemble_completion(b''.join(item.buffer.events_from(0)))
    assert found['choices'][0]['message']['content'] == ''.join(
        engine_batch.token_text(PROMPT, offset) for offset in range(tokens)
    )
    assert context.pool.open == 0, context.pool.open


@behave.then('it fails after {attempts:d} attempt')
def check_failed(context, attempts):
    item = context.generation
    assert item.buffer.state is buffer.AnswerState.FAILED
    assert item.attempts == attempts


@behave.given('two model engines that generate {tokens:d} tokens')
def two_engines(context, tokens):
    applications = (model_engine(0.01), model_engine(0.001))
    make_generation(context, applications, BODY | {'max_tokens': tokens})


@behave.given(
    'two model engines that generate {tokens:d} tokens and the second one'
    ' {delays} for {seconds:g} s'
)
def delaying_engine(context, tokens, delays, seconds):
    context.is_gone = threading.Event()
    leaving, accepting = model_engine(0.01), model_engine()
    accepts_at = time.monotonic() + seconds

    def first(environ, start_response):
        for chunk in leaving(environ, start_response):
            if context.is_gone.is_set():
                raise ConnectionResetError
            yield chunk

    def second(environ, start_response):
        if environ['PATH_INFO'] == '/v1/chat/completions':
            left_s = accepts_at - time.monotonic()
            if delays == 'refuses' and left_s > 0:
                return werkzeug.Response('full', 503)(environ, start_response)
            time.sleep(max(0.0, left_s))
        return accepting(environ, start_response)

    make_generation(context, (first, second), BODY | {'max_tokens': tokens})


@behave.when('the first one leaves after some tokens and its streams are cut')
def leave_and_cut(context):
    item = context.generation
    item.run_first_attempt()
    item.buffer.wait(5, 10)
    del context.pool._workers[0]
    migration = context.executor.submit(item.migrate, False)
    futures.wait([migration], 10)
    context.is_gone.set()
    assert context.ended.wait(20)


@behave.then('{attempts:d} attempts were made')
def check_attempts(context, attempts):
    assert context.generation.attempts == attempts, context.generation.attempts


@behave.when(
    'the first one leaves after some tokens and the KV cache is {use}'
)
def migrate_worker(context, use):
    item = context.generation
    item.run_first_attempt()
    item.buffer.wait(5, 10)
    item.migrate(use == 'exported')
    assert context.ended.wait(20)


@behave.then(
    'the answer is complete and {counted} tokens are counted as recomputed'
)
def check_moved(context, counted):
    check_content(context, context.generation.request.max_tokens)
    recomputed = context.generation.recomputed_tokens
    assert (recomputed > 0) == (counted == 'some'), recomputed
