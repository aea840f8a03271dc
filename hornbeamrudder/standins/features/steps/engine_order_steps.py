"""Steps for orders to the engine stand-in and for addresses of hosts."""

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

WAIT_S = 10.0


@behave.given('an engine that {checks} fencing and has the model "{model}"')
def start_engine(context, checks, model):
    state = engine.Engine(
        engine.Settings(
            models=(model,),
            checks_fencing=checks == 'checks',
            weights=str(context.weights.address),
        )
    )
    listening = server.Server(
        engine.make_application(state), '127.0.0.1', 0, 8
    )
    context.add_cleanup(listening.close)
    context.worker = types.Worker(
        'w', 'quill-llm', 'h', 'portmore', listening.address, 16
    )
    context.engines = orders.EngineClient(context.client)


def order(context, model, role, number, expires_in_s=60.0):
    sent = orders.Order(
        'w',
        orders.Target(model, '2', ('a',), role),
        number,
        time.time() + expires_in_s,
    )
    return context.engines.send(context.worker, sent)


def check_refused(answer):
    kind = answer.failure().kind
    assert kind is errors.FailureKind.REFUSED, answer


@behave.when(
    'it is ordered to serve "{model}" as "{role}" under number {number:d}'
)
def send_order(context, model, role, number):
    context.observed = order(context, model, role, number).unwrap()


@behave.then('it loads "{model}" and serves "{old}" meanwhile')
def check_loading(context, model, old):
    assert context.observed.loading == model, context.observed
    assert context.observed.target.model == old, context.observed


@behave.then('it refuses an order for another model during the load')
def check_busy(context):
    check_refused(order(context, 'base', 'both', 7))


@behave.then('it refuses an expired order and one under number {number:d}')
def check_stale(context, number):
    check_refused(order(context, 'quill', 'both', 7, expires_in_s=-1.0))
    check_refused(order(context, 'quill', 'both', number))


@behave.then('it serves "{model}" as "{role}" after the time of the download')
def check_loaded(context, model, role):
    until = time.monotonic() + WAIT_S
    while True:
        found = context.engines.observe(context.worker).unwrap()
        if not found.loading:
            break
        assert time.monotonic() < until, found
        time.sleep(0.02)
    assert (found.target.model, found.target.role) == (model, role), found
    assert model in found.present and 'absent' not in found.present, found


@behave.then('it serves "{model}" as "{role}" at once')
def check_target(context, model, role):
    target = orders.Target(model, '2', ('a',), role)
    assert context.observed.target == target, context.observed


@behave.given(
    'a cloud stand-in with the address {ip}:{port:d}'
    ' for {count:d} host of {service}'
)
def start_cloud_with(context, ip, port, count, service):
    standin_steps.start_cloud(context)
    backend = {'service': service, 'ip': ip, 'port': port, 'slots': 4}
    standin_steps.control(
        context, context.cloud, {'backends': [backend] * count}
    )
    context.backend = cloud.BackendSettings(**backend)


@behave.then('the first host has this address and the others have none')
def check_addresses(context):
    found = context.cloud_client.list_hosts().unwrap()
    address = types.Address(context.backend.ip, context.backend.port)
    told = [(host.address, host.slots) for host in found]
    assert told == [(address, 4), (None, 0), (None, 0)], told


@behave.then(
    'a stopped host is recorded as gone and an unknown one is not found'
)
def check_records(context):
    client = context.cloud_client
    name = client.list_hosts().unwrap()[0].id
    client.stop_host(name).unwrap()
    assert name not in {host.id for host in client.list_hosts().unwrap()}
    assert client.find_host(name).unwrap().phase is hosts.HostPhase.GONE
    kind = client.find_host('none').failure().kind
    assert kind is errors.FailureKind.NOT_FOUND, kind
