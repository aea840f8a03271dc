"""Executes a fault plan and records the observed behaviour."""

import asyncio
import pathlib
import signal
from typing import Awaitable

from . import callers
from . import deployment
from . import fault_proxy
from . import observed
from . import plan
from . import roll_out
from ..standins import platform_server

CALLER_COUNT = 10
# Limit for all nodes to serve again after the last fault.
RECOVERY_TIMEOUT_S = 12.0
# Delay before a stopped process is restarted, as a supervisor would.
RESTART_DELAY_S = 0.2
STOP_TIMEOUT_S = 10.0
STOP_POLL_INTERVAL_S = 0.05
CALLERS_STOP_TIMEOUT_S = 10.0
# Minimum time from adding a key to its revocation.
KEY_VALID_S = 2.0
# Time for which callers use a key after its revocation; exceeds
# `checks.REVOKE_LIMIT_S`.
REVOKED_KEY_USE_S = 8.0
# Time from draining a backend server to its stop; exceeds
# `checks.DRAIN_LIMIT_S`.
DRAIN_TIME_S = 3.5
ROUTE_ATTEMPTS = 5
ROUTE_RETRY_DELAY_S = 0.3
MAX_DELAY_S = 0.4
MAX_CLOCK_STEP_S = 3.0
MAX_FAULTY_RESPONSES = 12
# A call of a node to an engine, not the request of a caller.
MOVE_TARGET = '/kv-move'
ROLLED_OUT = (deployment.PLAIN_SERVICE, deployment.ENGINE_SERVICE)
FAULTY_BEHAVIOURS = [
    platform_server.Behaviour.ERROR,
    platform_server.Behaviour.FULL,
    platform_server.Behaviour.RESET,
    platform_server.Behaviour.HANG,
    platform_server.Behaviour.CUT,
    platform_server.Behaviour.UNSEALED,
    platform_server.Behaviour.GARBLED,
    platform_server.Behaviour.EXTRA,
]


class SoakRun:
    """Execution of one fault plan."""

    def __init__(self, fault_plan: plan.Plan, folder: pathlib.Path) -> None:
        self.plan = fault_plan
        self.system = deployment.Deployment(folder, fault_plan.nodes)
        self.callers = callers.Callers(self.system, fault_plan.seed)
        self.spans: list[observed.Span] = []
        self.roll_outs: list[observed.RollOut] = []
        self.leavings: list[observed.Leaving] = []
        self.revoked_at: list[tuple[str, float]] = []
        self.exits: list[str] = []
        # Serializes the planned restarts of a node.
        self._lock_by_node: dict[int, asyncio.Lock] = {}

    async def execute(self) -> observed.Observed:
        """Execute the plan and return the observations."""
        try:
            await self.system.start()
            self.callers.started_at = asyncio.get_running_loop().time()
            callers_task = asyncio.ensure_future(
                self.callers.run(CALLER_COUNT)
            )
            await asyncio.gather(*map(self._inject, self.plan.faults))
            served = await self._check_recovery()
            self.callers.stopped = True
            await asyncio.wait([callers_task], timeout=CALLERS_STOP_TIMEOUT_S)
            return self._collect(served)
        finally:
            self.system.stop()

    async def _inject(self, fault: plan.Fault) -> None:
        await asyncio.sleep(max(0.0, fault.start_s - self.callers.now()))
        if fault.kind is plan.FaultKind.ROLL_OUT:
            # No fault, which would excuse others.
            await self._roll_out(fault)
            return
        node = self.system.nodes[fault.target % len(self.system.nodes)]
        started_at = self.callers.now()
        affected_node = await self._apply(fault, node)
        self.spans.append(
            observed.Span(
                fault.kind.value, started_at, self.callers.now(), affected_node
            )
        )

    async def _apply(
        self, fault: plan.Fault, node: deployment.Node
    ) -> int | None:
        """Apply a fault and clear it.

        Returns
        -------
        int or None
            Number of the affected node; None if not a single node.
        """
        system = self.system
        kind = plan.FaultKind
        match fault.kind:
            case kind.KILL:
                await self.kill_and_restart([node], fault.duration_s)
                return node.number
            case kind.KILL_ALL:
                await self.kill_and_restart(system.nodes, fault.duration_s)
            case kind.TERMINATE:
                await self._terminate_and_restart(node)
                return node.number
            case kind.PAUSE:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                node.signal(signal.SIGCONT)
                return node.number
            case kind.RELOAD:
                if node.handles_sighup():
                    node.signal(signal.SIGHUP)
                return node.number
            case kind.CLOCK_STEP:
                system.set_clock_offset(
                    node, fault.magnitude * MAX_CLOCK_STEP_S
                )
                await asyncio.sleep(fault.duration_s)
                system.set_clock_offset(node, 0.0)
                return node.number
            case kind.STORE_FORGETS:
                system.store.drop_history()
            case kind.STORE_DOWN | kind.STORE_SILENT | kind.STORE_LOSES:
                await self._inject_store_fault(fault)
            case kind.STORE_DELAYED | kind.STORE_ONE_WAY | kind.STORE_CUT:
                await self._inject_proxy_fault(fault, node.store_proxy)
                return node.number
            case kind.CLOUD_SILENT:
                await self._inject_proxy_fault(fault, node.cloud_proxy)
                return node.number
            case kind.CHANGE:
                system.publish_configuration()
            case kind.REVOKE:
                await self._add_and_revoke_key(fault)
            case _:
                await self._inject_backend_fault(fault)
        return None

    async def _roll_out(self, fault: plan.Fault) -> None:
        """Move a service to another version, which may be bad."""
        service = ROLLED_OUT[fault.target % len(ROLLED_OUT)]
        order = roll_out.Order(
            service, 'v2', fault.duration_s, fault.magnitude < 0
        )
        started_at = self.callers.now()
        run = roll_out.RollOutRun(self.system, order, deployment.FIRST_VERSION)
        await run.run()
        self.roll_outs.append(
            observed.RollOut(
                service,
                order.is_bad,
                started_at,
                started_at + fault.duration_s,
                self.callers.now(),
                frozenset(
                    backend.server.id
                    for backend in self.system.all_backends
                    if (backend.server.service, backend.version)
                    == (service, order.target)
                ),
                tuple(
                    (row['state'], row['phase'], row['number'])
                    for row in run.states()
                ),
            )
        )

    async def kill_and_restart(
        self, nodes: list[deployment.Node], down_s: float
    ) -> None:
        """Kill nodes, and start them again once their processes are gone."""
        killed = [(node, node.process) for node in nodes]
        for node in nodes:
            node.signal(signal.SIGKILL)
        await asyncio.sleep(down_s)
        for node, process in killed:
            # On a stalled machine a process ends long after its signal.
            while process is not None and process.poll() is None:
                await asyncio.sleep(STOP_POLL_INTERVAL_S)
            if node.process is not None and not node.is_running:
                self.system.start_node(node)

    async def _terminate_and_restart(self, node: deployment.Node) -> None:
        lock = self._lock_by_node.setdefault(node.number, asyncio.Lock())
        async with lock:
            node.signal(signal.SIGTERM)
            until = self.callers.now() + STOP_TIMEOUT_S
            while node.is_running and self.callers.now() < until:
                await asyncio.sleep(STOP_POLL_INTERVAL_S)
            if node.is_running:
                await self.kill_and_restart([node], RESTART_DELAY_S)
                return
            await asyncio.sleep(RESTART_DELAY_S)
            self.system.start_node(node)

    async def _inject_store_fault(self, fault: plan.Fault) -> None:
        faults = self.system.store.faults
        match fault.kind:
            case plan.FaultKind.STORE_DOWN:
                faults.error_status = 503
            case plan.FaultKind.STORE_SILENT:
                faults.unresponsive = True
            case _:
                faults.drops_write_responses = True
        await asyncio.sleep(fault.duration_s)
        match fault.kind:
            case plan.FaultKind.STORE_DOWN:
                faults.error_status = None
            case plan.FaultKind.STORE_SILENT:
                faults.unresponsive = False
            case _:
                faults.drops_write_responses = False

    async def _inject_proxy_fault(
        self, fault: plan.Fault, proxy: fault_proxy.FaultProxy
    ) -> None:
        match fault.kind:
            case plan.FaultKind.STORE_DELAYED | plan.FaultKind.SERVER_DELAYED:
                proxy.faults.delay_s = MAX_DELAY_S * abs(fault.magnitude)
            case plan.FaultKind.STORE_ONE_WAY:
                proxy.faults.drops_responses = True
            case plan.FaultKind.STORE_CUT:
                proxy.faults.resets_new_connections = True
                proxy.reset_connections()
            case _:
                proxy.start_blackhole()
        await asyncio.sleep(fault.duration_s)
        proxy.clear_faults()

    async def _add_and_revoke_key(self, fault: plan.Fault) -> None:
        """Add a key and revoke it; callers use it before and after."""
        system = self.system
        key = f'key-north-{system.version}-{fault.target}'
        system.valid_keys.append(key)
        system.client_keys.append(key)
        system.publish_configuration()
        await asyncio.sleep(KEY_VALID_S + abs(fault.magnitude))
        system.valid_keys.remove(key)
        system.publish_configuration()
        self.revoked_at.append((key, self.callers.now()))
        await asyncio.sleep(REVOKED_KEY_USE_S)
        system.client_keys.remove(key)

    async def _inject_backend_fault(self, fault: plan.Fault) -> None:
        system = self.system
        backend = system.backends[fault.target % len(system.backends)]
        match fault.kind:
            case plan.FaultKind.SERVER_RESET:
                backend.proxy.reset_connections()
            case plan.FaultKind.SERVER_SILENT | plan.FaultKind.SERVER_DELAYED:
                await self._inject_proxy_fault(fault, backend.proxy)
            case plan.FaultKind.SERVER_FAULTY:
                first = fault.target % len(FAULTY_BEHAVIOURS)
                usual = backend.server.behaviours
                faulty = (FAULTY_BEHAVIOURS[first:] + FAULTY_BEHAVIOURS) * 2
                backend.server.behaviours = [
                    *faulty[:MAX_FAULTY_RESPONSES],
                    *usual,
                ]
                await asyncio.sleep(fault.duration_s)
                backend.server.behaviours = usual
            case plan.FaultKind.SERVER_CRASH:
                system.stop_backend(backend)
                await asyncio.sleep(fault.duration_s)
                await system.replace_backend(backend)
            case _:
                await system.replace_backend(backend)
                system.register(backend, state='draining')
                if backend in system.backends:
                    system.backends.remove(backend)
                self.leavings.append(
                    observed.Leaving(backend.server.id, self.callers.now())
                )
                await asyncio.sleep(DRAIN_TIME_S)
                system.stop_backend(backend)

    async def _check_recovery(self) -> list[tuple[int, str, bool]]:
        """Check that each node serves each route within the time limit."""
        for node in self.system.nodes:
            node.signal(signal.SIGCONT)
            if node.process is not None and not node.is_running:
                self.exits.append(
                    f'node {node.number} exited unexpectedly with'
                    f' code {node.process.returncode}'
                )
                self.system.start_node(node)
        not_ready = await self.system.wait_until_ready(RECOVERY_TIMEOUT_S)
        served = [
            (node.number, 'readiness', node not in not_ready)
            for node in self.system.nodes
        ]
        route_checks: list[Awaitable[tuple[int, str, bool]]] = [
            self._check_route(node, route)
            for node in self.system.nodes
            for route in callers.ROUTES
        ]
        return served + list(await asyncio.gather(*route_checks))

    async def _check_route(
        self, node: deployment.Node, route: str
    ) -> tuple[int, str, bool]:
        for _ in range(ROUTE_ATTEMPTS):
            try:
                connection = await asyncio.open_connection(
                    node.ip, self.system.front_port
                )
            except OSError:
                await asyncio.sleep(ROUTE_RETRY_DELAY_S)
                continue
            outcome = await self.callers.send(node, connection, route)
            connection[1].close()
            if outcome.status == 200 and outcome.whole:
                return node.number, route, True
            await asyncio.sleep(ROUTE_RETRY_DELAY_S)
        return node.number, route, False

    def _collect(
        self, served: list[tuple[int, str, bool]]
    ) -> observed.Observed:
        run_started_at = self.callers.started_at
        return observed.Observed(
            outcomes=tuple(self.callers.outcomes),
            runs=tuple(
                observed.Run(
                    run.request_id,
                    backend.server.id,
                    run.received_at - run_started_at,
                    run.executed,
                    run.headers.get('x-hornbeamrudder-tenant', ''),
                    run.headers.get('x-hornbeamrudder-expect-instance', ''),
                    'authorization' in run.headers,
                )
                for backend in self.system.all_backends
                for run in backend.server.requests
                if run.target != MOVE_TARGET
            ),
            duty_calls=tuple(
                observed.DutyCall(
                    call.path,
                    call.holder,
                    call.fencing_token,
                    call.body,
                    call.received_at - run_started_at,
                )
                for call in self.system.cloud.calls
            ),
            spans=tuple(self.spans),
            leavings=tuple(self.leavings),
            revoked_at=tuple(self.revoked_at),
            served_after=tuple(served),
            exits=tuple(self.exits),
            roll_outs=tuple(self.roll_outs),
        )
