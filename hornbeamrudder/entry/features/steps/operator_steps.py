"""Steps for configuration changes by operators."""

import copy
import time

import behave
import orjson
from returns import result

from hornbeamrudder.bench import callers
from hornbeamrudder.bench import deployment
from hornbeamrudder.core import errors
from hornbeamrudder.core import types
from hornbeamrudder.infrastructure import http

# Section 2 of the design page: in force on all nodes within this time.
IN_FORCE_S = 6.0
APPLY_LIMIT_S = 30.0
PATH = '/v1/operator/configuration'


def call(harness, node, method, body=b''):
    """Send an operator request; returns status and message, or a failure."""
    answer = harness.client.call(
        http.HttpRequest(
            method=method,
            peer=str(harness.running.address(node)),
            path=PATH,
            step=errors.Step.PUBLISH_CONFIGURATION,
            headers=(
                ('Authorization', f'Bearer {deployment.OPERATOR_TOKEN}'),
            ),
            body=body,
            first_byte_timeout_s=APPLY_LIMIT_S,
        )
    )
    return answer.map(
        lambda response: (response.status, orjson.loads(response.body))
    )


def put(harness, node, base_version, document):
    """Submit a document to a node."""
    body = orjson.dumps({'base_version': base_version, 'document': document})
    return call(harness, node, 'PUT', body)


def current(harness, node):
    """Return the version and the document of a node."""
    _, response = call(harness, node, 'GET').unwrap()
    return response['version'], response['document']


def with_weight(document, account, weight):
    """Return a copy of a document with a changed account weight."""
    changed = copy.deepcopy(document)
    for found in changed['accounts']:
        if found['id'] == account:
            found['weight'] = weight
    return changed


@behave.when('an operator removes account {account} at {node}')
def remove_account(context, account, node):
    harness = context.harness
    version, document = current(harness, node)
    document['accounts'] = [
        found for found in document['accounts'] if found['id'] != account
    ]
    document['rules']['ranks'] = [
        rule
        for rule in document['rules']['ranks']
        if rule['account'] != account
    ]
    began_at = time.monotonic()
    context.response = put(harness, node, version, document)
    context.duration_s = time.monotonic() - began_at


@behave.then('the change is accepted within 6 s')
def check_accepted(context):
    status, message = context.response.unwrap()
    assert status == 200, (status, message)
    assert context.duration_s <= IN_FORCE_S, context.duration_s
    context.version = message['version']


@behave.then('every running node already has the change in force')
def check_in_force(context):
    harness = context.harness
    versions = {
        node: harness.status(node)['version'] for node in harness.live_nodes()
    }
    assert min(versions.values()) >= context.version, versions


@behave.then('{node} admits none of {count:d} calls of account {account}')
def check_not_admitted(context, node, account, count):
    harness = context.harness
    identity = callers.Identity(account, f'token-{account}', types.Rank.URGENT)
    caller = harness.caller_at(node)
    calls = [
        harness.submit(
            caller.stream,
            identity,
            harness.running.plan.model,
            f'late {number}',
            4,
            10.0,
        )
        for number in range(count)
    ]
    for done in calls:
        assert not done.result().text, done.result()


@behave.then('{node} has the version within {limit:g} s')
def check_version_within(context, node, limit):
    harness = context.harness
    harness.wait(
        lambda: harness.status(node)['version'] >= context.version,
        f'{node} has version {context.version}',
        limit,
    )


@behave.when(
    'two operators submit conflicting changes concurrently, {count:d} times'
)
def submit_concurrently(context, count):
    harness = context.harness
    context.responses_by_round = []
    for number in range(count):
        harness.wait(
            lambda: (
                len(
                    {
                        current(harness, node)[0]
                        for node in harness.live_nodes()
                    }
                )
                == 1
            ),
            'all nodes have the same version',
        )
        version, document = current(harness, 'entry-1')
        puts = [
            harness.submit(
                put,
                harness,
                node,
                version,
                with_weight(document, 'chain', 2.0 + 2 * number + offset),
            )
            for offset, node in enumerate(('entry-1', 'entry-2'))
        ]
        context.responses_by_round.append(
            [done.result().unwrap() for done in puts]
        )


@behave.then(
    'each time one change is accepted and the other conflicts on its key'
)
def check_conflicts(context):
    for responses in context.responses_by_round:
        statuses = sorted(status for status, _ in responses)
        assert statuses == [200, 409], responses
        message = next(
            message for status, message in responses if status == 409
        )
        assert message['conflicts'] == [
            {'key': 'accounts/chain', 'author': 'demo'}
        ], message


@behave.when('an operator changes a weight at {node}')
def change_weight(context, node):
    harness = context.harness
    version, document = current(harness, node)
    context.before = version
    context.weight = 10.0 + version
    began_at = time.monotonic()
    context.response = put(
        harness, node, version, with_weight(document, 'chain', context.weight)
    )
    context.duration_s = time.monotonic() - began_at


@behave.then('the change is refused and nothing was written')
def check_refused(context):
    status, message = context.response.unwrap()
    assert status >= 500 and message['outcome'] == 'not_run', context.response


@behave.then('all nodes keep the previous version')
def check_unchanged(context):
    harness = context.harness
    versions = {
        harness.status(node)['version'] for node in harness.live_nodes()
    }
    assert versions == {context.before}, versions


@behave.then(
    'the result reported to the operator matches the active configuration'
)
def check_reported_result(context):
    """Check that a change is active on all nodes if accepted, else on none."""
    harness = context.harness
    response = context.response
    status, message = (
        response.unwrap() if isinstance(response, result.Success) else (0, {})
    )

    def weights():
        return {
            found.get('weight')
            for node in harness.live_nodes()
            for found in current(harness, node)[1]['accounts']
            if found['id'] == 'chain'
        }

    if status == 200:
        assert weights() == {context.weight}, (message, weights())
    elif message.get('outcome') == 'not_run':
        time.sleep(IN_FORCE_S)
        assert context.weight not in weights(), (message, weights())
    else:
        harness.wait(lambda: len(weights()) == 1, 'all nodes agree')
