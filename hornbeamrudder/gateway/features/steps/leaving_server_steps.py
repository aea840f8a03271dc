"""Steps for servers that leave while the store turns nodes away."""

import asyncio

import behave

from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway.features import fleet_simulation
from hornbeamrudder.platform import adapter

START_S = 6.0
CHECK_S = 0.02
GIVE_UP_S = 8.0
SERVER = 's-1'
COUNT_BY_NAME = {
    'the first hub': 1,
    'both following hubs': 2,
    'each of the hubs': 3,
}


def _entry(state):
    return {
        'service': 'engines',
        'address': '10.9.0.1:8000',
        'zone': 'd0',
        'version': 'v1',
        'slots': 8,
        'state': state,
        'sequence': 1,
        'born': 1,
    }


def _put_server(fleet, state):
    fleet.store.commit([(adapter.SERVER_TABLE, SERVER, _entry(state))])


@behave.when(
    '{turned} is turned away by the store, and a server says {after:g} s'
    ' later that it leaves'
)
def leave_while_turned_away(context, turned, after):
    async def play(fleet):
        fleet.put_configuration(1)
        _put_server(fleet, 'ready')
        await fleet.start_all()
        await asyncio.sleep(START_S)
        any_node = next(iter(fleet.running_by_number.values())).node
        hubs = any_node.state.peers.hubs()[: COUNT_BY_NAME[turned]]
        fleet.store.refuses = lambda node_id: node_id in hubs
        await asyncio.sleep(after)
        _put_server(fleet, 'draining')
        left_at = clock.now()
        known_s = {}
        while clock.now() < left_at + GIVE_UP_S:
            await asyncio.sleep(CHECK_S)
            for running in fleet.running_by_number.values():
                state = running.node.state
                name = state.settings.node
                if name not in hubs and not any(
                    record.usable for record in state.servers.by_id.values()
                ):
                    known_s.setdefault(name, clock.now() - left_at)
        return {
            running.node.state.settings.node: known_s.get(
                running.node.state.settings.node, GIVE_UP_S
            )
            for running in fleet.running_by_number.values()
            if running.node.state.settings.node not in hubs
        }

    fleet = fleet_simulation.Fleet(context.count)
    context.known_s_by_node = fleet.run(play)
    assert not fleet.failures, fleet.failures


@behave.then('each node that is not turned away knows it within {limit:g} s')
def check_known(context, limit):
    slowest_s = max(context.known_s_by_node.values())
    assert slowest_s <= limit, (
        slowest_s,
        sorted(context.known_s_by_node.values())[::8],
    )
