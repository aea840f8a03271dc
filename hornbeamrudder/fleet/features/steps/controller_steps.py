"""Steps for the controller, with fakes at its interfaces."""

import random

import behave
from returns import result
import werkzeug

from hornbeamrudder.backends import load
from hornbeamrudder.backends import snapshot
from hornbeamrudder.backends import state
from hornbeamrudder.core import errors
from hornbeamrudder.core import hosts
from hornbeamrudder.core import types
from hornbeamrudder.fleet import controller
from hornbeamrudder.fleet import demand
from hornbeamrudder.infrastructure import cloud as cloud_client
from hornbeamrudder.infrastructure import http
from hornbeamrudder.standins import cloud as cloud_standin
from hornbeamrudder.standins import server

SERVICE = 'quill-llm'
ZONES = ('portmore', 'kingston-a', 'spanish-town')
OFFERS = tuple(
    hosts.Offer(hosts.OfferKey(zone, 'g1', True), 1.0, 0.0, 8)
    for zone in ZONES
)
HIGH_RATE = 8.0
LOW_RATE = 1.0
WANTED_HOSTS = 3


def failure(kind):
    return result.Failure(
        errors.Failure(kind, errors.Step.CALL_CLOUD, 'cloud', 'fake')
    )


class World:
    """Fakes of the lease, the cloud, the backends and the engines."""

    def __init__(self):
        self.now = 1000.0
        self.number = 1
        self.checks_left = None
        self.down = False
        self.lost_answers = 0
        self.by_order = {}
        self.uses_order_ids = True
        self.hosts = {}
        self.stopped = []
        self.records = {}
        self.report = load.LoadReport(0.0, 1, 0, 0.0)
        self.rate = HIGH_RATE

    def fencing_number(self, now):
        if self.checks_left is not None:
            self.checks_left -= 1
            return self.number if self.checks_left >= 0 else None
        return self.number

    def offers(self):
        if self.down:
            return failure(errors.FailureKind.UNAVAILABLE)
        return result.Success(OFFERS)

    def list_hosts(self):
        if self.down:
            return failure(errors.FailureKind.UNAVAILABLE)
        return result.Success(tuple(self.hosts.values()))

    def start_host(self, order_id, offer, service):
        if order_id not in self.by_order or not self.uses_order_ids:
            name = f'host-{len(self.records) + 1}'
            started = hosts.CloudHost(
                name, offer, service, hosts.HostPhase.RUNNING, 1
            )
            self.by_order[order_id] = self.hosts[name] = started
            self.records[name] = state.apply(
                state.HostRecord(name), state.Answered(1, self.now)
            )
        if self.lost_answers:
            self.lost_answers -= 1
            return failure(errors.FailureKind.INTERRUPTED)
        return result.Success(self.by_order[order_id])

    def stop_host(self, host):
        self.stopped.append(host)
        return result.Success(self.hosts.pop(host))

    def snapshot(self):
        workers = {
            f'worker-{name}': types.Worker(
                f'worker-{name}',
                SERVICE,
                name,
                item.offer.zone,
                types.Address('127.0.0.1', 1),
                8,
            )
            for name, item in self.hosts.items()
        }
        loads = dict.fromkeys(workers, load.WorkerLoad(self.report))
        return snapshot.Snapshot(workers, dict(self.records), loads)

    def report_from_peer(self, leaving):
        for item in leaving:
            report = state.Announced(
                item.incarnation, self.now, state.Source.PEER
            )
            self.records[item.id] = state.apply(self.records[item.id], report)

    def wish(self):
        urgent = demand.Demand(SERVICE, types.Rank.URGENT, self.rate, 1.0)
        return controller.Wish((SERVICE,), (urgent,))


def make_controller(context, cloud=None):
    world = context.world
    context.controller = controller.Controller(
        world,
        cloud or world,
        world,
        world,
        world.wish,
        random.Random(1),
        clock=lambda: world.now,
        wall=lambda: world.now,
    )
    context.add_cleanup(context.controller.close)


def run_steps(context, count):
    for _ in range(count):
        context.world.now += 1.0
        context.controller.step()


def give_world(context, **values):
    context.world = World()
    for name, value in values.items():
        setattr(context.world, name, value)
    make_controller(context)


@behave.given('a controller without the lease')
def give_no_lease(context):
    give_world(context, number=None)


@behave.given('a controller that loses the lease after its first check')
def give_lost_lease(context):
    give_world(context, checks_left=1)


@behave.given('a controller whose first {count:d} start answers are lost')
def give_lost_answers(context, count):
    give_world(context, lost_answers=count)


@behave.given('a cloud that ignores order ids')
def ignore_order_ids(context):
    context.world.uses_order_ids = False


@behave.given('a controller whose cloud API is down')
def give_outage(context):
    give_world(context, down=True)


@behave.given('a controller whose hosts all serve')
def give_serving(context):
    give_world(context)
    run_steps(context, 5)


@behave.when('it runs {count:d} steps')
def run(context, count):
    run_steps(context, count)


@behave.when('it receives the lease and runs {count:d} steps')
def receive_lease(context, count):
    context.world.number = 1
    run_steps(context, count)


@behave.when('the cloud API is back and it runs {count:d} steps')
def end_outage(context, count):
    context.world.down = False
    run_steps(context, count)


@behave.when('demand falls for {seconds:d} seconds')
def lower_demand(context, seconds):
    context.world.rate = LOW_RATE
    run_steps(context, seconds)


@behave.when('its lease is out of sight for a step and a host is lost')
def hide_lease(context):
    context.world.number = None
    run_steps(context, 1)
    context.world.number = 1
    del context.world.hosts['host-1']
    run_steps(context, 3)


@behave.when('another controller takes over')
def take_over(context):
    context.world.number = 2
    make_controller(context)
    run_steps(context, 5)


@behave.when('the drained hosts report no work')
def report_no_work(context):
    context.drained = drained(context)
    context.world.report = load.LoadReport(0.0, 0, 0, context.world.now)
    run_steps(context, 10)


def drained(context):
    return sorted(
        name
        for name, record in context.world.records.items()
        if record.announced
    )


@behave.then('no host was started')
def check_no_start(context):
    assert not context.world.hosts, context.world.hosts
    assert not context.controller.counters['start refused']


@behave.then('the wanted hosts were started once each')
def check_starts(context):
    zones = sorted(i.offer.zone for i in context.world.hosts.values())
    assert zones == sorted(ZONES), zones


@behave.then('more hosts than wanted were started')
def check_too_many(context):
    assert len(context.world.hosts) > WANTED_HOSTS, context.world.hosts


@behave.then('surplus hosts were taken out of service and none was stopped')
def check_drained(context):
    assert drained(context)
    assert not context.world.stopped


@behave.then('exactly the drained hosts were stopped')
def check_stopped(context):
    assert context.drained
    assert sorted(context.world.stopped) == context.drained


@behave.given(
    'a controller with the cloud stand-in, where "{zone}" is refused'
)
def give_standin(context, zone):
    settings = cloud_standin.Settings(
        offers=[
            cloud_standin.OfferSettings(
                zone=offer.key.zone,
                machine_class=offer.key.machine_class,
                pricing=offer.key.pricing,
                price_per_hour=offer.price_per_hour,
                slots=offer.slots,
            )
            for offer in OFFERS
        ]
    )
    standin = cloud_standin.Cloud(settings)
    standin.control({'refuse': [{'zone': zone}]})
    listening = server.Server(
        werkzeug.Request.application(standin.answer), '127.0.0.1'
    )
    context.add_cleanup(listening.close)
    client = http.HttpClient()
    context.add_cleanup(client.close)
    context.world = World()
    context.cloud = cloud_client.CloudClient(client, str(listening.address))
    make_controller(context, context.cloud)


@behave.then('the hosts that the cloud stand-in runs cover the need elsewhere')
def check_standin(context):
    found = context.cloud.list_hosts().unwrap()
    zones = {host.offer.zone for host in found}
    assert zones == {'kingston-a', 'spanish-town'}, zones
    wish = context.world.wish()
    need = demand.need(SERVICE, wish.demands)
    assert 8 * len(found) >= need.total, (found, need)
