"""Steps that bring about faults of processes, hosts and connections."""

import signal
import time

import behave

from hornbeamrudder.core import hashing


@behave.given('a load of streams and orders')
def start_load(context):
    context.trial.start_load()


@behave.given('a load of streams and orders at {node}')
def start_load_at(context, node):
    context.trial.start_load(context.trial.caller_at(node))


@behave.when('worker {worker} is killed in the middle of requests')
def kill_worker(context, worker):
    context.trial.wait(lambda: context.trial.busy(worker), 'worker is busy')
    context.trial.kill(worker, signal.SIGKILL)


@behave.when('node {node} is killed in the middle of requests')
def kill_node(context, node):
    context.trial.wait(lambda: context.trial.open_at(node), 'node is busy')
    context.trial.kill(node, signal.SIGKILL)


@behave.when('node {node} is stopped gracefully in the middle of requests')
def stop_node(context, node):
    context.trial.wait(lambda: context.trial.open_at(node), 'node is busy')
    context.trial.kill(node, signal.SIGTERM)


@behave.when('the hosts of {names} are reclaimed with {seconds:d} s notice')
def reclaim(context, names, seconds):
    item = context.trial
    chosen = names.split(' and ')
    for name in chosen:
        if name.startswith('engine'):
            item.wait(lambda name=name: item.busy(name), f'{name} is busy')
    item.control(
        'cloud',
        reclaim={
            'hosts': [item.running.host_of(name) for name in chosen],
            'seconds': seconds,
        },
    )
    item.notes.setdefault('noticed_at', time.monotonic())
    end_at = time.monotonic() + seconds
    for name in chosen:
        item.notes.setdefault('ends', {})[name] = end_at


@behave.when('zone {zone} is reclaimed with {seconds:d} s notice')
def reclaim_zone(context, zone, seconds):
    item = context.trial
    item.control('cloud', reclaim={'zone': zone, 'seconds': seconds})
    end_at = time.monotonic() + seconds
    number = item.running.plan.data_centres.index(zone)
    names = (
        *item.running.engine_names,
        *item.running.service_names,
        *item.running.node_names,
    )
    zones = len(item.running.plan.data_centres)
    item.notes['ends'] = dict.fromkeys(names[number::zones], end_at)


@behave.when('the platform ends the reclaimed hosts at that time')
def end_hosts(context):
    ends = context.trial.notes['ends']
    for name, end_at in sorted(ends.items(), key=lambda entry: entry[1]):
        time.sleep(max(0.0, end_at - time.monotonic()))
        context.trial.kill(name, signal.SIGKILL)


@behave.when('{seconds:g} s pass')
def pass_time(context, seconds):
    time.sleep(seconds)


@behave.when('node {node} is paused for {seconds:g} s')
def pause_node(context, node, seconds):
    item = context.trial
    item.wait(lambda: item.open_at(node), 'node is busy')
    item.notes['paused'] = (node,)
    item.kill(node, signal.SIGSTOP)
    time.sleep(seconds)
    item.kill(node, signal.SIGCONT)
    item.notes.pop('paused')


@behave.when('node {node} is paused')
def pause(context, node):
    context.trial.notes['paused'] = (node,)
    context.trial.kill(node, signal.SIGSTOP)


@behave.when('node {node} continues')
def go_on(context, node):
    context.trial.notes.pop('paused')
    context.trial.kill(node, signal.SIGCONT)


@behave.when('the first successor of {node} is {what} at the handover')
def fail_successor(context, node, what):
    item = context.trial
    others = [name for name in item.running.node_names if name != node]
    successor = next(iter(hashing.rendezvous_order(node, others)))
    if what == 'paused':
        item.notes['paused'] = (successor,)
        item.kill(successor, signal.SIGSTOP)
        return
    before = item.open_at(successor)
    item.wait(
        lambda: item.open_at(successor) > before + 1, 'answers are moved'
    )
    item.kill(successor, signal.SIGKILL)


@behave.when('the table service is down')
def table_down(context):
    context.trial.control('table', outage=True)


@behave.when('the table service answers again')
def table_up(context):
    context.trial.control('table', outage=False, delay_s=0, drop_answers=0)


@behave.when('the table service takes {seconds:g} s for each request')
def table_slow(context, seconds):
    context.trial.control('table', delay_s=seconds)


@behave.when('the table service drops {count:d} answers after the effect')
def table_drops(context, count):
    context.trial.control('table', drop_answers=count)


@behave.when('open connections of {link} go silent and new ones work')
def silence(context, link):
    item = context.trial
    if ':' not in link:
        item.wait(lambda: item.busy(link), f'{link} is busy')
    item.running.relay(link, silence='existing')
    item.running.relay(link, silence='none')


@behave.when('{link} is cut off')
def cut_off(context, link):
    context.trial.running.relay(link, cut=True, refuse=True)


@behave.when('{link} is connected again')
def connect(context, link):
    context.trial.running.relay(link, refuse=False)


@behave.when('node {node} starts afresh')
def restart(context, node):
    context.trial.kill(node, signal.SIGKILL)
    context.trial.processes.by_name[node].wait()
    context.trial.restart(node)
