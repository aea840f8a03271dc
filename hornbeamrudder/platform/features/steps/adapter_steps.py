"""Steps for the platform adapter."""

import base64
import contextlib
import copy
import io
import json
import pathlib
import tempfile

import behave
import yaml

from hornbeamrudder import cli
from hornbeamrudder.core import errors
from hornbeamrudder.core import ids
from hornbeamrudder.gateway import messages
from hornbeamrudder.gateway import records
from hornbeamrudder.platform import headers
from hornbeamrudder.platform import operator_config
from hornbeamrudder.platform import server_entries
from hornbeamrudder.platform import settings
from hornbeamrudder.platform import store
from hornbeamrudder.standins import platform_server

_FIELDS = {
    'node': 'front-a-1',
    'machineClass': 'front',
    'ip': '10.1.0.14',
    'zone': 'a',
    'zones': {'a': 'r', 'b': 'r'},
    'listen': {'front': '10.1.0.14:8221', 'readiness': '10.1.0.14:8224'},
    'internalPorts': [7600, 7615],
    'bounds': {
        'revokeMs': 4000,
        'graceS': 6,
        'strictRevoke': False,
        'requireFence': True,
    },
    'platform': {'address': '10.200.1.7:8225', 'rowBytes': 1024},
    'cloudApi': {'address': '10.200.0.35:8225', 'duties': ['autoscale']},
    'limits': {'memoryMb': 500, 'linkMbps': 100.0},
    'somethingNew': {'x': 1},
}
_ENTRY = {
    'service': 's',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'state': 'ready',
    'slots': 64,
    'born': 1700000000000,
}


def _write_settings(fields):
    folder = pathlib.Path(tempfile.mkdtemp(dir=pathlib.Path.cwd() / 'target'))
    path = folder / 'boot.yaml'
    path.write_text(yaml.safe_dump(fields))
    return str(path)


def _create_target_folder():
    (pathlib.Path.cwd() / 'target').mkdir(exist_ok=True)


@behave.when("the platform's settings file is loaded")
def load_settings(context):
    _create_target_folder()
    context.settings = settings.load(_write_settings(_FIELDS))


@behave.then('addresses, ports and bounds match the file')
def check_settings(context):
    loaded = context.settings
    assert str(loaded.front) == '10.1.0.14:8221'
    assert str(loaded.store) == '10.200.1.7:8225'
    assert str(loaded.cloud) == '10.200.0.35:8225'
    assert (loaded.peer_port, loaded.metrics_port) == (7600, 7615)
    assert (loaded.memory_bytes, loaded.link_mbps) == (500e6, 100.0)
    assert loaded.bounds.revoke_s == 4.0
    assert loaded.bounds.grace_s == 6.0
    assert loaded.bounds.strict_revoke is False
    assert loaded.bounds.require_fence is True
    assert loaded.bounds.drain_s == records.Bounds().drain_s
    assert loaded.duties == {'autoscale'}


@behave.when('"{field}" is missing in the settings file')
def missing_field(context, field):
    _create_target_folder()
    fields = copy.deepcopy(_FIELDS)
    del fields[field]
    context.settings = settings.load(_write_settings(fields))


@behave.then('the failure names "{name}"')
def check_failure(context, name):
    assert isinstance(context.settings, errors.Failure)
    assert name in context.settings.detail, context.settings


@behave.when(
    'the check command is run on a valid and on an invalid settings file'
)
def run_check_command(context):
    _create_target_folder()
    invalid = {**_FIELDS, 'listen': {}}
    context.results = []
    for fields in (_FIELDS, invalid):
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            status = cli.main(['check', '--settings', _write_settings(fields)])
        context.results.append((status, out.getvalue()))


@behave.then('it accepts the first and names the invalid field of the second')
def check_command_results(context):
    (first, _), (second, text) = context.results
    assert first == 0, context.results
    assert second != 0
    assert 'front' in text, text


@behave.when('an entry has "{field}" set to {value}')
def malformed_entry(context, field, value):
    context.entry = server_entries.decode(
        'i-1', {**_ENTRY, field: json.loads(value)}
    )


@behave.then('decoding the entry fails')
def check_entry_failure(context):
    assert isinstance(context.entry, errors.Failure), context.entry
    assert isinstance(server_entries.decode('i-1', None), errors.Failure)
    assert not isinstance(server_entries.decode('i-1', _ENTRY), errors.Failure)


@behave.when(
    'the entry of a reclaimable server is "{state}" with {left:d} ms left'
)
def reclaimed_entry(context, state, left):
    context.entry = server_entries.decode(
        'i-1', {**_ENTRY, 'state': state, 'spot': True, 'leaves_ms': left}
    )


@behave.then('the backend server is leaving in {left:g} s and reclaimable')
def check_reclaimed(context, left):
    assert context.entry.state is records.ServerState.LEAVING
    assert context.entry.leaves_in_s == left
    assert context.entry.reclaimable


def _configuration(**changes):
    return platform_server.configuration(3, ('e', 'p'), **changes)


@behave.when("the stand-in's configuration is decoded")
def decode_configuration(context):
    fields = _configuration()
    fields['routes'].append(
        {
            **fields['routes'][0],
            'name': 'deeper',
            'prefix': '/plan/deep/',
            'trafficSplit': [
                {'service': 'e', 'weight': 90},
                {'service': 'p', 'weight': 10},
            ],
        }
    )
    context.configuration = operator_config.decode(fields)


@behave.then(
    'the longest prefix matches and all other fields are as configured'
)
def check_configuration(context):
    decoded = context.configuration
    deeper = decoded.find_route('shop.example', '/plan/deep/x')
    assert deeper.name == 'deeper'
    assert deeper.weight_by_service == {'e': 90.0, 'p': 10.0}
    plan = decoded.find_route('shop.example', '/plan/x')
    assert plan.retry_safety is records.RetrySafety.STREAM and plan.retryable
    assert not decoded.find_route('shop.example', '/book/x').retryable
    assert decoded.find_route('shop.example', '/none/') is None
    assert decoded.find_route('other.example', '/plan/x') is None
    account = decoded.account_by_key['key-south']
    assert (account.rank, account.rate_per_s) == (1, 1000.0)
    assert decoded.services_by_name[ids.ServiceName('e')].engine.slots == 64
    urgency = decoded.urgency_by_service['e']
    assert (urgency.rank, urgency.target_s) == (0, 0.5), urgency
    assert decoded.limits.idle_timeout_s == 3.0


@behave.when('"{field}" is missing in a route of the configuration')
def malformed_configuration(context, field):
    fields = _configuration()
    del fields['routes'][0][field]
    context.configuration = operator_config.decode(fields)


@behave.then('the whole configuration is rejected')
def check_configuration_rejected(context):
    assert isinstance(context.configuration, errors.Failure)


@behave.when(
    'a valid row, rows with invalid values and a removed row are decoded'
)
def decode_rows(context):
    def encoded(data):
        return base64.b64encode(data).decode()

    context.rows = [
        store._decode_row(fields)
        for fields in (
            {'key': 'a', 'value': encoded(b'{"x": 1}'), 'ver': 4},
            {'key': 'b', 'value': encoded(b'\xff\x00'), 'ver': 5},
            {'key': 'c', 'value': '%%%', 'ver': 6},
            {'key': 'd', 'value': 7, 'ver': 7},
            {'key': 'e', 'tombstone': True, 'ver': 8},
        )
    ]


@behave.then('only the valid row has a value')
def check_rows(context):
    assert [row.value for row in context.rows] == [
        {'x': 1},
        None,
        None,
        None,
        None,
    ]
    assert [row.removed for row in context.rows] == [False] * 4 + [True]


@behave.when('a response has the load header "{header}"')
def decode_load_header(context, header):
    fields = (
        ()
        if header == 'none'
        else ((b'X-Hornbeamrudder-Server-Load', header.encode()),)
    )
    context.metadata = headers.decode_response(200, fields)


@behave.then(
    'its load is {load} and its host takes {work} times as long as usual'
)
def check_load(context, load, work):
    found = context.metadata.load
    assert found == (
        None
        if load == 'none'
        else messages.ServerLoad(*map(int, load.split(',')))
    ), found
    slowness = context.metadata.slowness
    assert slowness == (None if work == 'unknown' else float(work)), slowness
