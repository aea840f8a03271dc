"""Steps for fleet control by running nodes."""

from concurrent import futures
import dataclasses
import pathlib
import signal
import tempfile
import time

import behave
import orjson
from returns import result

from hornbeamrudder.bench import deployment
from hornbeamrudder.bench import local
from hornbeamrudder.configuration import publish
from hornbeamrudder.configuration import versions
from hornbeamrudder.core import errors
from hornbeamrudder.core import hosts
from hornbeamrudder.core import types
from hornbeamrudder.fleet import demand
from hornbeamrudder.fleet import desired_state
from hornbeamrudder.fleet import registrar
from hornbeamrudder.fleet import traffic
from hornbeamrudder.infrastructure import http
from hornbeamrudder.inventory import schema

SERVICE = 'quill-llm'
MODEL = 'quill'
ZONES = ('kingston-a', 'portmore', 'spanish-town')
WAIT_S = 30.0
OFFER = hosts.OfferKey('portmore', 'g1', True)
FLEET_RULE = {
    'service': SERVICE,
    'offers': [
        {
            'machine_class': deployment.MACHINE_CLASS,
            'model': MODEL,
            # Otherwise a new holder waits before its first order.
            'checks_fencing': True,
        }
    ],
    'urgent_slots': deployment.ENGINE_SLOTS,
}
PLAN = deployment.Plan(
    region='jm-south',
    data_centres=ZONES,
    nodes=3,
    model_service=SERVICE,
    model=MODEL,
    engines=2,
    plain_service='ledger-app',
    services=0,
    tokens_by_account={'chain': 'chain-token'},
    rules={'fleet': [FLEET_RULE]},
    engine={'models': ['base'], 'checks_fencing': True},
    weights={'bytes_by_model': {MODEL: 100}, 'bytes_per_second': 1000.0},
    node={'fleet_control': True},
    spare_engines=4,
    cloud={
        'start_delay_s': 0.2,
        'offers': [
            {
                'zone': zone,
                'machine_class': deployment.MACHINE_CLASS,
                'pricing': pricing,
                'price_per_hour': price,
                'slots': deployment.ENGINE_SLOTS,
            }
            for zone in ZONES
            for pricing, price in (('reclaimable', 1.0), ('on_demand', 3.0))
        ],
    },
)


def wait(condition, what):
    until = time.monotonic() + WAIT_S
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < until, f'timed out waiting for {what}'
        time.sleep(0.1)


@behave.given('3 nodes that control a fleet of 2 model engines')
def start_nodes(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    client = http.HttpClient('fleet-test')
    context.add_cleanup(client.close)
    processes = local.LocalProcesses(pathlib.Path(folder.name))
    context.add_cleanup(processes.stop_all)
    context.running = deployment.Deployment(PLAN, processes, client)
    context.running.start()
    context.ended = set()
    context.number = 0


def holder(context):
    for name in context.running.node_names:
        if name in context.ended:
            continue
        number = context.running.status(name)['leases']['fleet']
        if number is not None and number > context.number:
            return name, number
    return None


@behave.then('one node holds the fleet lease')
@behave.then('another node holds the fleet lease under a higher number')
def check_holder(context):
    context.holder, context.number = wait(
        lambda: holder(context), 'a holder of the fleet lease'
    )


def call_cloud(context, message):
    running = context.running
    local.control(running.client, running.address('cloud'), message)


def reclaim(context, name):
    message = {'hosts': [context.running.host_of(name)], 'seconds': 1.0}
    call_cloud(context, {'reclaim': message})


@behave.when('the host of the first engine is reclaimed')
def reclaim_first_host(context):
    reclaim(context, 'engine-1')


@behave.when(
    'reclaimable starts are refused'
    ' and the host of the second engine is reclaimed'
)
def reclaim_second_host(context):
    call_cloud(context, {'refuse': [{'pricing': 'reclaimable'}]})
    reclaim(context, 'engine-2')


@behave.when('the lease holder is killed')
def kill_holder(context):
    end_holder(context, signal.SIGKILL)


@behave.when('the lease holder is stopped gracefully')
def stop_holder(context):
    end_holder(context, signal.SIGTERM)


def end_holder(context, number):
    context.ended.add(context.holder)
    process = context.running.processes.by_name[context.holder]
    process.send(number)
    process.wait()


def workers(context):
    name = next(
        name
        for name in context.running.node_names
        if name not in context.ended
    )
    return context.running.status(name)['workers']


def started_hosts(context, pricing):
    running = context.running
    listed = local.get_json(
        running.client, running.address('cloud'), '/v1/hosts'
    )['hosts']
    return {
        host['id']
        for host in listed
        if host['service'] == SERVICE
        and host['pricing'] == pricing
        and not host['id'].startswith('host-engine')
    }


@behave.then('a reclaimable host is started and its engine is in the document')
def check_reclaimable(context):
    check_started(context, 'reclaimable')


@behave.then('an on-demand host is started and its engine is in the document')
def check_on_demand(context):
    check_started(context, 'on_demand')


def check_started(context, pricing):
    def is_known():
        known = {item['host'] for item in workers(context).values()}
        return started_hosts(context, pricing) & known

    wait(is_known, f'a {pricing} host in the document')


@behave.then('the hosts that are gone are removed from the document')
def check_removed(context):
    def is_removed():
        known = {item['host'] for item in workers(context).values()}
        return not known & {'host-engine-1', 'host-engine-2'}

    wait(is_removed, 'removal of the hosts that are gone')


@behave.then('the new engines serve the model that was loaded for them')
def check_model(context):
    running = context.running

    def is_served():
        engine_states = [
            local.get_json(running.client, running.address(name), '/v1/load')[
                'engine'
            ]
            for name in running.spare_names[: len(workers(context))]
        ]
        return all(
            engine['model'] == MODEL and MODEL in engine['present']
            for engine in engine_states
        )

    wait(is_served, 'the model on the new engines')


def cloud_host(name, phase=hosts.HostPhase.RUNNING, port=1):
    address = types.Address('10.0.0.1', port)
    return hosts.CloudHost(name, OFFER, SERVICE, phase, 1, address, 16)


class Fakes:
    """Fake of the cloud API, the configuration and the lease."""

    def __init__(self):
        rule = {**FLEET_RULE, 'offers': [{'machine_class': 'g1'}]}
        self.document = {
            'services': [{'name': SERVICE, 'kind': 'plain_service'}],
            'rules': {'fleet': [rule]},
        }
        self.version = 1
        self.listed = [cloud_host('h-1')]
        self.record_by_host = {}
        self.edit_first = False
        self.holds = True
        self.now = 0.0
        self.proposals = 0

    def list_hosts(self):
        return result.Success(tuple(self.listed))

    def offers(self):
        return result.Success((hosts.Offer(OFFER, 1.0, 0.0, 16),))

    def find_host(self, host):
        if host in self.record_by_host:
            return result.Success(self.record_by_host[host])
        kind = errors.FailureKind.NOT_FOUND
        if host == 'silent':
            kind = errors.FailureKind.TIMEOUT
        return result.Failure(
            errors.Failure(kind, errors.Step.CALL_CLOUD, 'cloud', 'fake')
        )

    def current(self):
        row = versions.VersionRow(
            self.version, self.version, '', '', (), 'x', (), 'x', 0.0
        )
        return versions.VersionedDocument(row, orjson.dumps(self.document))

    def apply(self, document, base, author):
        assert author == 'fleet'
        self.proposals += 1
        future = futures.Future()
        if self.edit_first:
            self.edit_first = False
            self.document = {**self.document, 'operators': OPERATORS}
            self.version += 1
        if base != self.version:
            future.set_result(publish.Conflict(self.version, ()))
            return future
        self.document = document
        self.version += 1
        future.set_result(publish.Accepted(self.version, 0.0, {}))
        return future


OPERATORS = [{'id': 'ann', 'token_sha256': 'a' * 64}]


def make_registrar(context):
    context.fakes = fakes = Fakes()
    context.registrar = registrar.Registrar(
        fakes, fakes, lambda: fakes.holds, lambda: fakes.now
    )


@behave.given(
    'a registrar whose document is edited by an operator during its change'
)
def make_registrar_with_concurrent_edit(context):
    make_registrar(context)
    context.fakes.edit_first = True


@behave.given('a registrar whose hosts change with each step')
def make_registrar_with_changing_hosts(context):
    make_registrar(context)
    context.flaps = True


@behave.given(
    'a registrar with hosts that are gone, leaving, unknown and timing out'
)
def make_registrar_with_absent_hosts(context):
    make_registrar(context)
    fakes = context.fakes
    fakes.listed = []
    fakes.record_by_host['ended'] = cloud_host('ended', hosts.HostPhase.GONE)
    fakes.record_by_host['leaving'] = cloud_host(
        'leaving', hosts.HostPhase.LEAVING
    )
    context.names = ['ended', 'leaving', 'silent', 'unknown']
    fakes.document['hosts'] = [
        {
            'id': name,
            'data_centre': 'portmore',
            'machine_class': 'g1',
            'pricing': 'reclaimable',
            'price_per_hour': 1.0,
        }
        for name in context.names
    ]


@behave.when('the registrar runs {count:d} steps without the lease')
def run_without(context, count):
    context.fakes.holds = False
    run(context, count)
    context.fakes.holds = True


@behave.when('the registrar runs {count:d} steps with the lease')
@behave.when('the registrar runs {count:d} steps')
def run(context, count):
    for number in range(count):
        context.fakes.now += 0.1
        if 'flaps' in context:
            context.fakes.listed = [cloud_host(f'h-{number}', port=number + 1)]
        context.registrar.step()


@behave.then('no change was proposed')
def check_none(context):
    assert context.fakes.proposals == 0


@behave.then('{count:d} changes were proposed')
def check_proposals(context, count):
    assert context.fakes.proposals == count, context.fakes.proposals


@behave.then('the document has the edit and the started host')
def check_edit(context):
    document = context.fakes.document
    assert document['operators'] == OPERATORS
    assert [host['id'] for host in document['hosts']] == ['h-1']
    assert context.registrar.counters['Conflict'] == 1


@behave.then('only the host that is gone is removed from the document')
def check_absent(context):
    names = [host['id'] for host in context.fakes.document['hosts']]
    assert names == context.names[1:], names


@behave.given('rates of 2 nodes and a rule of 20 urgent slots')
def make_rates(context):
    now = [0.0]
    meter = traffic.Meter(lambda: now[0])
    for _ in range(600):
        now[0] += 0.1
        meter.arrived(SERVICE, types.Rank.URGENT)
        meter.served(SERVICE, types.Rank.URGENT, 2.0)
    context.rates = meter.rates() * 2
    document = Fakes().document
    document['rules']['fleet'][0]['urgent_slots'] = 20
    context.document = schema.parse_document(document).unwrap()


@behave.then('the desired state has both rates, and 20 slots without demand')
def check_desired_state(context):
    desired = desired_state.from_document(context.document, context.rates)
    load = sum(item.offered_load for item in desired.demands)
    # 600 requests of 2 s in 60 s at each of two nodes.
    assert 38.0 < load < 42.0, load
    unknown = dataclasses.replace(context.rates[0], rank=9)
    without_demand = desired_state.from_document(context.document, (unknown,))
    assert without_demand.demands == ()
    required = demand.with_min_urgent_slots(
        demand.required_slots(SERVICE, without_demand.demands),
        without_demand.urgent_slots_by_service[SERVICE],
    )
    assert (required.urgent_slots, required.total_slots) == (20, 20), required
