"""Steps for orders of a node whose share falls before they are sent."""

import collections
from concurrent import futures
import random
import threading
import time

import behave
from returns import result

from hornbeamrudder.admission import controller
from hornbeamrudder.backends import watch
from hornbeamrudder.core import types
from hornbeamrudder.entry import gate
from hornbeamrudder.entry import pool
from hornbeamrudder.entry import service_calls
from hornbeamrudder.infrastructure import http
from hornbeamrudder.infrastructure import table
from hornbeamrudder.inventory import schema
from hornbeamrudder.orders import committer
from hornbeamrudder.orders import execute
from hornbeamrudder.settings import schema as settings_schema
from hornbeamrudder.telemetry import traces

SERVICE = 'ledger-app'
NODE = 'n1'
PEER_SLOTS = 16.0
DEADLINE_S = 30.0
# Ends the wait of the service for orders that the node refused.
SERVICE_WAIT_S = 2.0
DOCUMENT = schema.parse_document(
    {'services': [{'name': SERVICE, 'kind': 'plain_service'}]}
).unwrap()


class Table:
    """Table that applies every write after calling a function."""

    def __init__(self, before_write):
        self._before_write = before_write

    def write(self, puts):
        self._before_write()
        return result.Success(
            tuple(
                table.PutResult(
                    True, table.Row(put.key, put.expect_version + 1, put.value)
                )
                for put in puts
            )
        )


class Service:
    """Backend client that answers once all expected orders have arrived."""

    def __init__(self, expected):
        self._expected = expected
        self._changed = threading.Condition()
        self.count_by_path = collections.Counter()

    def call(self, request):
        with self._changed:
            self.count_by_path[request.path] += 1
            self._changed.notify_all()
            self._changed.wait_for(
                lambda: self.count_by_path.total() >= self._expected,
                SERVICE_WAIT_S,
            )
        return result.Success(http.HttpResponse(200))


@behave.given(
    '{count:d} orders at a node that has all {slots:d} slots of a plain'
    ' service'
)
def make_node(context, count, slots):
    context.count = count
    context.demand_by_node = {NODE: float(count)}
    context.service = Service(count)
    watcher = watch.Watcher(None, None, None)
    workers = pool.NodeWorkerPool(
        NODE,
        watcher,
        lambda service: dict(context.demand_by_node),
        random.Random(1),
    )
    workers.set_workers(
        [
            types.Worker(
                'app-1',
                SERVICE,
                'h1',
                'd',
                types.Address('127.0.0.1', 1),
                slots,
            )
        ]
    )
    store = Table(lambda: learn_of_peer(context))
    context.gate = gate.Gate(
        workers, controller.Controller(), lambda: DOCUMENT, threads=64
    )
    group_commit = committer.Committer(store)
    orders = execute.OrderExecutor(
        store,
        group_commit,
        service_calls.OrderSender(context.service, workers).send,
    )
    context.handler = service_calls.ServiceCallHandler(
        NODE,
        1,
        context.service,
        workers,
        context.gate,
        orders,
        traces.Tracer(settings_schema.Tracing(), NODE),
        random.Random(1),
    )
    context.add_cleanup(context.gate.close)
    context.add_cleanup(group_commit.close)
    context.add_cleanup(orders.close)


def learn_of_peer(context):
    deadline = time.monotonic() + DEADLINE_S
    while context.gate.snapshots()[SERVICE].in_use < context.count:
        assert time.monotonic() < deadline, 'orders without a slot'
        time.sleep(0.01)
    context.demand_by_node['n2'] = PEER_SLOTS


@behave.when(
    'the demand of a peer becomes known while their records are written'
)
def send_orders(context):
    with futures.ThreadPoolExecutor(context.count) as executor:
        context.responses = list(
            executor.map(
                lambda number: context.handler.call(order(number)),
                range(context.count),
            )
        )


def order(number):
    return service_calls.IncomingCall(
        request_id=f'n1-{number}',
        account='a',
        service=SERVICE,
        rank=types.Rank.STANDARD,
        method='POST',
        path=f'/visits/{number}',
        headers=(),
        body=b'{}',
        deadline=time.monotonic() + DEADLINE_S,
        idempotency_key=f'key-{number}',
        traceparent='',
        idempotent=False,
        maybe_repeated=False,
    )


@behave.then('every order is sent once and answered')
def check_answers(context):
    outcomes = [
        (response.status_code, response.get_data(as_text=True))
        for response in context.responses
    ]
    assert all(status == 200 for status, _ in outcomes), outcomes
    assert context.service.count_by_path == {
        f'/visits/{number}': 1 for number in range(context.count)
    }, context.service.count_by_path
