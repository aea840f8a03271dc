"""Steps for the spans that nodes export to files."""

import json
import pathlib
import signal
import tempfile
import threading
import time

import behave
import orjson

from hornbeamrudder.bench import deployment
from hornbeamrudder.bench import local
from hornbeamrudder.core import errors
from hornbeamrudder.infrastructure import http

TRACE_ID = '4bf92f3577b34da6a3ce929d0e0e4736'
TRACEPARENT = f'00-{TRACE_ID}-00f067aa0ba902b7-01'
TOKEN = 'token-of-a-tracer'
# Shorter than the time to generate the answer, so that it is handed over.
STOP_TIMEOUT_S = 4.0
ANSWER_TOKENS = 300
STEP_S = 0.03
EXPORT_TIMEOUT_S = 25.0


@behave.given('two nodes that export traces to files')
def start(context):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    folder = pathlib.Path(scratch.name)
    context.trace_file = folder / 'spans.jsonl'
    processes = local.LocalProcesses(folder / 'processes')
    context.add_cleanup(processes.stop_all)
    client = http.HttpClient('traces')
    context.add_cleanup(client.close)
    context.deployment = deployment.Deployment(
        deployment.Plan(
            region='r',
            data_centres=('d',),
            nodes=2,
            model_service='model',
            model='m',
            engines=1,
            plain_service='app',
            services=0,
            tokens_by_account={'a': TOKEN},
            rules={'default_deadline_s': 60.0},
            engine={'step_s': STEP_S},
            node={
                'stop_timeout_s': STOP_TIMEOUT_S,
                'tracing': {
                    'exporter': 'file',
                    'file': str(context.trace_file),
                },
            },
        ),
        processes,
        client,
    )
    context.deployment.start()


@behave.when('a caller streams with a traceparent while the node is stopped')
def stream(context):
    node = context.deployment.processes.by_name['entry-1']
    started = threading.Event()
    call = context.deployment.client.start(
        http.HttpRequest(
            method='POST',
            peer=str(node.address),
            path='/v1/chat/completions',
            step=errors.Step.READ_REQUEST,
            headers=(
                ('Authorization', f'Bearer {TOKEN}'),
                ('traceparent', TRACEPARENT),
            ),
            body=orjson.dumps(
                {
                    'model': 'm',
                    'stream': True,
                    'max_tokens': ANSWER_TOKENS,
                    'messages': [{'role': 'user', 'content': 'chime'}],
                }
            ),
        ),
        lambda response, chunk: started.set(),
    )
    assert started.wait(20.0)
    node.send(signal.SIGTERM)
    call.future.result(30.0)
    assert node.wait() == 0


@behave.then('the trace has the spans {names}')
def check_spans(context, names):
    expected = set(names.split(', '))
    deadline = time.monotonic() + EXPORT_TIMEOUT_S
    while True:
        spans = [
            json.loads(line)
            for line in context.trace_file.read_text().splitlines()
        ]
        found = {
            span['name']
            for span in spans
            if span['context']['trace_id'] == f'0x{TRACE_ID}'
        }
        if expected <= found:
            break
        assert time.monotonic() < deadline, (expected - found, spans)
        time.sleep(0.2)
    assert TOKEN not in context.trace_file.read_text()
    dispatched = [span for span in spans if span['name'] == 'dispatch']
    assert len(dispatched) < ANSWER_TOKENS / 10, 'dispatch span per token'


@behave.then('the engine has received the same trace id')
def check_engine(context):
    traceparents = local.get_json(
        context.deployment.client,
        context.deployment.address('engine-1'),
        '/traceparents',
    )
    assert len(traceparents) >= 2, traceparents
    assert all(item.split('-')[1] == TRACE_ID for item in traceparents), (
        traceparents
    )
