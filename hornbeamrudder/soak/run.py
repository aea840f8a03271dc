"""Plays one plan: starts the programs, injects faults, notes what is seen."""

import asyncio
import pathlib
import signal
from typing import Awaitable

from . import callers
from . import deployment
from . import link
from . import observed
from . import plan
from ..standins import platform_server

CALLERS = 10
# Time after the last fault until all nodes must serve again.
RECOVERY_S = 12.0
# A process that was ended is started again after this, like by a supervisor.
RESTART_S = 0.2
STOP_TIMEOUT_S = 10.0
DELAY_S = 0.4
CLOCK_STEP_S = 3.0
FAULTY_ANSWERS = 12
_BEHAVIOURS = [
    platform_server.Behaviour.ERROR,
    platform_server.Behaviour.FULL,
    platform_server.Behaviour.RESET,
    platform_server.Behaviour.HANG,
    platform_server.Behaviour.CUT,
    platform_server.Behaviour.UNSEALED,
    platform_server.Behaviour.GARBLED,
    platform_server.Behaviour.EXTRA,
]


class Soak:
    """One run of one plan."""

    def __init__(self, drawn: plan.Plan, folder: pathlib.Path) -> None:
        self.plan = drawn
        self.programs = deployment.Deployment(folder, drawn.nodes)
        self.callers = callers.Callers(self.programs, drawn.seed)
        self.spans: list[observed.Span] = []
        self.leavings: list[observed.Leaving] = []
        self.revoked_at: list[tuple[str, float]] = []
        self.exits: list[str] = []
        # Signals and planned restarts of one node come one after another.
        self._lock_by_node: dict[int, asyncio.Lock] = {}

    async def play(self) -> observed.Observed:
        """Play the plan; returns what was seen."""
        try:
            await self.programs.start()
            self.callers.started_at = asyncio.get_running_loop().time()
            calling = asyncio.ensure_future(self.callers.run(CALLERS))
            await asyncio.gather(*map(self._inject, self.plan.faults))
            served = await self._recover()
            self.callers.stopped = True
            await asyncio.wait([calling], timeout=10.0)
            return self._observed(served)
        finally:
            self.programs.stop()

    async def _inject(self, fault: plan.Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self.callers.now()))
        node = self.programs.nodes[fault.target % len(self.programs.nodes)]
        begun = self.callers.now()
        concerns = await self._apply(fault, node)
        self.spans.append(
            observed.Span(
                fault.kind.value, begun, self.callers.now(), concerns
            )
        )

    async def _apply(
        self, fault: plan.Fault, node: deployment.Node
    ) -> int | None:
        """Apply a fault to its end; returns the node that it concerns."""
        programs = self.programs
        kind = plan.Kind
        match fault.kind:
            case kind.KILL:
                await self._kill([node], fault.lasts_s)
                return node.number
            case kind.KILL_ALL:
                await self._kill(programs.nodes, fault.lasts_s)
            case kind.TERMINATE:
                await self._terminate(node)
                return node.number
            case kind.PAUSE:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.lasts_s)
                node.signal(signal.SIGCONT)
                return node.number
            case kind.RELOAD:
                if node.survives_hangup():
                    node.signal(signal.SIGHUP)
                return node.number
            case kind.CLOCK_STEP:
                programs.step_clock(node, fault.strength * CLOCK_STEP_S)
                await asyncio.sleep(fault.lasts_s)
                programs.step_clock(node, 0.0)
                return node.number
            case kind.STORE_FORGETS:
                programs.store.drop_history()
            case kind.STORE_DOWN | kind.STORE_SILENT | kind.STORE_LOSES:
                await self._break_store(fault)
            case kind.STORE_DELAYED | kind.STORE_ONE_WAY | kind.STORE_CUT:
                await self._break_link(fault, node.store_link)
                return node.number
            case kind.CLOUD_SILENT:
                await self._break_link(fault, node.cloud_link)
                return node.number
            case kind.CHANGE:
                programs.configure()
            case kind.REVOKE:
                await self._revoke(fault)
            case _:
                await self._break_backend(fault)
        return None

    async def _kill(self, nodes: list[deployment.Node], down_s: float) -> None:
        for node in nodes:
            node.signal(signal.SIGKILL)
        await asyncio.sleep(down_s)
        for node in nodes:
            if node.process is not None and not node.is_running:
                self.programs.start_node(node)

    async def _terminate(self, node: deployment.Node) -> None:
        lock = self._lock_by_node.setdefault(node.number, asyncio.Lock())
        async with lock:
            node.signal(signal.SIGTERM)
            until = self.callers.now() + STOP_TIMEOUT_S
            while node.is_running and self.callers.now() < until:
                await asyncio.sleep(0.05)
            if node.is_running:
                node.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            self.programs.start_node(node)

    async def _break_store(self, fault: plan.Fault) -> None:
        faults = self.programs.store.faults
        match fault.kind:
            case plan.Kind.STORE_DOWN:
                faults.error_status = 503
            case plan.Kind.STORE_SILENT:
                faults.unresponsive = True
            case _:
                faults.drops_write_responses = True
        await asyncio.sleep(fault.lasts_s)
        match fault.kind:
            case plan.Kind.STORE_DOWN:
                faults.error_status = None
            case plan.Kind.STORE_SILENT:
                faults.unresponsive = False
            case _:
                faults.drops_write_responses = False

    async def _break_link(self, fault: plan.Fault, broken: link.Link) -> None:
        match fault.kind:
            case plan.Kind.STORE_DELAYED | plan.Kind.SERVER_DELAYED:
                broken.faults.delay_s = DELAY_S * abs(fault.strength)
            case plan.Kind.STORE_ONE_WAY:
                broken.faults.one_way = True
            case plan.Kind.STORE_CUT:
                broken.faults.refuses = True
                broken.reset()
            case _:
                broken.set_silent()
        await asyncio.sleep(fault.lasts_s)
        broken.heal()

    async def _revoke(self, fault: plan.Fault) -> None:
        """Add a key, let callers use it, and take it away."""
        programs = self.programs
        key = f'key-north-{programs.version}-{fault.target}'
        programs.keys.append(key)
        programs.used_keys.append(key)
        programs.configure()
        await asyncio.sleep(2.0 + abs(fault.strength))
        programs.keys.remove(key)
        programs.configure()
        self.revoked_at.append((key, self.callers.now()))
        # Callers go on to use it.
        await asyncio.sleep(8.0)
        programs.used_keys.remove(key)

    async def _break_backend(self, fault: plan.Fault) -> None:
        programs = self.programs
        backend = programs.backends[fault.target % len(programs.backends)]
        service = backend.server.service
        match fault.kind:
            case plan.Kind.SERVER_RESET:
                backend.link.reset()
            case plan.Kind.SERVER_SILENT | plan.Kind.SERVER_DELAYED:
                await self._break_link(fault, backend.link)
            case plan.Kind.SERVER_FAULTY:
                first = fault.target % len(_BEHAVIOURS)
                backend.server.behaviours.extend(
                    (_BEHAVIOURS[first:] + _BEHAVIOURS) * 2
                )
                del backend.server.behaviours[FAULTY_ANSWERS:]
                await asyncio.sleep(fault.lasts_s)
                backend.server.behaviours.clear()
            case plan.Kind.SERVER_CRASH:
                programs.end_backend(backend)
                await asyncio.sleep(fault.lasts_s)
                await programs.add_backend(service)
            case _:
                await programs.add_backend(service)
                programs.register(backend, state='draining')
                if backend in programs.backends:
                    programs.backends.remove(backend)
                self.leavings.append(
                    observed.Leaving(backend.server.id, self.callers.now())
                )
                await asyncio.sleep(3.5)
                programs.end_backend(backend)

    async def _recover(self) -> list[tuple[int, str, bool]]:
        """Check that each node serves each route again in time."""
        for node in self.programs.nodes:
            node.signal(signal.SIGCONT)
            if node.process is not None and not node.is_running:
                self.exits.append(
                    f'node {node.number} ended by itself with'
                    f' {node.process.returncode}'
                )
                self.programs.start_node(node)
        missing = await self.programs.wait_ready(RECOVERY_S)
        served = [
            (node.number, 'readiness', node not in missing)
            for node in self.programs.nodes
        ]
        checks: list[Awaitable[tuple[int, str, bool]]] = [
            self._serves(node, route)
            for node in self.programs.nodes
            for route in callers.ROUTES
        ]
        return served + list(await asyncio.gather(*checks))

    async def _serves(
        self, node: deployment.Node, route: str
    ) -> tuple[int, str, bool]:
        for _ in range(5):
            try:
                connection = await asyncio.open_connection(
                    node.ip, self.programs.front_port
                )
            except OSError:
                await asyncio.sleep(0.3)
                continue
            outcome = await self.callers.send(node, connection, route)
            connection[1].close()
            if outcome.status == 200 and outcome.whole:
                return node.number, route, True
            await asyncio.sleep(0.3)
        return node.number, route, False

    def _observed(
        self, served: list[tuple[int, str, bool]]
    ) -> observed.Observed:
        begun = self.callers.started_at
        return observed.Observed(
            outcomes=tuple(self.callers.outcomes),
            runs=tuple(
                observed.Run(
                    run.request_id,
                    backend.server.id,
                    run.received_at - begun,
                    run.executed,
                    run.headers.get('x-hornbeamrudder-tenant', ''),
                    run.headers.get('x-hornbeamrudder-expect-instance', ''),
                    'authorization' in run.headers,
                )
                for backend in self.programs.all_backends
                for run in backend.server.requests
            ),
            duty_calls=tuple(
                observed.DutyCall(
                    call.path,
                    call.holder,
                    call.fencing_token,
                    call.body,
                    call.received_at - begun,
                )
                for call in self.programs.cloud.calls
            ),
            spans=tuple(self.spans),
            leavings=tuple(self.leavings),
            revoked_at=tuple(self.revoked_at),
            served_after=tuple(served),
            exits=tuple(self.exits),
        )
