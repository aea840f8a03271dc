"""Steps for the capacity of a node whose document or shares change."""

import pathlib
import tempfile
import time
from unittest import mock

import behave
import orjson
from returns import result

from hornbeamrudder.configuration import versions
from hornbeamrudder.core import types
from hornbeamrudder.entry import gate
from hornbeamrudder.entry import node
from hornbeamrudder.settings import schema as settings_schema

SERVICE = 'quill-llm'
CLOSED_ADDRESS = {'ip': '127.0.0.1', 'port': 1}
ENGINE_SLOTS = 4
REQUEST_TOKENS = 10.0
# Far above the test's duration: only other triggers refresh the capacity.
NEVER_S = 3600.0
RESULT_TIMEOUT_S = 5.0
DEADLINE_S = 60.0


@behave.given('a node that refreshes its capacity only when it must')
def make_node(context):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    key = pathlib.Path(scratch.name) / 'peer.key'
    key.write_text('k' * 32)
    patch = mock.patch.object(gate, 'REFRESH_INTERVAL_S', NEVER_S)
    patch.start()
    context.add_cleanup(patch.stop)
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
    context.node.start()
    context.add_cleanup(context.node._close)


@behave.when('requests follow documents with {counts} engines')
def install(context, counts):
    configuration = context.node.configuration
    set_workers = context.node.pool.set_workers
    context.documents_at_workers = []

    def record_document(workers):
        context.documents_at_workers.append(configuration.document())
        set_workers(workers)

    with mock.patch.object(context.node.pool, 'set_workers', record_document):
        for version, count in enumerate(counts.split(' and '), 1):
            configuration._install(versioned(version, int(count)))
            assert context.node.configuration.document().services, 'rejected'
            context.granted = request(context.node.gate)


def request(node_gate):
    submitted = node_gate.submit(
        types.Rank.STANDARD,
        'a',
        SERVICE,
        REQUEST_TOKENS,
        time.monotonic() + DEADLINE_S,
    )
    node_gate.withdraw(submitted)
    return submitted.result(RESULT_TIMEOUT_S)


def versioned(version, engines):
    document = {
        'services': [
            {'name': SERVICE, 'kind': 'model_engine', 'models': ['m']}
        ],
        'hosts': [
            {
                'id': f'h{number}',
                'data_centre': 'd',
                'machine_class': 'c',
                'pricing': 'reclaimable',
                'price_per_hour': 1.0,
                'workers': [
                    {
                        'id': f'w{number}',
                        'service': SERVICE,
                        'slots': ENGINE_SLOTS,
                        **CLOSED_ADDRESS,
                    }
                ],
            }
            for number in range(engines)
        ],
    }
    row = versions.VersionRow(
        version, version, 'config/content/1', '', (), 'o', (), 'a', 0.0
    )
    return versions.VersionedDocument(row, orjson.dumps(document))


@behave.then('the last request to the engines was {outcome}')
def check_request(context, outcome):
    admitted = isinstance(context.granted, result.Success)
    assert admitted is (outcome == 'admitted'), context.granted


@behave.then('the node had no document when it received the workers')
def check_order(context):
    services = [
        tuple(document.services_by_name)
        for document in context.documents_at_workers
    ]
    assert services == [()], services
