"""Steps for orders to the engine stand-in and for host addresses."""

import time

import behave
import standin_steps

from hornbeamrudder.core import errors
from hornbeamrudder.core import hosts
from hornbeamrudder.core import types
from hornbeamrudder.fleet import orders
from hornbeamrudder.standins import cloud
from hornbeamrudder.standins import engine
from hornbeamrudder.standins import server

LOAD_TIMEOUT_S = 10.0


@behave.given('an engine that {checks} fencing and has the model "{model}"')
def start_engine(context, checks, model):
    standin = engine.Engine(
        engine.Settings(
            models=(model,),
            checks_fencing=checks == 'checks',
            weights=str(context.weights.address),
        )
    )
    listening = server.Server(
        engine.make_application(standin), '127.0.0.1', 0, 8
    )
    context.add_cleanup(listening.close)
    context.worker = types.Worker(
        'w', 'quill-llm', 'h', 'portmore', listening.address, 16
    )
    context.engines = orders.EngineClient(context.client)


def send_order(context, model, role, number, expires_in_s=60.0):
    order = orders.Order(
        'w',
        orders.Target(model, '2', ('a',), role),
        number,
        time.time() + expires_in_s,
    )
    return context.engines.send(context.worker, order)


def assert_refused(response):
    kind = response.failure().kind
    assert kind is errors.FailureKind.REFUSED, response


@behave.when(
    'it is ordered to serve "{model}" as "{role}"'
    ' with fencing number {number:d}'
)
def order_target(context, model, role, number):
    context.observed = send_order(context, model, role, number).unwrap()


@behave.then('it loads "{model}" and still serves "{old}"')
def check_loading(context, model, old):
    assert context.observed.loading == model, context.observed
    assert context.observed.target.model == old, context.observed


@behave.then('it refuses an order for another model while loading')
def check_refused_while_loading(context):
    assert_refused(send_order(context, 'base', 'both', 7))


@behave.then(
    'it refuses an expired order and an order with fencing number {number:d}'
)
def check_expired_and_stale_refused(context, number):
    assert_refused(send_order(context, 'quill', 'both', 7, expires_in_s=-1.0))
    assert_refused(send_order(context, 'quill', 'both', number))


@behave.then('it serves "{model}" as "{role}" after the download')
def check_serving_after_download(context, model, role):
    deadline = time.monotonic() + LOAD_TIMEOUT_S
    while True:
        found = context.engines.observe(context.worker).unwrap()
        if not found.loading:
            break
        assert time.monotonic() < deadline, found
        time.sleep(0.02)
    assert (found.target.model, found.target.role) == (model, role), found
    assert model in found.present and 'absent' not in found.present, found


@behave.then('it serves "{model}" as "{role}" immediately')
def check_serving(context, model, role):
    target = orders.Target(model, '2', ('a',), role)
    assert context.observed.target == target, context.observed


@behave.given(
    'a cloud stand-in with the address {ip}:{port:d}'
    ' for {count:d} host of {service}'
)
def start_cloud_with_address(context, ip, port, count, service):
    standin_steps.start_cloud(context)
    backend = {'service': service, 'ip': ip, 'port': port, 'slots': 4}
    standin_steps.send_control(
        context, context.cloud, {'backends': [backend] * count}
    )
    context.backend = cloud.BackendSettings(**backend)


@behave.then('the first host has this address and the others have no address')
def check_addresses(context):
    found = context.cloud_client.list_hosts().unwrap()
    address = types.Address(context.backend.ip, context.backend.port)
    addresses = [(host.address, host.slots) for host in found]
    assert addresses == [(address, 4), (None, 0), (None, 0)], addresses


@behave.then(
    'a stopped host is recorded as gone and an unknown one is not found'
)
def check_terminated_and_unknown_hosts(context):
    client = context.cloud_client
    host_id = client.list_hosts().unwrap()[0].id
    client.stop_host(host_id).unwrap()
    assert host_id not in {host.id for host in client.list_hosts().unwrap()}
    assert client.find_host(host_id).unwrap().phase is hosts.HostPhase.GONE
    kind = client.find_host('none').failure().kind
    assert kind is errors.FailureKind.NOT_FOUND, kind
