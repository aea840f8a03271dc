"""Steps that run the watcher against the stand-ins."""

import json
import time

import behave
import hypothesis
from hypothesis import strategies
from returns import result
import werkzeug

from hornbeamrudder.backends import load_report
from hornbeamrudder.backends import watch
from hornbeamrudder.core import hosts
from hornbeamrudder.core import types
from hornbeamrudder.infrastructure import cloud as cloud_client
from hornbeamrudder.infrastructure import http
from hornbeamrudder.standins import cloud
from hornbeamrudder.standins import server

HOSTS = ('host-a', 'host-b', 'host-c')
ZONES_BY_HOST = {
    'host-a': 'portmore',
    'host-b': 'portmore',
    'host-c': 'kingston-a',
}
START_TIMEOUT_S = 10.0


def load_response(_request):
    return server.json_response(
        {'outstanding_tokens': 0, 'running': 0, 'waiting': 0, 'incarnation': 1}
    )


def start_server(context, handler, on_control=None):
    application = werkzeug.Request.application(handler)
    started = server.Server(application, '127.0.0.1', 0, 4, on_control)
    context.add_cleanup(started.close)
    return started


def send_control(context, started, message):
    handler = server.send_control(context.client, started.address, message)
    assert handler.unwrap().status == 200


def candidates(context):
    workers = context.watcher.snapshot().candidates('quill', time.monotonic())
    return [worker.host for worker in workers]


def wait_for(context, expected, timeout_s):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if candidates(context) == expected:
            return
        time.sleep(0.02)
    raise AssertionError(f'{candidates(context)} instead of {expected}')


@behave.given('a watcher with cloud stand-in and workers in two zones')
def start_watcher(context):
    context.client = http.HttpClient()
    context.add_cleanup(context.client.close)
    settings = cloud.Settings(
        hosts=[
            cloud.HostSettings(
                id=host,
                zone=zone,
                machine_class='g1',
                pricing='reclaimable',
                service='quill',
            )
            for host, zone in ZONES_BY_HOST.items()
        ]
    )
    state = cloud.Cloud(settings)
    context.cloud = start_server(context, state.handle_request, state.control)
    context.engines = [start_server(context, load_response) for _ in HOSTS]
    context.changes = []
    context.watcher = watch.Watcher(
        context.client,
        cloud_client.CloudClient(context.client, str(context.cloud.address)),
        None,
        context.changes.append,
    )
    context.watcher.set_workers(
        types.Worker(
            f'worker-{host}',
            'quill',
            host,
            ZONES_BY_HOST[host],
            engine.address,
            8,
        )
        for host, engine in zip(HOSTS, context.engines, strict=True)
    )
    context.watcher.start()
    context.add_cleanup(context.watcher.close)
    wait_for(context, list(HOSTS), START_TIMEOUT_S)


def reclaim(context):
    message = {'reclaim': {'zone': 'portmore', 'seconds': 30}}
    send_control(context, context.cloud, message)


@behave.when('all workers are candidates and one zone is reclaimed')
def reclaim_zone(context):
    reclaim(context)


@behave.when(
    'the cloud API is down, one zone is reclaimed and a peer reports it'
)
def reclaim_with_peer(context):
    reclaim_in_outage(context)
    context.watcher.report_from_peer(
        hosts.LeavingHost(host, 1, 30.0) for host in HOSTS[:2]
    )


@behave.when('the cloud API is down and one zone is reclaimed')
def reclaim_in_outage(context):
    send_control(context, context.cloud, {'outage': True})
    reclaim(context)


@behave.then(
    'only workers of the other zone are candidates within {limit:d} seconds'
)
def check_other_zone(context, limit):
    wait_for(context, ['host-c'], limit)


@behave.then('each change of state was reported once, in order')
def check_changes(context):
    time.sleep(0.2)
    for host in HOSTS[:2]:
        states = [item.new for item in context.changes if item.host == host]
        expected = [types.HostState.LIVE, types.HostState.LEAVING]
        assert states == expected, states


@behave.then('all workers are still candidates after {limit:d} second')
def check_no_change(context, limit):
    time.sleep(limit)
    assert candidates(context) == list(HOSTS)


@behave.when('a worker fails its load reports')
def fail_worker(context):
    send_control(context, context.engines[0], {'outage': True})


@behave.then('it is no candidate within {limit:d} seconds')
def check_suspect(context, limit):
    wait_for(context, list(HOSTS[1:]), limit)


@behave.when('the worker responds again')
def restore_worker(context):
    send_control(context, context.engines[0], {'outage': False})


@behave.then('it is a candidate within {limit:d} seconds')
def check_restored(context, limit):
    wait_for(context, list(HOSTS), limit)


@behave.when('a failed connection to a worker is reported')
def report_failure(context):
    context.watcher.report_failure('worker-host-a')
    context.next_candidates = candidates(context)


@behave.then('the worker is no candidate in the next snapshot')
def check_next_snapshot(context):
    assert context.next_candidates == list(HOSTS[1:]), context.next_candidates


numbers = strategies.integers() | strategies.floats() | strategies.none()
values = numbers | strategies.text() | strategies.lists(numbers)
names = strategies.sampled_from(
    ('outstanding_tokens', 'running', 'waiting', 'lag_s', 'incarnation')
)


@behave.then('any JSON value is parsed to a load report or a failure')
def check_load_reports(_context):
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(values | strategies.dictionaries(names, values))
    @hypothesis.example({'outstanding_tokens': 1, 'running': float('inf')})
    def check(value):
        response = http.HttpResponse(200, {}, json.dumps(value).encode())
        parsed = load_report.parse(response, 0.0)
        assert isinstance(parsed, (result.Success, result.Failure))

    check()
