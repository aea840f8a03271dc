"""Steps that send requests to the operator API."""

import hmac
import json
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies

from hornbeamrudder.inventory import schema
from hornbeamrudder.operators import api
from hornbeamrudder.operators import messages

PATHS = [
    messages.CONFIGURATION_PATH,
    messages.STATUS_PATH,
    messages.HISTORY_PATH,
    messages.DRAIN_PATH,
]


@behave.when('{method} {path} is requested with {header} and body {body}')
def send_request(context, method, path, header, body):
    document = schema.to_json(context.backend.documents[-1])
    if body == 'too large':
        data = b' ' * (messages.MAX_DOCUMENT_BYTES + 1)
    else:
        text = '' if body == 'none' else body
        data = text.replace('DOCUMENT', json.dumps(document)).encode()
    context.response = context.web_client.open(
        path,
        method=method,
        data=data,
        headers={} if header == 'none' else {'Authorization': header},
    )


@behave.then('the status is {status:d} and the detail has "{detail}"')
def check_problem(context, status, detail):
    response = context.response
    assert response.status_code == status, (response.status, response.data)
    assert response.content_type == messages.PROBLEM_TYPE
    assert detail in response.json['detail'], response.json
    assert response.json['outcome'] == 'not_run'
    assert context.backend.apply_calls == 0


@behave.then('every digest is compared in constant time')
def check_comparisons(context):
    operators = context.backend.operators()
    for token, expected in (('token-r', 'r-campbell'), ('token-x', None)):
        with mock.patch.object(
            api.hmac, 'compare_digest', wraps=hmac.compare_digest
        ) as compare:
            operator = api.authenticate(f'Bearer {token}', operators)
        assert operator == expected, operator
        assert compare.call_count == len(operators)


@behave.then('arbitrary requests succeed or get a client error')
def check_arbitrary_requests(context):
    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.sampled_from(PATHS) | strategies.text(max_size=10),
        strategies.sampled_from(['GET', 'PUT', 'POST', 'DELETE', 'PATCH']),
        strategies.sampled_from(['Bearer token-r', 'bearer  token-d'])
        | strategies.text(
            strategies.characters(min_codepoint=32, max_codepoint=255)
        ).map(lambda text: 'Bearer ' + text),
        strategies.binary(max_size=20)
        | strategies.fixed_dictionaries(
            {},
            optional={
                'base_version': strategies.integers() | strategies.text(),
                'document': strategies.dictionaries(
                    strategies.sampled_from(['hosts', 'rules', 'x']),
                    strategies.lists(strategies.integers(), max_size=2),
                ),
                'host': strategies.text(max_size=5),
            },
        ).map(lambda value: json.dumps(value).encode()),
    )
    def check(path, method, header, body):
        response = context.web_client.open(
            '/' + path.lstrip('/'),
            method=method,
            data=body,
            headers={'Authorization': header},
        )
        assert response.status_code < 500, response.data
        assert isinstance(response.json, dict)

    check()
