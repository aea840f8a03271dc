"""Steps for the controller, with fakes of its dependencies."""

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
DESIRED_HOSTS = 3


def failure(kind):
    return result.Failure(
        errors.Failure(kind, errors.Step.CALL_CLOUD, 'cloud', 'fake')
    )


class Fakes:
    """Fake of the lease, the cloud API, the backends and the engines."""

    def __init__(self):
        self.now = 1000.0
        self.held_number = 1
        self.lease_checks_left = None
        self.cloud_down = False
        self.lost_responses = 0
        self.host_by_order = {}
        self.uses_order_ids = True
        self.hosts = {}
        self.stopped = []
        self.records = {}
        self.report = load.LoadReport(0.0, 1, 0, 0.0)
        self.rate = HIGH_RATE

    def fencing_number(self, now):
        if self.lease_checks_left is not None:
            self.lease_checks_left -= 1
            return self.held_number if self.lease_checks_left >= 0 else None
        return self.held_number

    def offers(self):
        if self.cloud_down:
            return failure(errors.FailureKind.UNAVAILABLE)
        return result.Success(OFFERS)

    def list_hosts(self):
        if self.cloud_down:
            return failure(errors.FailureKind.UNAVAILABLE)
        return result.Success(tuple(self.hosts.values()))

    def start_host(self, order_id, offer, service):
        if order_id not in self.host_by_order or not self.uses_order_ids:
            name = f'host-{len(self.records) + 1}'
            started = hosts.CloudHost(
                name, offer, service, hosts.HostPhase.RUNNING, 1
            )
            self.host_by_order[order_id] = self.hosts[name] = started
            self.records[name] = state.merge_report(
                state.HostRecord(name), state.ResponseReport(1, self.now)
            )
        if self.lost_responses:
            self.lost_responses -= 1
            return failure(errors.FailureKind.INTERRUPTED)
        return result.Success(self.host_by_order[order_id])

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
            report = state.LeavingReport(
                item.incarnation, self.now, state.ReportSource.PEER
            )
            self.records[item.id] = state.merge_report(
                self.records[item.id], report
            )

    def desired_state(self):
        urgent = demand.Demand(SERVICE, types.Rank.URGENT, self.rate, 1.0)
        return controller.DesiredState((SERVICE,), (urgent,))


def make_controller(context, cloud=None):
    fakes = context.fakes
    context.controller = controller.Controller(
        fakes,
        cloud or fakes,
        fakes,
        fakes,
        fakes.desired_state,
        random.Random(1),
        clock=lambda: fakes.now,
        wall_clock=lambda: fakes.now,
    )
    context.add_cleanup(context.controller.close)


def run_steps(context, count):
    for _ in range(count):
        context.fakes.now += 1.0
        context.controller.step()


def make_controller_with_fakes(context, **values):
    context.fakes = Fakes()
    for name, value in values.items():
        setattr(context.fakes, name, value)
    make_controller(context)


@behave.given('a controller without the lease')
def make_controller_without_lease(context):
    make_controller_with_fakes(context, held_number=None)


@behave.given('a controller that loses the lease after its first check')
def make_controller_losing_lease(context):
    make_controller_with_fakes(context, lease_checks_left=1)


@behave.given('a controller whose first {count:d} start responses are lost')
def make_controller_with_lost_responses(context, count):
    make_controller_with_fakes(context, lost_responses=count)


@behave.given('a cloud that ignores order ids')
def ignore_order_ids(context):
    context.fakes.uses_order_ids = False


@behave.given('a controller whose cloud API is down')
def make_controller_with_cloud_outage(context):
    make_controller_with_fakes(context, cloud_down=True)


@behave.given('a controller whose hosts all serve')
def make_controller_with_serving_hosts(context):
    make_controller_with_fakes(context)
    run_steps(context, 5)


@behave.when('it runs {count:d} steps')
def run(context, count):
    run_steps(context, count)


@behave.when('it receives the lease and runs {count:d} steps')
def receive_lease(context, count):
    context.fakes.held_number = 1
    run_steps(context, count)


@behave.when('the cloud API is back and it runs {count:d} steps')
def end_outage(context, count):
    context.fakes.cloud_down = False
    run_steps(context, count)


@behave.when('demand stays low for {seconds:d} seconds')
def lower_demand(context, seconds):
    context.fakes.rate = LOW_RATE
    run_steps(context, seconds)


@behave.when('its lease is unconfirmed for a step and a host is lost')
def lose_lease_for_a_step(context):
    context.fakes.held_number = None
    run_steps(context, 1)
    context.fakes.held_number = 1
    del context.fakes.hosts['host-1']
    run_steps(context, 3)


@behave.when('another controller takes over')
def take_over(context):
    context.fakes.held_number = 2
    make_controller(context)
    run_steps(context, 5)


@behave.when('the drained hosts report no work')
def report_no_work(context):
    context.drained = drained(context)
    context.fakes.report = load.LoadReport(0.0, 0, 0, context.fakes.now)
    run_steps(context, 10)


def drained(context):
    return sorted(
        name
        for name, record in context.fakes.records.items()
        if record.leaving_announced
    )


@behave.then('no host was started')
def check_no_start(context):
    assert not context.fakes.hosts, context.fakes.hosts
    assert not context.controller.counters['start refused']


@behave.then('the desired hosts were started once each')
def check_starts(context):
    zones = sorted(i.offer.zone for i in context.fakes.hosts.values())
    assert zones == sorted(ZONES), zones


@behave.then('more hosts than desired were started')
def check_too_many(context):
    assert len(context.fakes.hosts) > DESIRED_HOSTS, context.fakes.hosts


@behave.then('surplus hosts were taken out of service and none was stopped')
def check_drained(context):
    assert drained(context)
    assert not context.fakes.stopped


@behave.then('exactly the drained hosts were stopped')
def check_stopped(context):
    assert context.drained
    assert sorted(context.fakes.stopped) == context.drained


@behave.given(
    'a controller with the cloud stand-in, where "{zone}" is refused'
)
def make_controller_with_cloud_standin(context, zone):
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
        werkzeug.Request.application(standin.handle_request), '127.0.0.1'
    )
    context.add_cleanup(listening.close)
    client = http.HttpClient()
    context.add_cleanup(client.close)
    context.fakes = Fakes()
    context.cloud = cloud_client.CloudClient(client, str(listening.address))
    make_controller(context, context.cloud)


@behave.then(
    'the hosts in the cloud stand-in cover the requirement in other zones'
)
def check_standin(context):
    found = context.cloud.list_hosts().unwrap()
    zones = {host.offer.zone for host in found}
    assert zones == {'kingston-a', 'spanish-town'}, zones
    desired = context.fakes.desired_state()
    required = demand.required_slots(SERVICE, desired.demands)
    assert 8 * len(found) >= required.total_slots, (found, required)
