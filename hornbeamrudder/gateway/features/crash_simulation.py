"""Simulation in virtual time of servers that crash under requests.

Whole nodes decide which requests to send and tell each other of crashes;
connections to clients and servers are simulated.
"""

import asyncio
import dataclasses
import types as python_types

from hornbeamrudder.core import ids
from hornbeamrudder.core import types
from hornbeamrudder.gateway import clock
from hornbeamrudder.gateway import crash_evidence
from hornbeamrudder.gateway import http_client
from hornbeamrudder.gateway import messages

SERVICE = ids.ServiceName('engines')
BAD_PART = 'bad'
FIRST_PARTS = 20
OWN_PARTS = 340
# From sending a request to its response head, and to its first event.
HEAD_S = 0.07
FIRST_EVENT_S = 0.08
TICK_S = 0.02
RESTART_S = 3.0
MAX_SENDS = 2
CLOSED = http_client.ConnectionBroken('closed by the other side', closed=True)
LOST = http_client.ConnectionBroken('connection lost: timed out')


@dataclasses.dataclass(eq=False)
class Server:
    """One process of a backend server."""

    number: int
    started: int
    is_alive: bool = True
    leaving_since: float | None = None
    calls: list = dataclasses.field(default_factory=list)

    @property
    def entry(self):
        """Registration entry, as nodes know it."""
        return python_types.SimpleNamespace(
            id=ids.WorkerId(f'e-{self.number}'),
            started=self.started,
            address=types.Address('10.9.0.1', self.number),
            service=SERVICE,
        )


@dataclasses.dataclass(eq=False)
class SimulatedCall:
    """What nodes use of a request, and what came of it."""

    parts: tuple
    node_number: int
    request_id: str
    is_bad: bool
    last_part: str = 'last'
    part_keys: tuple = ()
    is_trial: bool = False
    crash_check: object = None
    broken_at: float = float('-inf')
    has_head: bool = False
    sends: list = dataclasses.field(default_factory=list)
    outcome: str = ''

    def __post_init__(self):
        prompt_parts = tuple(
            messages.PromptPart(name, 100)
            for name in (*self.parts, self.last_part)
        )
        self.part_keys = crash_evidence.part_keys(SERVICE, prompt_parts)
        self.service = python_types.SimpleNamespace(name=SERVICE)
        self.admitted = python_types.SimpleNamespace(
            metadata=python_types.SimpleNamespace(prompt_parts=prompt_parts),
            route=python_types.SimpleNamespace(name='route'),
        )


class CrashSimulation:
    """Requests at the nodes of a fleet, and the servers they go to.

    Attributes
    ----------
    crashing_parts : set of str
        Parts under which each server crashes when its answer begins.
    crashed_at : list of float
        Times of the crashes under these.
    head_s : float
        Time from sending a request to its response head.
    """

    def __init__(self, fleet, server_count):
        self.fleet = fleet
        self.rng = fleet.rng
        self.servers = [Server(number, 1) for number in range(server_count)]
        self.crashing_parts = {BAD_PART}
        self.crashed_at = []
        self.calls = []
        self.fails_all = False
        self.head_s = HEAD_S
        self._tasks = set()

    def run_later(self, coroutine):
        """Run a coroutine beside the others."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def guard(self, number):
        """Return the guard of a node, which uses the simulated servers."""
        running = self.fleet.running_by_number.get(number)
        if running is None:
            return None
        found = running.node.state.part_guard
        found.connect = self._connect
        return found

    async def _connect(self, address, timeout_s):
        await asyncio.sleep(0.002)
        if self.servers[address.port].is_alive:
            return python_types.SimpleNamespace(abort=lambda: None)
        return http_client.ConnectionBroken('cannot connect: refused')

    # Requests

    async def send_requests(
        self, seconds, sound_per_s, bad_per_s, bad=None, bad_last=None
    ):
        """Send sound and bad requests to random nodes for some time.

        Parameters
        ----------
        bad : callable, optional
            Returns the parts of a bad request but the last one.
        bad_last : str, optional
            Last part of all bad requests.
        """
        end = clock.now() + seconds
        while clock.now() < end:
            for is_bad, rate in ((False, sound_per_s), (True, bad_per_s)):
                count = int(rate * TICK_S)
                count += self.rng.random() < rate * TICK_S - count
                for _ in range(count):
                    if is_bad:
                        self.send(True, bad and bad(), last_part=bad_last)
                    else:
                        self.send(False)
            await asyncio.sleep(TICK_S)

    def send(self, is_bad, parts=None, number=None, last_part=None):
        """Send one request; its parts and its node are random unless given.

        The last part of one in four is the same, of the others their own.
        """
        first = f'first{self.rng.randrange(FIRST_PARTS)}'
        own = f'own{self.rng.randrange(OWN_PARTS)}'
        call = SimulatedCall(
            parts or (first, BAD_PART if is_bad else own),
            self.rng.choice(sorted(self.fleet.running_by_number))
            if number is None
            else number,
            f'{len(self.calls):x}',
            is_bad,
            last_part
            or ('last' if self.rng.random() < 0.25 else f'{len(self.calls)}'),
        )
        self.calls.append(call)
        self.run_later(self._serve(call))
        return call

    async def _serve(self, call):
        guard = self.guard(call.node_number)
        if guard is None:
            return
        if not await guard.admit(call):
            call.outcome = 'held'
            return
        tried = set()
        while True:
            usable = [
                server
                for server in self.servers
                if server.is_alive and server not in tried
            ]
            if not usable or guard.held(call) is not None:
                call.outcome = 'held' if usable else 'no server'
                return
            server = self.rng.choice(usable)
            tried.add(server)
            call.sends.append(clock.now())
            if await self._run(call, server, guard):
                call.outcome = 'answered'
                return
            if len(call.sends) == MAX_SENDS or not await guard.may_repeat(
                call
            ):
                call.outcome = 'failed'
                return

    async def _run(self, call, server, guard):
        """Run a request at a server; return whether an answer began."""
        call.has_head = False
        server.calls.append((call, guard))
        head_s = min(self.head_s, FIRST_EVENT_S)
        await asyncio.sleep(head_s)
        call.has_head = self.head_s < FIRST_EVENT_S
        await asyncio.sleep(FIRST_EVENT_S - head_s)
        if not server.is_alive or (call, guard) not in server.calls:
            return False
        if self.fails_all or not self.crashing_parts.isdisjoint(
            (*call.parts, call.last_part)
        ):
            self.crashed_at.append(clock.now())
            self.crash(server)
            return False
        server.calls.remove((call, guard))
        guard.record_answer(call)
        return True

    # Servers

    def crash(self, server, broken=CLOSED, restarts=True):
        """End a server process; it is back under another start later."""
        server.is_alive = False
        self.break_connections(server, broken)
        if restarts:
            self.run_later(self._restart(server.number))

    def break_connections(self, server, broken=CLOSED):
        """Break the connections of all requests in progress at a server."""
        calls, server.calls = server.calls, []
        for call, guard in calls:
            guard.record_broken(call, server, broken, call.has_head)

    def break_each_connection(self):
        """Break a connection of each node to each server."""
        for number in self.fleet.running_by_number:
            for server in self.servers:
                call = SimulatedCall(('first0', 'own0'), number, 'x', False)
                self.guard(number).record_broken(call, server, CLOSED, False)

    async def _restart(self, number):
        await asyncio.sleep(RESTART_S)
        self.servers[number] = Server(number, self.servers[number].started + 1)

    # Results

    def bad_sends(self):
        """Return the time and the node of each send of a bad request."""
        return [
            (moment, call.node_number)
            for call in self.calls
            if call.is_bad
            for moment in call.sends
        ]

    def held_parts(self):
        """Return the held part keys by node."""
        return {
            number: set(running.node.state.part_guard.evidence.hold_by_parts)
            for number, running in self.fleet.running_by_number.items()
        }
