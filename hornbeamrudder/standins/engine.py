"""Stand-in for a model engine: token streams, load, cache events and orders.

Orders (`POST /v1/orders`) are described in `engine_state`.
"""

import collections
import hmac
import random
import threading
import time
from typing import Any, Iterator

import msgpack
import orjson
import queue
import werkzeug

from . import engine_batch
from . import engine_state
from . import server

LOAD_SAMPLE_INTERVAL_S = 0.05
DEFAULT_MAX_TOKENS = 64
MAX_TRACEPARENTS = 100
MAX_LOAD_SAMPLES = 400


class Settings(server.ListenSettings):
    """Settings of the model engine stand-in; times in seconds.

    Attributes
    ----------
    models : tuple of str
        Models whose weights are available locally; the first is served.
    weights : str
        `ip:port` of the weight store; if empty, no model can be loaded.
    load_lag_s, event_lag_s : float
        Age of the reported load and of the newest reported cache event.
    event_gap_share : float
        Share of cache events that are never reported.
    """

    threads: int = 128
    worker_id: str = 'engine'
    models: tuple[str, ...] = ('house-assistant',)
    max_batch: int = 16
    step_s: float = 0.010
    step_per_sequence_s: float = 0.0005
    prefill_per_token_s: float = 0.0002
    cache_blocks: int = 2048
    load_lag_s: float = 0.5
    event_lag_s: float = 1.0
    event_gap_share: float = 0.1
    seed: int = 1
    checks_fencing: bool = False
    sender_token: str = ''
    weights: str = ''
    role: str = 'both'
    version: str = ''


class Engine:
    """State of one engine process."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.batch = engine_batch.Batch(
            engine_batch.BatchLimits(
                max_batch=settings.max_batch,
                step_s=settings.step_s,
                step_per_sequence_s=settings.step_per_sequence_s,
                prefill_per_token_s=settings.prefill_per_token_s,
                cache_blocks=settings.cache_blocks,
            )
        )
        self._samples: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=MAX_LOAD_SAMPLES)
        )
        self._lock = threading.Lock()
        self._received = 0
        self.state = engine_state.EngineState(
            engine_state.ServingState(
                settings.models[0] if settings.models else '',
                settings.version,
                (),
                settings.role,
            ),
            settings.models,
            settings.checks_fencing,
            engine_state.WeightClient(settings.weights),
        )
        self.traceparents: collections.deque[str] = collections.deque(
            maxlen=MAX_TRACEPARENTS
        )
        threading.Thread(target=self._sample_load, daemon=True).start()

    def load(self) -> dict[str, Any]:
        """Return the load as it was `load_lag_s` ago."""
        visible_until = time.monotonic() - self.settings.load_lag_s
        with self._lock:
            visible = [
                sample for at, sample in self._samples if at <= visible_until
            ]
        return visible[-1] if visible else self._current_load()

    def submit(self, sequence: engine_batch.EngineSequence) -> None:
        """Count a request and submit it to the batch."""
        with self._lock:
            self._received += 1
        self.batch.submit(sequence)

    def totals(self) -> dict[str, int]:
        """Return the counters since the start, without lag."""
        return {
            'received_requests': self._received,
            'generated_tokens': self.batch.generated_tokens,
            'recomputed_tokens': self.batch.recomputed_tokens,
            'prefilled_tokens': self.batch.prefilled_tokens,
            'cached_tokens': self.batch.cached_tokens,
        }

    def cache_events(self, after: int) -> list[dict[str, Any]]:
        """Return events after number `after`, delayed and with gaps."""
        visible_until = time.monotonic() - self.settings.event_lag_s
        return [
            {
                'number': event.number,
                'kind': event.kind,
                'block': str(event.block),
            }
            for event in tuple(self.batch.cache.events)
            if event.number > after
            and event.at <= visible_until
            and not self._is_omitted(event.number)
        ]

    def _is_omitted(self, number: int) -> bool:
        sample = random.Random(f'{self.settings.seed}:{number}').random()
        return sample < self.settings.event_gap_share

    def _current_load(self) -> dict[str, Any]:
        running, waiting, outstanding = self.batch.queue_sizes()
        return {
            'running': running,
            'waiting': waiting,
            'outstanding_tokens': outstanding,
            'slots': self.settings.max_batch,
            'lag_s': self.settings.load_lag_s,
            'incarnation': 1,
        }

    def _sample_load(self) -> None:
        while True:
            sample = self._current_load()
            with self._lock:
                self._samples.append((time.monotonic(), sample))
            time.sleep(LOAD_SAMPLE_INTERVAL_S)


def make_application(engine: Engine) -> server.WsgiApp:
    """Create the WSGI application of the engine."""

    @werkzeug.Request.application
    def application(request: werkzeug.Request) -> werkzeug.Response:
        try:
            return _handle_request(engine, request)
        except (KeyError, TypeError, ValueError) as error:
            return server.json_response({'error': repr(error)}, 400)

    return application


def _handle_request(
    engine: Engine, request: werkzeug.Request
) -> werkzeug.Response:
    match request.method, request.path:
        case 'POST', '/v1/chat/completions':
            return _handle_completion(engine, request)
        case 'POST', '/v1/cancel':
            payload = orjson.loads(request.get_data())
            cancelled = engine.batch.cancel(
                payload['request_id'], payload.get('attempt')
            )
            return server.json_response({'cancelled': cancelled})
        case 'POST', '/v1/kv/export':
            return _handle_kv_export(engine, orjson.loads(request.get_data()))
        case 'POST', '/v1/kv/import':
            state = msgpack.unpackb(request.get_data())
            engine.batch.imported_tokens_by_request[state['request_id']] = int(
                state['tokens']
            )
            return server.json_response({'imported': state['tokens']})
        case 'GET', '/v1/load':
            return server.json_response(
                engine.load() | {'engine': engine.state.to_json()}
            )
        case 'GET', '/totals':
            return server.json_response(engine.totals())
        case 'GET', '/traceparents':
            return server.json_response(list(engine.traceparents))
        case 'GET', '/v1/cache-events':
            return server.json_response(
                {'events': engine.cache_events(int(request.args['after']))}
            )
        case 'POST', '/v1/orders':
            return _handle_order(engine, request)
    return server.json_response({'error': 'not found'}, 404)


def _handle_completion(
    engine: Engine, request: werkzeug.Request
) -> werkzeug.Response:
    payload = orjson.loads(request.get_data())
    request_id = request.headers['X-Request-Id']
    attempt = int(request.headers['X-Attempt'])
    sequence = engine_batch.EngineSequence(
        request_id=request_id,
        attempt=attempt,
        prompt=_join_messages(payload['messages']),
        max_tokens=int(payload.get('max_tokens') or DEFAULT_MAX_TOKENS),
        next_offset=int(request.headers.get('X-Resume-Offset', 0)),
        priority=int(request.headers.get('X-Priority', 1)),
        output=queue.SimpleQueue(),
    )
    engine.traceparents.append(request.headers.get('traceparent', ''))
    engine.submit(sequence)
    return werkzeug.Response(
        _event_stream(engine, sequence),
        mimetype='text/event-stream',
        headers={'X-Request-Id': request_id, 'X-Attempt': str(attempt)},
    )


def _event_stream(
    engine: Engine, sequence: engine_batch.EngineSequence
) -> Iterator[bytes]:
    finished = False
    try:
        while (offset := sequence.output.get()) is not None:
            yield _token_event(
                sequence,
                offset,
                engine_batch.token_text(sequence.prompt, offset),
            )
        finished = not sequence.cancelled
        if finished:
            yield _final_event(sequence)
    finally:
        if not finished:
            sequence.cancelled = True


def _token_event(
    sequence: engine_batch.EngineSequence, offset: int, text: str
) -> bytes:
    return (
        f'id: {sequence.request_id}:{offset}\n'
        f'data: {{"id":"{sequence.request_id}",'
        '"object":"chat.completion.chunk","choices":[{"index":0,'
        f'"delta":{{"content":"{text}"}}}}]}}\n\n'
    ).encode()


def _final_event(sequence: engine_batch.EngineSequence) -> bytes:
    usage = {
        'id': sequence.request_id,
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {}, 'finish_reason': 'length'}],
        'usage': {
            'prompt_tokens': len(sequence.prompt.split()),
            'completion_tokens': sequence.max_tokens,
            'cached_tokens': sequence.cached_tokens,
            'recomputed_tokens': sequence.recomputed_tokens,
        },
    }
    event_id = f'{sequence.request_id}:{sequence.max_tokens}'
    return (
        f'id: {event_id}\n'.encode()
        + b'data: '
        + orjson.dumps(usage)
        + b'\n\ndata: [DONE]\n\n'
    )


def _join_messages(messages: list[dict[str, Any]]) -> str:
    return '\n'.join(
        f'{message["role"]}: {message["content"]}' for message in messages
    )


def _handle_kv_export(engine: Engine, payload: Any) -> werkzeug.Response:
    sequence = engine.batch.find_sequence(payload['request_id'])
    if sequence is None:
        return server.json_response({'error': 'request is not here'}, 404)
    state = msgpack.packb(
        {'request_id': sequence.request_id, 'tokens': sequence.next_offset}
    )
    return werkzeug.Response(state, mimetype='application/msgpack')


def _handle_order(
    engine: Engine, request: werkzeug.Request
) -> werkzeug.Response:
    token = engine.settings.sender_token
    authorization = request.headers.get('Authorization', '')
    if token and not hmac.compare_digest(authorization, f'Bearer {token}'):
        return server.json_response({'error': 'sender is not known'}, 403)
    rejection = engine.state.apply_order(
        int(request.headers.get('X-Fencing', 0)),
        orjson.loads(request.get_data()),
    )
    if rejection:
        return server.json_response({'error': rejection}, 409)
    return server.json_response({'engine': engine.state.to_json()})


def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT."""
    return server.serve(
        make_application(Engine(settings)),
        settings.ip,
        settings.port,
        settings.threads,
    )
