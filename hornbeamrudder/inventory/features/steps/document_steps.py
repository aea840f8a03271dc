"""Steps for the configuration document."""

import copy
import json

import behave
import hypothesis
from hypothesis import strategies
from returns import pipeline

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.inventory import schema

VALID = {
    'services': [
        {'name': 'llm', 'kind': 'model_engine', 'models': ['m']},
        {'name': 'app', 'kind': 'plain_service', 'path_prefixes': ['/']},
    ],
    'accounts': [
        {'id': 'a1', 'token_sha256': 'a' * 64, 'weight': 2},
        {'id': 'a2', 'token_sha256': 'b' * 64},
    ],
    'operators': [{'id': 'o1', 'token_sha256': 'c' * 64}],
    'hosts': [
        {
            'id': f'h{number}',
            'data_centre': f'dc-{number}',
            'machine_class': 'gpu-1',
            'pricing': 'reclaimable',
            'price_per_hour': 1.5,
            'workers': [
                {
                    'id': f'w{number}',
                    'service': 'llm',
                    'ip': f'10.0.0.{number}',
                    'port': 80,
                    'slots': 8,
                },
                {
                    'id': f'v{number}',
                    'service': 'app',
                    'ip': f'10.0.0.{number}',
                    'port': 81,
                    'slots': 8,
                },
            ],
        }
        for number in (1, 2)
    ],
    'rules': {
        'ranks': [
            {'account': 'a1', 'rank': 'urgent', 'deadline_s': 2},
            {'service': 'llm', 'rank': 'standard', 'deadline_s': 9},
            {
                'account': 'a1',
                'path_prefix': '/v1/plans',
                'rank': 'batch',
                'deadline_s': 60,
            },
            {'path_prefix': '/v1/plans', 'rank': 'batch', 'deadline_s': 50},
        ],
        'account_weights': [{'account': 'a1', 'weight': 4}],
        'non_idempotent': [
            {'service': 'app', 'method': 'POST', 'path_prefix': '/orders'}
        ],
    },
}
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda nested: (
        strategies.lists(nested, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['id', 'services', 'accounts', 'hosts', 'rules', 'floors']
                + ['workers', 'ranks', 'port', 'ip', 'service', 'x']
            ),
            nested,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def set_at(value, path, new):
    """Set `new` at the dotted path."""
    *parents, last = [
        int(part) if part.isdigit() else part for part in path.split('.')
    ]
    for part in parents:
        value = value[part]
    value[last] = new


def paths_of(value, path=()):
    """Yield all dotted paths in a JSON value."""
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    for key, nested in items:
        yield '.'.join((*path, str(key)))
        yield from paths_of(nested, (*path, str(key)))


@behave.given('a valid document')
def valid_document(context):
    context.value = copy.deepcopy(VALID)
    context.document = schema.parse_document(context.value).unwrap()


@behave.when('it is serialised to JSON and parsed again')
def round_trip(context):
    text = json.dumps(schema.to_json(context.document))
    context.parsed = schema.parse_document(json.loads(text)).unwrap()


@behave.then('both documents are equal')
def check_equal(context):
    assert context.parsed == context.document


@behave.when('these values are set')
def set_values(context):
    for row in context.table:
        set_at(context.value, row['path'], json.loads(row['value']))
    context.problems = schema.parse_document(context.value).failure()


@behave.then('the problems name exactly these fields')
def check_fields(context):
    actual = {problem.field: problem.reason for problem in context.problems}
    expected = {row['field']: row['reason'] for row in context.table}
    assert actual.keys() == expected.keys(), actual
    for field, reason in expected.items():
        assert reason in actual[field], (field, actual[field])


@behave.then(
    '{account} on {service} {method} {path} is {rank} within {deadline:d} s'
)
def check_rank(context, account, service, method, path, rank, deadline):
    for ranks in (
        context.document.rules.ranks,
        context.document.rules.ranks[::-1],
    ):
        rules = context.document.rules.model_copy(update={'ranks': ranks})
        rule = schema.find_rank_rule(
            context.document.model_copy(update={'rules': rules}),
            ids.AccountId(account),
            ids.ServiceName(service),
            method,
            path,
        )
        assert rule.rank is types.Rank[rank.upper()], rule
        assert rule.deadline_s == deadline, rule


@behave.then('{method} {path} on app is idempotent: {idempotent}')
def check_idempotent(context, method, path, idempotent):
    actual = schema.is_idempotent(
        context.document, ids.ServiceName('app'), method, path
    )
    assert actual == (idempotent == 'yes'), actual


@behave.then('worker {worker} is at {address} in data centre {data_centre}')
def check_worker(context, worker, address, data_centre):
    actual = schema.worker_by_id(context.document, ids.WorkerId(worker))
    assert str(actual.address) == address
    assert actual.data_centre == data_centre


@behave.then('the account of digest {letter}*64 has weight {weight:d}')
def check_account(context, letter, weight):
    actual = schema.account_by_token_digest(context.document, letter * 64)
    assert actual.weight == weight


@behave.then('the account of digest {letter}*64 is absent')
def check_no_account(context, letter):
    assert (
        schema.account_by_token_digest(context.document, letter * 64) is None
    )


@behave.then(
    'arbitrary and modified documents are parsed without an exception'
)
def check_arbitrary_documents(context):
    settings = hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )

    def check(value):
        parsed = schema.parse_document(value)
        if not pipeline.is_successful(parsed):
            assert parsed.failure()
            assert all(item.field and item.reason for item in parsed.failure())

    @settings
    @hypothesis.given(JSON_VALUES)
    def arbitrary(value):
        check(value)

    @settings
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(sorted(paths_of(VALID))),
            min_size=1,
            max_size=3,
        ),
        JSON_VALUES,
    )
    def modified(paths, new):
        value = copy.deepcopy(VALID)
        for path in paths:
            try:
                set_at(value, path, new)
            except (KeyError, IndexError, TypeError):
                continue
        check(value)

    arbitrary()
    modified()
