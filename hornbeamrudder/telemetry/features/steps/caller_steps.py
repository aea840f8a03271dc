"""Steps that fuzz the HTTP interface of a node."""

import contextlib
import errno
import json
import pathlib
import socket
import tempfile

import behave
import hypothesis
from hypothesis import strategies
import orjson
from werkzeug import test

from hornbeamrudder.bench import local
from hornbeamrudder.core import types
from hornbeamrudder.entry import node
from hornbeamrudder.inventory import schema
from hornbeamrudder.settings import schema as settings_schema

TOKEN = 'token-of-a-caller'
CLOSED_ADDRESS = {'ip': '127.0.0.1', 'port': 1}
HEADERS = (
    'Authorization',
    'Idempotency-Key',
    'Last-Event-ID',
    'Priority',
    'traceparent',
    'Accept',
    'Content-Type',
    'X-Other',
)
DOCUMENT = schema.parse_document(
    {
        'services': [
            {'name': 'model', 'kind': 'model_engine', 'models': ['m']},
            {'name': 'app', 'kind': 'plain_service'},
        ],
        'accounts': [{'id': 'a', 'token_sha256': local.token_digest(TOKEN)}],
        'rules': {
            'default_deadline_s': 0.02,
            'non_idempotent': [
                {'service': 'app', 'method': 'POST', 'path_prefix': '/o'}
            ],
        },
    }
).unwrap()


@behave.given('a node with an engine that does not answer')
def make_node(context):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    key = pathlib.Path(scratch.name) / 'peer.key'
    key.write_text('k' * 32)
    context.node = node.Node(
        settings_schema.NodeSettings(
            node_id='n',
            region='r',
            data_centre='d',
            listen={'ip': '127.0.0.1', 'port': 0},
            peer_listen={'ip': '127.0.0.1', 'port': 0},
            table=CLOSED_ADDRESS,
            peer_key_file=str(key),
        ),
        lambda: None,
    )
    # The node has no table service to read a configuration from, so the
    # document is set directly.
    context.node.configuration._document = DOCUMENT
    context.node.configuration.may_admit = lambda: True
    context.node.start()
    context.add_cleanup(context.node._close)
    context.web = test.Client(context.node.application)


def send(context, method, path, headers, body):
    with contextlib.closing(
        context.web.open(path, method=method, headers=headers, data=body)
    ) as response:
        return response.status_code, response.get_data()


@behave.then('arbitrary requests are answered without an internal error')
def check_arbitrary_requests(context):
    text = strategies.text(
        strategies.characters(min_codepoint=32, max_codepoint=255),
        max_size=300,
    )
    json_value = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(max_size=8),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.text(max_size=5), inner, max_size=3
            )
        ),
        max_leaves=8,
    )
    completion = strategies.fixed_dictionaries(
        {},
        optional={
            'model': strategies.just('m') | json_value,
            'messages': strategies.just([{'role': 'user', 'content': 'x'}])
            | json_value,
            'stream': json_value,
            'max_tokens': json_value,
            'extra': json_value,
        },
    )
    paths = strategies.sampled_from(
        ['/v1/chat/completions', '/v1/services/app/o', '/readyz', '/metrics']
    )

    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.sampled_from(['GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'X']),
        paths
        | strategies.text(max_size=20).map('/v1/services/app/'.__add__)
        | strategies.text(max_size=20).map('/v1/requests/'.__add__)
        | strategies.text(max_size=20).map('/'.__add__),
        strategies.dictionaries(strategies.sampled_from(HEADERS), text),
        strategies.booleans(),
        strategies.binary(max_size=40) | completion.map(json_bytes),
    )
    def check(method, path, headers, authorized, body):
        if authorized:
            headers = headers | {'Authorization': f'Bearer {TOKEN}'}
        status, answer = send(context, method, path, headers, body)
        assert status != 500, (status, answer)
        assert b'internal error' not in answer, (method, path, headers, body)

    check()


def json_bytes(value):
    # Unlike orjson, the standard library encodes NaN and integers over 64
    # bits.
    return json.dumps(value).encode()


@behave.when('a caller sends {what}')
def send_oversized(context, what):
    headers = {'Authorization': f'Bearer {TOKEN}'}
    body = {'model': 'm', 'messages': [{'role': 'user', 'content': 'x'}]}
    content = orjson.dumps(body)
    match what.split():
        case ['an', name, 'of', count, 'characters'] | [
            'a',
            name,
            'of',
            count,
            'characters',
        ]:
            headers[name] = 'k' * int(count)
        case [count, 'headers']:
            headers |= {f'X-{number}': 'x' for number in range(int(count))}
        case ['a', 'body', 'nested', depth, 'deep']:
            nested = b'[' * int(depth) + b']' * int(depth)
            content = content[:-1] + b',"x":' + nested + b'}'
        case ['a', 'body', 'of', count, 'bytes']:
            content = b' ' * int(count)
        case _:
            raise AssertionError(what)
    context.response = send(
        context, 'POST', '/v1/chat/completions', headers, content
    )


@behave.then(
    'the response has status {status:d} and its detail contains "{detail}"'
)
def check_rejection(context, status, detail):
    status_code, body = context.response
    assert status_code == status, context.response
    assert detail in orjson.loads(body)['detail'], body
    assert orjson.loads(body)['outcome'] == types.Outcome.NOT_RUN.value


@behave.then(
    'the node still serves requests after arbitrary bytes on its port'
)
def check_arbitrary_bytes(context):
    address = context.node._server.address
    line = strategies.binary(max_size=60)
    head = strategies.lists(line, max_size=4).map(b'\r\n'.join)

    def exchange(content):
        with socket.create_connection((address.ip, address.port), 5) as peer:
            peer.settimeout(5)
            # The server may refuse the request and close with unread bytes,
            # which resets the connection. If that happens before the
            # shutdown, the shutdown fails with ENOTCONN.
            try:
                peer.sendall(content)
                peer.shutdown(socket.SHUT_WR)
                return peer.recv(4096)
            except ConnectionError:
                return b''
            except OSError as error:
                if error.errno != errno.ENOTCONN:
                    raise
                return b''

    @hypothesis.settings(
        max_examples=80, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.sampled_from(
            [b'', b'GET /healthz HTTP/1.1\r\n', b'POST /']
        ),
        head,
        strategies.sampled_from([b'', b'\r\n\r\n']),
    )
    def check(start, rest, end):
        answer = exchange(start + rest + end)
        assert b' 500 ' not in answer.partition(b'\r\n')[0], answer

    check()
    headers = [f'X-{n}: {"x" * 500}'.encode() for n in range(200)]
    for invalid in (
        b'GET /' + b'a' * 100_000 + b' HTTP/1.1\r\n\r\n',
        b'\r\n'.join([b'GET / HTTP/1.1', *headers, b'', b'']),
        b'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    ):
        assert b' 500 ' not in exchange(invalid).partition(b'\r\n')[0], invalid
    valid = b'GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n'
    assert b' 200 ' in exchange(valid)
