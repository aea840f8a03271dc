"""Steps for the stand-ins and the production clients of their APIs."""

import time

import behave
import orjson
from returns import pipeline
import werkzeug

from hornbeamrudder.core import errors
from hornbeamrudder.core import hosts
from hornbeamrudder.infrastructure import cloud as cloud_client
from hornbeamrudder.infrastructure import host_list
from hornbeamrudder.infrastructure import http
from hornbeamrudder.infrastructure import objects as object_client
from hornbeamrudder.standins import cloud
from hornbeamrudder.standins import hosts as hosts_standin
from hornbeamrudder.standins import objects
from hornbeamrudder.standins import server
from hornbeamrudder.standins import weights

ZONES = ('levis-est', 'foy-centre')
HOST_LIST_TIMEOUT_S = 8.0


def offer_key(zone):
    return hosts.OfferKey(zone, 'g1', True)


def start_server(context, handler, on_control=None):
    application = werkzeug.Request.application(handler)
    started = server.Server(application, '127.0.0.1', 0, 8, on_control)
    context.add_cleanup(started.close)
    return started


def send_request(context, method, address, path, body=b''):
    request = http.HttpRequest(
        method, str(address), path, errors.Step.CALL_CLOUD, body=body
    )
    response = context.client.call(request).unwrap()
    return response.status, response.body


def send_control(context, started, message):
    response = server.send_control(context.client, started.address, message)
    assert response.unwrap().status == 200


def start_client(context):
    context.client = http.HttpClient()
    context.add_cleanup(context.client.close)


@behave.given('a cloud stand-in')
def start_cloud(context):
    start_client(context)
    offers = [
        cloud.OfferSettings(
            zone=zone,
            machine_class='g1',
            pricing='reclaimable',
            price_per_hour=1.0,
            slots=8,
        )
        for zone in ZONES
    ]
    state = cloud.Cloud(cloud.Settings(offers=offers, start_delay_s=0.0))
    context.cloud = start_server(context, state.handle_request, state.control)
    context.cloud_client = cloud_client.CloudClient(
        context.client, str(context.cloud.address)
    )


def start_host(context, order_id, zone='levis-est'):
    return context.cloud_client.start_host(
        order_id, offer_key(zone), 'quill-llm'
    )


@behave.when(
    'a response is dropped and the start order "{order}" is sent twice'
)
def send_start_order_twice(context, order):
    send_control(context, context.cloud, {'drop_answers': 1})
    context.first = start_host(context, order)
    context.second = start_host(context, order)


@behave.then(
    'the first call is interrupted and the second names the only host'
)
def check_one_host(context):
    kind = context.first.failure().kind
    assert kind is errors.FailureKind.INTERRUPTED, kind
    found = context.cloud_client.list_hosts().unwrap()
    assert [context.second.unwrap().id] == [host.id for host in found]


@behave.when(
    'a response is dropped and start orders "{first}" and "{second}" are sent'
)
def send_two_start_orders(context, first, second):
    send_control(context, context.cloud, {'drop_answers': 1})
    start_host(context, first)
    start_host(context, second)


@behave.then('the cloud stand-in runs {count:d} hosts')
def check_host_count(context, count):
    assert len(context.cloud_client.list_hosts().unwrap()) == count


@behave.then(
    'a start in a refused zone fails as "{refused}"'
    ' and in an outage as "{unavailable}"'
)
def check_refusal(context, refused, unavailable):
    send_control(context, context.cloud, {'refuse': [{'zone': 'levis-est'}]})
    assert start_host(context, 'order-1').failure().kind.value == refused
    assert pipeline.is_successful(start_host(context, 'order-2', 'foy-centre'))
    send_control(context, context.cloud, {'outage': True})
    failure = start_host(context, 'order-3', 'foy-centre').failure()
    assert failure.kind.value == unavailable


@behave.when('two hosts run in "{first}" and one in "{second}"')
def run_hosts(context, first, second):
    for order, zone in enumerate((first, first, second)):
        start_host(context, str(order), zone).unwrap()


@behave.when('zone "{zone}" is reclaimed with {seconds:d} seconds of notice')
def reclaim_zone(context, zone, seconds):
    message = {'reclaim': {'zone': zone, 'seconds': seconds}}
    send_control(context, context.cloud, message)


@behave.then(
    'there are {count:d} notices with at most {seconds:d} seconds left'
)
def check_notices(context, count, seconds):
    notices = context.cloud_client.notices(0).unwrap()
    assert [notice.number for notice in notices] == [1, 2][:count]
    assert all(0 < notice.seconds_left <= seconds for notice in notices)


@behave.then('no notices are returned after number {number:d}')
def check_no_further_notices(context, number):
    assert context.cloud_client.notices(number).unwrap() == ()


@behave.given('a cloud stand-in and a host list that lags by {lag:f} seconds')
def start_host_list(context, lag):
    start_cloud(context)
    state = hosts_standin.HostList(
        hosts_standin.Settings(
            cloud=str(context.cloud.address), lag_s=lag, poll_interval_s=0.05
        ),
        context.cloud_client,
    )
    context.add_cleanup(state.close)
    listening = start_server(context, state.handle_request)
    context.lag = lag
    context.host_list = host_list.HostListClient(
        context.client, str(listening.address)
    )


def wait_for_host_list(context, expected):
    deadline = time.monotonic() + HOST_LIST_TIMEOUT_S
    while time.monotonic() < deadline:
        found = context.host_list.list_hosts().unwrap()
        if [host.leaving for host in found] == expected:
            return
        time.sleep(0.02)
    raise AssertionError(f'host list is {found}, expected leaving={expected}')


@behave.when('a listed host is reclaimed')
def reclaim_listed_host(context):
    started = start_host(context, 'order-1').unwrap()
    wait_for_host_list(context, [False])
    context.reclaimed_at = time.monotonic()
    message = {'reclaim': {'hosts': [started.id], 'seconds': 60}}
    send_control(context, context.cloud, message)


@behave.then(
    'the host list shows it as live until the lag has passed, then as leaving'
)
def check_lag(context):
    found = context.host_list.list_hosts().unwrap()
    elapsed = time.monotonic() - context.reclaimed_at
    assert elapsed > context.lag or [h.leaving for h in found] == [False]
    wait_for_host_list(context, [True])
    assert time.monotonic() - context.reclaimed_at >= context.lag


@behave.given(
    'a weight store with {rate:d} bytes per second'
    ' and up to {count:d} concurrent downloads'
)
def start_weights(context, rate, count):
    start_client(context)
    settings = weights.Settings(
        bytes_by_model={'quill': 200},
        bytes_per_second=rate,
        max_downloads=count,
    )
    store = weights.WeightStore(settings, clock=lambda: 0.0)
    context.weights = start_server(context, store.handle_request)


@behave.then(
    'downloads of 200 bytes take {first:d} and {second:d} seconds'
    ' and a third is refused'
)
def check_downloads(context, first, second):
    responses = [
        send_request(
            context, 'GET', context.weights.address, '/v1/weights/quill'
        )
        for _ in range(3)
    ]
    assert [status for status, _ in responses] == [200, 200, 429]
    times = [orjson.loads(body)['duration_s'] for _, body in responses[:2]]
    assert times == [first, second], times


@behave.given('an object store')
def start_objects(context):
    start_client(context)
    store = objects.ObjectStore(objects.Settings())
    context.objects = start_server(context, store.handle_request)


@behave.then(
    'an object is read by its digest'
    ' and overwrites and altered content are rejected'
)
def check_object(context):
    address = context.objects.address
    client = object_client.ObjectClient(context.client, str(address))
    name = client.put(b'wiring plan').unwrap()
    assert client.put(b'wiring plan').unwrap() == name
    assert client.get(name).unwrap() == b'wiring plan'
    status, _ = send_request(
        context, 'PUT', address, f'/v1/objects/{name}', b'other'
    )
    assert status == 409, status
    send_request(context, 'PUT', address, '/v1/objects/wrong-name', b'other')
    kind = client.get('wrong-name').failure().kind
    assert kind is errors.FailureKind.INVALID, kind
    kind = client.get('absent').failure().kind
    assert kind is errors.FailureKind.NOT_FOUND, kind
