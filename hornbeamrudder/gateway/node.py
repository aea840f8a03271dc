"""Node process: wiring, background tasks and graceful shutdown."""

import asyncio
import random
import signal
from typing import Any, Coroutine, Iterable, Mapping

from . import admit
from . import client_gate
from . import client_limits
from . import clock
from ..core import errors
from ..core import types
from . import duties
from . import exchange
from . import forward
from . import held_parts
from . import http_server
from . import listener
from . import metrics
from . import moves
from . import node_state
from . import part_guard
from . import peers
from . import records
from . import registration
from . import retry_budget
from . import roll_outs
from . import server_registry
from . import settings_file
from . import store_health
from . import table_relay
from . import usage
from . import watch

# Long-poll times of the watches. A half-open connection is detected after this
# time, which must be shorter than the bound on requests to leaving backend
# servers.
SERVER_LONG_POLL_S = 1.8
NODE_LONG_POLL_S = 8.0
# Pause after a change of the registered nodes, as many start or stop at once.
NODE_PAUSE_S = 0.4
# Interval between checks that the configuration is current; counts against the
# bounds on applying a configuration and on revoked keys.
CONFIGURATION_POLL_S = 0.9
HOUSEKEEPING_INTERVAL_S = 0.1
# Interval between checks of the settings file for changes without SIGHUP.
SETTINGS_POLL_S = 1.0
# Share of a usage window after which its counts are also written early.
EARLY_USAGE_WRITE_SHARE = 0.5
USAGE_WRITE_TIMEOUT_S = 0.8
# Pause after a usage write, so that late counts are gathered.
USAGE_WRITE_PAUSE_S = 0.3
# Delay before failed usage writes are retried.
USAGE_WRITE_RETRY_S = 0.5
# A node is not ready while its configuration has not been confirmed for more
# than this share of the bound on revoked keys.
READY_SHARE = 0.6
# Time after the stop signal during which requests are still accepted: the
# balancer removes a node after two failed readiness checks.
STOP_ACCEPT_S = 2.6
# Share of a short grace period after which no streams are accepted, as they
# could not be completed.
STOP_STREAM_SHARE = 0.325
# Part of the grace period reserved for the last writes to the store.
STOP_RESERVE_S = 0.7
DRAIN_POLL_S = 0.05
# Time for which a connection of a stopping node may be idle, so that a request
# that is on its way is still answered.
STOP_IDLE_S = 1.0


class Node:
    """Node process on an entry host."""

    def __init__(
        self, settings: records.NodeSettings, platform: Any, log: Any
    ) -> None:
        self.settings = settings
        self._platform = platform
        self._log = log
        self._store = platform.Store(settings.store)
        self._cloud = cloud = (
            platform.CloudApi(settings.cloud) if settings.cloud else None
        )
        self._next_settings_poll_at = 0.0
        self._settings_file_stamp = settings_file.file_stamp(
            settings.boot_path
        )
        bounds = settings.bounds
        started = int(clock.wall() * 1e3)
        node_metrics = metrics.Metrics()
        node_peers = peers.Peers(settings.node)
        self.state = node_state.NodeState(
            settings=settings,
            started=started,
            log=log,
            metrics=node_metrics,
            servers=server_registry.ServerRegistry(
                settings.data_centre,
                self._on_server_leaving,
                lambda record: self.mover.returned(record),
            ),
            peers=node_peers,
            usage=usage.Counter(bounds.usage_window_s),
            retry_budget=retry_budget.RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            ),
            rng=random.Random(),
            part_guard=part_guard.PartGuard(
                settings.node, node_peers, log, node_metrics
            ),
        )
        self._store_health = store_health.StoreHealth(self.state.rng)
        self.forwarder = forward.Forwarder(self.state, platform.headers)
        self.mover = moves.Mover(self.forwarder, platform.move_request)
        gate = client_gate.ClientGate(
            self.state.held_limit, settings.max_fds, node_metrics, log
        )
        self.server = http_server.CallerServer(
            self.forwarder.handle,
            gate,
            client_limits.max_connections(gate.max_fds),
        )
        self._readiness_server, self._metrics_server = (
            http_server.CallerServer(
                handler,
                gate,
                client_limits.max_other_connections(gate.max_fds),
            )
            for handler in (self._serve_readiness, self._serve_metrics)
        )
        self.duties = duties.Duties(
            self.state,
            self._store,
            cloud,
            platform,
            self._may_contend_for_duties,
        )
        self._roll_outs = roll_outs.RollOutTables(
            self.state,
            self._store,
            platform,
            self.duties,
            self._store_health,
            self.mover,
        )
        self._server_table = watch.TableWatch(
            self._store,
            platform.SERVER_TABLE,
            SERVER_LONG_POLL_S,
            log,
            self._store_health,
            self._apply_server_rows,
        )
        self._servers = watch.ServerWatch(
            self.state.servers,
            platform.decode_server,
            self._store_health.is_unstable,
            log,
        )
        self._configuration_table = watch.TableWatch(
            self._store,
            platform.CONFIGURATION_TABLE,
            0.0,
            log,
            self._store_health,
            self._apply_configuration_rows,
            self._confirm_configuration,
            CONFIGURATION_POLL_S,
        )
        self._registration = registration.Registration(
            self.state, self._store, platform, self._store_health
        )
        self._held_parts = held_parts.HeldParts(
            self.state, self._store, platform, self._store_health
        )
        self.state.part_guard.claim_trial = self._held_parts.claim_trial
        self._node_table = watch.TableWatch(
            self._store,
            registration.TABLE,
            NODE_LONG_POLL_S,
            log,
            self._store_health,
            self._registration.apply_rows,
            pause_s=NODE_PAUSE_S,
        )
        self._relay = table_relay.TableRelay(
            settings.node,
            {
                table.table: table
                for table in (
                    self._configuration_table,
                    self._server_table,
                    self._node_table,
                    *self._roll_outs.tables(),
                )
            },
            self.state.peers.send_to,
            self.state.peers.hubs,
            lambda: self.state.peers.uses_hubs,
            self.state.peers.live_nodes,
            self._store_health,
        )
        self._exchange = exchange.ReportExchange(
            self.state,
            self._relay,
            lambda: self.duties.fencing_number,
            self.duties.record_holder_report,
        )
        self._configuration_table.on_polled = self._exchange.send_confirmations
        self._server_table.on_polled = self._confirm_servers
        self.state.peers.on_message = self._exchange.handle_message
        self.state.peers.on_other_datagram = self._relay.handle_datagram
        self._usage_written_at = 0.0
        self._gathered_writes = 0
        self._usage_write: asyncio.Task[None] | None = None
        self._stopped: asyncio.Event | None = None
        self._was_ready: bool | None = None

    async def run(self) -> None:
        """Serve until a stop signal, then drain."""
        loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self._stopped.set)
        loop.add_signal_handler(signal.SIGINT, self._stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self.settings
        listeners = [
            await listener.open_listener(address, server)
            for address, server in (
                (settings.front, self.server),
                (settings.readiness, self._readiness_server),
                (
                    types.Address(settings.ip, settings.metrics_port),
                    self._metrics_server,
                ),
            )
        ]
        await loop.create_datagram_endpoint(
            lambda: self.state.peers,
            local_addr=(settings.ip, settings.peer_port),
        )
        background = [loop.create_task(job) for job in self.background_jobs()]
        for task in background:
            task.add_done_callback(self._on_task_done)
        self._log.info(
            'node is started',
            settings=settings.boot_path,
            front=str(settings.front),
            store=str(settings.store),
        )
        await self._stopped.wait()
        await self._drain(listeners[0])
        for opened in listeners:
            opened.close()
        self._log.info('node is stopped', open=self.server.busy)

    def background_jobs(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs beside the requests, as coroutines without end."""
        return (
            self._configuration_table.run(),
            self._server_table.run(),
            self._node_table.run(),
            self.duties.run(),
            self._held_parts.run(),
            self._registration.run(lambda: bool(self.duties.fencing_number)),
            self._run_housekeeping(),
            *self._roll_outs.jobs(),
        )

    def _on_task_done(self, task: 'asyncio.Task[None]') -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                'background task failed', exc_info=task.exception()
            )
            # A node must not serve without all of its background tasks.
            if self._stopped is not None:
                self._stopped.set()

    async def _drain(self, front: asyncio.Server) -> None:
        """Fail the readiness checks and finish accepted requests."""
        state = self.state
        stop_started_at = clock.now()
        deadline = (
            stop_started_at + self.settings.bounds.grace_s - STOP_RESERVE_S
        )
        state.stopping = True
        state.stop_times = admit.StopTimes(
            last_stream_at=stop_started_at
            + min(
                STOP_ACCEPT_S, STOP_STREAM_SHARE * self.settings.bounds.grace_s
            ),
            ends_at=deadline,
        )
        self.server.stopping = True
        self._log.info('node is stopping', requests=len(self.forwarder.calls))
        while clock.now() < deadline - STOP_IDLE_S and (
            clock.now() < stop_started_at + STOP_ACCEPT_S
            or self.forwarder.calls
        ):
            await asyncio.sleep(DRAIN_POLL_S)
            if clock.now() > stop_started_at + STOP_ACCEPT_S:
                self.server.close_idle(STOP_IDLE_S)
        await listener.close_listener(front, self.server)
        # Connections that were just accepted are registered by the loop.
        await asyncio.sleep(DRAIN_POLL_S)
        while clock.now() < deadline and self.server.connections:
            self.server.close_idle(STOP_IDLE_S)
            await asyncio.sleep(DRAIN_POLL_S)
        self.forwarder.end_all()
        self.server.refuse_incomplete()
        await self.leave()

    async def leave(self) -> None:
        """Make the last writes to the store, when all requests have ended."""
        gathered = self._unsaved_gathered(float('inf'))
        await self._registration.deregister(
            (
                *self._own_usage_rows(self._present_usage()),
                *self._gathered_puts(gathered),
            )
        )

    def _may_contend_for_duties(self) -> bool:
        return not self._store_health.is_failing and (
            self._relay.follows_store()
            or not self._configuration_table.is_relayed()
        )

    # Configuration

    def _apply_configuration_rows(
        self, rows: tuple[Any, ...], snapshot: bool
    ) -> None:
        self._roll_outs.apply_orders(rows, snapshot)
        for row in rows:
            if row.key != self._platform.CONFIGURATION_KEY or row.removed:
                continue
            decoded = self._platform.decode_configuration(row.value)
            if isinstance(decoded, errors.Failure):
                self._log.error(
                    'configuration is malformed', failure=str(decoded)
                )
                continue
            self._apply_configuration(decoded)

    def _apply_configuration(
        self, configuration: records.Configuration
    ) -> None:
        current = self.state.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.state.configuration = configuration
        limits = configuration.client_limits()
        for server in (
            self.server,
            self._readiness_server,
            self._metrics_server,
        ):
            server.limits = limits
        self.state.create_buckets()
        self._log.info(
            'configuration is applied',
            version=configuration.version,
            before=current.version if current else None,
            routes=sum(map(len, configuration.routes_by_host.values())),
            accounts=len(configuration.accounts_by_id),
        )

    def _confirm_configuration(self, sent_at: float) -> None:
        if self.state.configuration is not None:
            self.state.confirmed_at = max(self.state.confirmed_at, sent_at)

    def _reload(self) -> None:
        """Reload the settings that can change without a restart."""
        loaded = self._platform.load_settings(self.settings.boot_path)
        if isinstance(loaded, errors.Failure):
            self._log.error('settings are malformed', failure=str(loaded))
            return
        change = settings_file.compare(self.settings, loaded)
        self._log.info(
            'settings are read again',
            changed=change.changed,
            after_restart=change.after_restart,
        )
        applied = self.settings = self.state.settings = change.settings
        self.state.retry_budget.set_budget(
            applied.bounds.retry_ratio,
            applied.bounds.retry_window_s,
            applied.bounds.retry_slack,
        )
        self._store.caller.set_address(applied.store)
        if self._cloud is not None and applied.cloud is not None:
            self._cloud.caller.set_address(applied.cloud)

    def _poll_settings_file(self) -> None:
        """Reload the settings if the file has changed without SIGHUP."""
        now = clock.now()
        if not self.settings.boot_path or now < self._next_settings_poll_at:
            return
        self._next_settings_poll_at = now + SETTINGS_POLL_S
        file_stamp = settings_file.file_stamp(self.settings.boot_path)
        if file_stamp != self._settings_file_stamp:
            self._settings_file_stamp = file_stamp
            self._reload()

    # Backend servers

    def _confirm_servers(self) -> None:
        if self._server_table.stands_in:
            self._exchange.send_confirmations()

    def _apply_server_rows(
        self, rows: tuple[Any, ...], snapshot: bool
    ) -> None:
        self._servers.apply_rows(rows, snapshot)
        self.forwarder.schedule_dispatch_all()

    def _on_server_leaving(self, record: server_registry.ServerRecord) -> None:
        self._log.info(
            'backend server is leaving',
            server=record.entry.id,
            leaves_in_s=record.entry.leaves_in_s,
            running=record.running,
        )
        self.mover.leaving(record)

    # Housekeeping

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._servers.drop_missing(
                self._store_health.recovered_at,
                self._store_health.is_failing,
            )
            self._poll_settings_file()
            self.state.rollouts.step()
            self.state.arrivals.publish(self.state.sums, clock.now())
            if self._exchange.step():
                self.forwarder.schedule_dispatch_all()
            self._flush_usage()

    def _flush_usage(self) -> None:
        if self._usage_write is not None and not self._usage_write.done():
            return
        if self._store_health.is_failing:
            return
        state = self.state
        window_s = self.settings.bounds.usage_window_s
        cluster_time = state.peers.cluster_time()
        present = state.usage.window_at(cluster_time)
        own = self._present_usage()
        gathered: list[usage.GatheredRow] = []
        if state.peers.uses_hubs:
            # An ended window is left to the hubs at first.
            overdue = (cluster_time - usage.OWN_WRITE_DELAY_S) / window_s
            if self._store_health.is_unstable():
                overdue = float('-inf')
            own = {
                window: row
                for window, row in own.items()
                if window + 1 < overdue
            }
            gathered = self._unsaved_gathered(
                (cluster_time - usage.GATHER_DELAY_S) // window_s
            )
        elif not any(window < present for window in own) and (
            clock.now() - self._usage_written_at
            <= window_s * EARLY_USAGE_WRITE_SHARE
        ):
            return
        if own or gathered:
            self._usage_write = asyncio.get_running_loop().create_task(
                self._write_usage(own, gathered)
            )

    def _present_usage(self) -> dict[int, dict[str, object]]:
        """Return the rows of this node's counts that are not stored."""
        counter = self.state.usage
        return counter.changed(
            counter.window_at(self.state.peers.cluster_time())
        )

    def _unsaved_gathered(
        self, ended_before: float
    ) -> list[usage.GatheredRow]:
        """Return the counts of other nodes that the first hub has to write."""
        if self.state.peers.hubs()[:1] != [self.settings.node]:
            return []
        return self._exchange.gatherer.unsaved(ended_before)

    def _own_usage_rows(
        self, rows_by_window: Mapping[int, Mapping[str, object]]
    ) -> list[Any]:
        return [
            self._platform.Put(
                usage.TABLE,
                usage.row_key(window, self.settings.node, self.state.started),
                row,
            )
            for window, row in rows_by_window.items()
        ]

    def _gathered_puts(self, rows: Iterable[usage.GatheredRow]) -> list[Any]:
        self._gathered_writes += 1
        return [
            self._platform.Put(
                usage.TABLE,
                usage.gathered_key(
                    row.window,
                    self.settings.node,
                    self.state.started,
                    self._gathered_writes,
                    part,
                ),
                row.value,
            )
            for part, row in enumerate(rows)
        ]

    async def _write_usage(
        self,
        own: Mapping[int, Mapping[str, object]],
        gathered: list[usage.GatheredRow],
    ) -> None:
        state = self.state
        self._usage_written_at = clock.now()
        written = await self._store.write(
            (*self._own_usage_rows(own), *self._gathered_puts(gathered)),
            timeout_s=USAGE_WRITE_TIMEOUT_S,
        )
        if isinstance(written, errors.Failure):
            self._log.info('usage is not written', failure=str(written))
            await asyncio.sleep(USAGE_WRITE_RETRY_S)
            return
        state.usage.mark_written(own)
        self._exchange.gatherer.mark_stored(gathered)
        state.usage.mark_stored(
            self._exchange.gatherer.stored(
                usage.Source(self.settings.node, state.started)
            )
        )
        if own:
            state.usage.discard_before(min(own) - usage.LOOKBACK_WINDOWS)
        await asyncio.sleep(USAGE_WRITE_PAUSE_S)

    # Readiness and metrics

    def is_ready(self) -> bool:
        """Return whether the balancer should send clients to this node."""
        state = self.state
        return (
            not state.stopping
            and state.configuration is not None
            and bool(state.servers.by_id)
            and state.confirmed_age()
            < READY_SHARE * self.settings.bounds.revoke_s
        )

    async def _serve_readiness(
        self,
        request: http_server.CallerRequest,
        reply: http_server.ResponseWriter,
    ) -> None:
        ready = self.is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            self._log.info(
                'readiness has changed',
                ready=ready,
                stopping=self.state.stopping,
                configuration_age_s=round(self.state.confirmed_age(), 2),
            )
        reply.send(200 if ready else 503, (), b'')

    async def _serve_metrics(
        self,
        request: http_server.CallerRequest,
        reply: http_server.ResponseWriter,
    ) -> None:
        now = clock.now()
        slowness = self.state.metrics.server_slowness
        slowness.values.clear()
        for record in self.state.servers.by_id.values():
            slowness.set(
                {
                    'server': record.entry.id,
                    'service': record.entry.service,
                    'data_centre': record.entry.data_centre,
                },
                record.slowness(now),
            )
        reply.send(
            200,
            ((b'Content-Type', b'text/plain; version=0.0.4'),),
            self.state.metrics.render(),
        )
