"""Steps for the part of quiet workers."""

import json

import behave
from returns import result

from hornbeamrudder.inventory import difference
from hornbeamrudder.inventory import schema


def document(part, workers):
    return {
        'services': [{'name': 'llm', 'kind': 'model_engine'}],
        'hosts': [
            {
                'id': f'h{number}',
                'data_centre': 'dc',
                'machine_class': 'gpu',
                'pricing': 'reclaimable',
                'price_per_hour': 1.0,
                'workers': [
                    {
                        'id': f'w{number}',
                        'service': 'llm',
                        'ip': '10.0.0.1',
                        'port': 80 + number,
                        'slots': 8,
                    }
                ],
            }
            for number in range(workers)
        ],
        'rules': {'quiet_part': part},
    }


@behave.when('the rules have a quiet part of {part} for {workers:d} workers')
def parse(context, part, workers):
    context.parsed = schema.parse_document(document(json.loads(part), workers))


@behave.then('the document is valid')
def check_valid(context):
    assert isinstance(context.parsed, result.Success), context.parsed


@behave.then('the document is refused: {reason}')
def check_refused(context, reason):
    (problem,) = context.parsed.failure()
    assert reason in str(problem), problem
    assert 'quiet_part' in str(problem), problem


@behave.then('a quiet part of {new:g} instead of {old:g} is the difference'
             ' "{key}"')  # fmt: skip
def check_difference(context, new, old, key):
    (change,) = difference.between(
        schema.parse_document(document(old, 4)).unwrap(),
        schema.parse_document(document(new, 4)).unwrap(),
    )
    assert (change.key, change.old, change.new) == (key, old, new)
