"""Steps in which operators change the configuration."""

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

# Section 2 of the design page: in force everywhere within this time.
IN_FORCE_S = 6.0
APPLY_LIMIT_S = 30.0
PATH = '/v1/operator/configuration'


def call(item, node, method, body=b''):
    """Send one operator request; returns status and message or a failure."""
    answer = item.client.call(
        http.HttpRequest(
            method=method,
            peer=str(item.running.address(node)),
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


def put(item, node, base_version, document):
    """Put a document at a node."""
    body = orjson.dumps({'base_version': base_version, 'document': document})
    return call(item, node, 'PUT', body)


def current(item, node):
    """Version and document at a node."""
    _, told = call(item, node, 'GET').unwrap()
    return told['version'], told['document']


def with_weight(document, account, weight):
    """Copy of a document with another weight of an account."""
    changed = copy.deepcopy(document)
    for found in changed['accounts']:
        if found['id'] == account:
            found['weight'] = weight
    return changed


@behave.when('an operator removes account {account} at {node}')
def remove_account(context, account, node):
    item = context.trial
    version, document = current(item, node)
    document['accounts'] = [
        found for found in document['accounts'] if found['id'] != account
    ]
    document['rules']['ranks'] = [
        rule
        for rule in document['rules']['ranks']
        if rule['account'] != account
    ]
    began_at = time.monotonic()
    context.told = put(item, node, version, document)
    context.took_s = time.monotonic() - began_at


@behave.then('the change is accepted within 6 s')
def check_accepted(context):
    status, message = context.told.unwrap()
    assert status == 200, (status, message)
    assert context.took_s <= IN_FORCE_S, context.took_s
    context.version = message['version']


@behave.then('every running node has it in force at that moment')
def check_in_force(context):
    item = context.trial
    versions = {
        node: item.status(node)['version'] for node in item.live_nodes()
    }
    assert min(versions.values()) >= context.version, versions


@behave.then('{node} admits nothing for account {account}, {count:d} calls')
def check_not_admitted(context, node, account, count):
    item = context.trial
    identity = callers.Identity(account, f'token-{account}', types.Rank.URGENT)
    caller = item.caller_at(node)
    calls = [
        item.submit(
            caller.stream,
            identity,
            item.running.plan.model,
            f'late {number}',
            4,
            10.0,
        )
        for number in range(count)
    ]
    for done in calls:
        assert not done.result().text, done.result()


@behave.then('{node} gets the version within {limit:g} s')
def check_version_within(context, node, limit):
    item = context.trial
    item.wait(
        lambda: item.status(node)['version'] >= context.version,
        f'{node} has version {context.version}',
        limit,
    )


@behave.when('two operators race with different changes, {count:d} times')
def race(context, count):
    item = context.trial
    context.races = []
    for number in range(count):
        item.wait(
            lambda: (
                len({current(item, node)[0] for node in item.live_nodes()})
                == 1
            ),
            'all nodes have one version',
        )
        version, document = current(item, 'entry-1')
        puts = [
            item.submit(
                put,
                item,
                node,
                version,
                with_weight(document, 'chain', 2.0 + 2 * number + offset),
            )
            for offset, node in enumerate(('entry-1', 'entry-2'))
        ]
        context.races.append([done.result().unwrap() for done in puts])


@behave.then('each race has one winner and a conflict that names the key')
def check_races(context):
    for told in context.races:
        statuses = sorted(status for status, _ in told)
        assert statuses == [200, 409], told
        message = next(message for status, message in told if status == 409)
        assert message['conflicts'] == [
            {'key': 'accounts/chain', 'author': 'demo'}
        ], message


@behave.when('an operator changes a weight at {node}')
def change_weight(context, node):
    item = context.trial
    version, document = current(item, node)
    context.before = version
    context.weight = 10.0 + version
    began_at = time.monotonic()
    context.told = put(
        item, node, version, with_weight(document, 'chain', context.weight)
    )
    context.took_s = time.monotonic() - began_at


@behave.then('the change is refused and nothing was written')
def check_refused(context):
    status, message = context.told.unwrap()
    assert status >= 500 and message['outcome'] == 'not_run', context.told


@behave.then('no node has another version')
def check_unchanged(context):
    item = context.trial
    versions = {item.status(node)['version'] for node in item.live_nodes()}
    assert versions == {context.before}, versions


@behave.then('what the operator was told is what is in force')
def check_told(context):
    """Accepted means in force on all nodes; refused means written nowhere."""
    item = context.trial
    told = context.told
    status, message = (
        told.unwrap() if isinstance(told, result.Success) else (0, {})
    )

    def weights():
        return {
            found.get('weight')
            for node in item.live_nodes()
            for found in current(item, node)[1]['accounts']
            if found['id'] == 'chain'
        }

    if status == 200:
        assert weights() == {context.weight}, (message, weights())
    elif message.get('outcome') == 'not_run':
        time.sleep(IN_FORCE_S)
        assert context.weight not in weights(), (message, weights())
    else:
        item.wait(lambda: len(weights()) == 1, 'all nodes agree')
