"""Steps that inject faults into processes, hosts and connections."""

import signal
import time

import behave

from hornbeamrudder.core import hashing


@behave.given('a load of streams and orders')
def start_load(context):
    context.harness.start_load()


@behave.given('a load of streams and orders at {node}')
def start_load_at(context, node):
    context.harness.start_load(context.harness.caller_at(node))


@behave.when('worker {worker} is killed with requests in progress')
def kill_worker(context, worker):
    context.harness.wait(
        lambda: context.harness.has_requests_at(worker), 'worker is busy'
    )
    context.harness.send_signal(worker, signal.SIGKILL)


@behave.when('node {node} is killed with requests in progress')
def kill_node(context, node):
    context.harness.wait(
        lambda: context.harness.open_requests_of(node), 'node is busy'
    )
    context.harness.send_signal(node, signal.SIGKILL)


@behave.when('node {node} is stopped gracefully with requests in progress')
def stop_node(context, node):
    context.harness.wait(
        lambda: context.harness.open_requests_of(node), 'node is busy'
    )
    context.harness.send_signal(node, signal.SIGTERM)


@behave.when('the hosts of {names} are reclaimed with {seconds:d} s notice')
def reclaim(context, names, seconds):
    harness = context.harness
    chosen = names.split(' and ')
    for name in chosen:
        if name.startswith('engine'):
            harness.wait(
                lambda name=name: harness.has_requests_at(name),
                f'{name} is busy',
            )
    harness.set_faults(
        'cloud',
        reclaim={
            'hosts': [harness.running.host_of(name) for name in chosen],
            'seconds': seconds,
        },
    )
    harness.fault_state.setdefault('noticed_at', time.monotonic())
    terminates_at = time.monotonic() + seconds
    for name in chosen:
        harness.fault_state.setdefault('terminates_at_by_name', {})[name] = (
            terminates_at
        )


@behave.when('zone {zone} is reclaimed with {seconds:d} s notice')
def reclaim_zone(context, zone, seconds):
    harness = context.harness
    harness.set_faults('cloud', reclaim={'zone': zone, 'seconds': seconds})
    terminates_at = time.monotonic() + seconds
    number = harness.running.plan.data_centres.index(zone)
    names = (
        *harness.running.engine_names,
        *harness.running.service_names,
        *harness.running.node_names,
    )
    zones = len(harness.running.plan.data_centres)
    harness.fault_state['terminates_at_by_name'] = dict.fromkeys(
        names[number::zones], terminates_at
    )


@behave.when('the reclaimed hosts are terminated when their notice expires')
def end_hosts(context):
    terminates_at_by_name = context.harness.fault_state[
        'terminates_at_by_name'
    ]
    for name, terminates_at in sorted(
        terminates_at_by_name.items(), key=lambda entry: entry[1]
    ):
        time.sleep(max(0.0, terminates_at - time.monotonic()))
        context.harness.send_signal(name, signal.SIGKILL)


@behave.when('{seconds:g} s pass')
def pass_time(context, seconds):
    time.sleep(seconds)


@behave.when('node {node} is paused for {seconds:g} s')
def pause_node_for(context, node, seconds):
    harness = context.harness
    harness.wait(lambda: harness.open_requests_of(node), 'node is busy')
    harness.fault_state['paused'] = (node,)
    harness.send_signal(node, signal.SIGSTOP)
    time.sleep(seconds)
    harness.send_signal(node, signal.SIGCONT)
    harness.fault_state.pop('paused')


@behave.when('node {node} is paused')
def pause_node(context, node):
    context.harness.fault_state['paused'] = (node,)
    context.harness.send_signal(node, signal.SIGSTOP)


@behave.when('node {node} is resumed')
def resume_node(context, node):
    context.harness.fault_state.pop('paused')
    context.harness.send_signal(node, signal.SIGCONT)


@behave.when('the first successor of {node} is {fault} during the handover')
def fail_successor(context, node, fault):
    harness = context.harness
    others = [name for name in harness.running.node_names if name != node]
    successor = next(iter(hashing.rendezvous_order(node, others)))
    if fault == 'paused':
        harness.fault_state['paused'] = (successor,)
        harness.send_signal(successor, signal.SIGSTOP)
        return
    before = harness.open_requests_of(successor)
    harness.wait(
        lambda: harness.open_requests_of(successor) > before + 1,
        'answers are moved',
    )
    harness.send_signal(successor, signal.SIGKILL)


@behave.when('the table service is down')
def table_down(context):
    context.harness.set_faults('table', outage=True)


@behave.when('the table service recovers')
def table_up(context):
    context.harness.set_faults(
        'table', outage=False, delay_s=0, drop_answers=0
    )


@behave.when('the table service delays each request by {seconds:g} s')
def table_slow(context, seconds):
    context.harness.set_faults('table', delay_s=seconds)


@behave.when(
    'the table service drops {count:d} responses after applying the requests'
)
def table_drops(context, count):
    context.harness.set_faults('table', drop_answers=count)


@behave.when('existing connections of {link} go silent while new ones work')
def silence_connections(context, link):
    harness = context.harness
    if ':' not in link:
        harness.wait(lambda: harness.has_requests_at(link), f'{link} is busy')
    harness.running.relay(link, silence='existing')
    harness.running.relay(link, silence='none')


@behave.when('{link} is cut off')
def cut_off(context, link):
    context.harness.running.relay(link, cut=True, refuse=True)


@behave.when('{link} is connected again')
def connect(context, link):
    context.harness.running.relay(link, refuse=False)


@behave.when('node {node} is restarted')
def restart(context, node):
    context.harness.send_signal(node, signal.SIGKILL)
    context.harness.processes.by_name[node].wait()
    context.harness.restart(node)
