"""A node: starts its parts, keeps them going, and stops in good order."""

import asyncio
import random
import signal
from typing import Any

from . import clock
from ..core import errors
from . import duties
from . import exchange
from . import forward
from . import http_server
from . import measures
from . import moves
from . import node_state
from . import peers
from . import records
from . import registration
from . import retry_budget
from . import server_registry
from . import settings_file
from . import table_relay
from . import usage
from . import watch

# Time for which the store keeps a feed call open while nothing changes. A
# feed on a connection that has gone silent is noticed after this time, which
# must stay below the bound on requests to leaving backend servers.
SERVER_FEED_WAIT_S = 1.8
NODE_FEED_WAIT_S = 8.0
# Interval at which the configuration is confirmed to be current; it counts
# against the bounds on applying it and on revoked keys.
CONFIGURATION_POLL_S = 0.9
HOUSEKEEPING_S = 0.1
# How often the settings file is looked at for changes without a signal.
SETTINGS_LOOK_S = 1.0
# Part of a usage window after which its counts are also written early.
EARLY_WRITE_SHARE = 0.5
# A node is not ready while its configuration is older than this share of
# the bound on revoked keys.
READY_SHARE = 0.6
# Time after the stop signal for which requests are still taken: the balancer
# needs two missed readiness checks.
STOP_ACCEPT_S = 2.6
# Time kept at the end of the grace time for closing down.
STOP_RESERVE_S = 0.7
LISTEN_BACKLOG = 512


class Node:
    """One process of the system on an entry host."""

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
        self._settings_look_at = 0.0
        self._settings_stamp = settings_file.stamp(settings.boot_path)
        bounds = settings.bounds
        started = int(clock.wall() * 1e3)
        self.state = node_state.NodeState(
            settings=settings,
            started=started,
            log=log,
            measures=measures.Measures(),
            servers=server_registry.ServerRegistry(
                settings.data_centre, self._server_leaving
            ),
            peers=peers.Peers(settings.node),
            usage=usage.Counter(bounds.usage_window_s),
            retry_budget=retry_budget.RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
            ),
            rng=random.Random(),
        )
        self.forwarder = forward.Forwarder(self.state, platform.headers)
        self.mover = moves.Mover(self.forwarder, platform.move_run)
        self.server = http_server.CallerServer(self.forwarder.handle)
        self.duties = duties.Duties(self.state, self._store, cloud, platform)
        self._server_table = watch.TableWatch(
            self._store,
            platform.SERVER_TABLE,
            SERVER_FEED_WAIT_S,
            log,
            self._take_servers,
        )
        self._servers = watch.ServerWatch(
            self.state.servers,
            platform.decode_server,
            self._server_table.unstable,
            log,
        )
        self._configuration_table = watch.TableWatch(
            self._store,
            platform.CONFIGURATION_TABLE,
            0.0,
            log,
            self._take_configuration,
            self._confirm,
            CONFIGURATION_POLL_S,
        )
        self._registration = registration.Registration(
            self.state, self._store, platform
        )
        self._node_table = watch.TableWatch(
            self._store,
            registration.TABLE,
            NODE_FEED_WAIT_S,
            log,
            self._registration.take_rows,
        )
        self._relay = table_relay.TableRelay(
            settings.node,
            {
                table.table: table
                for table in (
                    self._configuration_table,
                    self._server_table,
                    self._node_table,
                )
            },
            self.state.peers.send_to,
            self.state.peers.hubs,
            lambda: self.state.peers.uses_hubs,
            self.state.peers.heard_nodes,
        )
        self._exchange = exchange.Exchange(
            self.state,
            self._relay,
            lambda: self.duties.number,
            self.duties.heard_holder,
        )
        self.state.peers.on_message = self._exchange.take
        self.state.peers.other = self._relay.take
        self._written_at = 0.0
        self._usage_write: asyncio.Task[None] | None = None
        self._stopped: asyncio.Event | None = None
        self._was_ready: bool | None = None

    async def run(self) -> None:
        """Serve until the stop signal and the end of all work."""
        loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self._stopped.set)
        loop.add_signal_handler(signal.SIGINT, self._stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self.settings
        listeners = [
            await loop.create_server(
                self.server.make_connection,
                settings.front.ip,
                settings.front.port,
                backlog=LISTEN_BACKLOG,
            ),
            await loop.create_server(
                http_server.CallerServer(self._readiness).make_connection,
                settings.readiness.ip,
                settings.readiness.port,
            ),
            await loop.create_server(
                http_server.CallerServer(self._metrics).make_connection,
                settings.ip,
                settings.metrics_port,
            ),
        ]
        await loop.create_datagram_endpoint(
            lambda: self.state.peers,
            local_addr=(settings.ip, settings.peer_port),
        )
        background = [
            loop.create_task(job)
            for job in (
                self._configuration_table.run(),
                self._server_table.run(),
                self._node_table.run(),
                self.duties.run(),
                self._registration.run(lambda: bool(self.duties.number)),
                self._keep_house(),
            )
        ]
        for task in background:
            task.add_done_callback(self._check_task)
        self._log.info(
            'node is started',
            settings=settings.boot_path,
            front=str(settings.front),
            store=str(settings.store),
        )
        await self._stopped.wait()
        await self._drain()
        for listener in listeners:
            listener.close()
        self._log.info('node is stopped', open=self.server.busy)

    def _check_task(self, task: 'asyncio.Task[None]') -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                'background task failed', exc_info=task.exception()
            )
            # A node that lacks one of its parts must not go on serving.
            if self._stopped is not None:
                self._stopped.set()

    async def _drain(self) -> None:
        """Let the balancer notice, and finish what was accepted."""
        state = self.state
        begun = clock.now()
        state.stopping = True
        state.last_stream_at = begun + STOP_ACCEPT_S
        self.server.stopping = True
        self._log.info('node is stopping', requests=len(self.forwarder.calls))
        last = begun + self.settings.bounds.grace_s - STOP_RESERVE_S
        while clock.now() < last and (
            clock.now() < begun + STOP_ACCEPT_S or self.forwarder.calls
        ):
            await asyncio.sleep(0.05)
            if clock.now() > begun + STOP_ACCEPT_S:
                self.server.close_idle()
        await self._write_usage()
        await self._registration.leave()

    # Configuration

    def _take_configuration(
        self, rows: tuple[Any, ...], snapshot: bool
    ) -> None:
        for row in rows:
            if row.key != self._platform.CONFIGURATION_KEY or row.removed:
                continue
            decoded = self._platform.decode_configuration(row.value)
            if isinstance(decoded, errors.Failure):
                self._log.error(
                    'configuration is malformed', failure=str(decoded)
                )
                continue
            self._apply(decoded)

    def _apply(self, configuration: records.Configuration) -> None:
        current = self.state.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.state.configuration = configuration
        self.server.limits = configuration.limits
        self.state.fill_buckets()
        self._log.info(
            'configuration is applied',
            version=configuration.version,
            before=current.version if current else None,
            routes=sum(map(len, configuration.routes_by_host.values())),
            accounts=len(configuration.accounts_by_id),
        )

    def _confirm(self, sent_at: float) -> None:
        if self.state.configuration is not None:
            self.state.confirmed_at = max(self.state.confirmed_at, sent_at)

    def _reload(self) -> None:
        """Take in the settings file, as far as a running node can."""
        loaded = self._platform.load_settings(self.settings.boot_path)
        if isinstance(loaded, errors.Failure):
            self._log.error('settings are malformed', failure=str(loaded))
            return
        change = settings_file.change(self.settings, loaded)
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

    def _look_at_settings(self) -> None:
        """Read the settings again where the file has changed unannounced."""
        now = clock.now()
        if not self.settings.boot_path or now < self._settings_look_at:
            return
        self._settings_look_at = now + SETTINGS_LOOK_S
        stamp = settings_file.stamp(self.settings.boot_path)
        if stamp != self._settings_stamp:
            self._settings_stamp = stamp
            self._reload()

    # Servers and nodes

    def _take_servers(self, rows: tuple[Any, ...], snapshot: bool) -> None:
        self._servers.take_rows(rows, snapshot)
        self.forwarder.schedule_dispatch_all()

    def _server_leaving(self, record: server_registry.ServerRecord) -> None:
        self._log.info(
            'backend server is leaving',
            server=record.entry.id,
            leaves_in_s=record.entry.leaves_in_s,
            running=record.running,
        )
        self.mover.leaving(record)

    # Housekeeping

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self._servers.drop_missing(
                self._server_table.recovered_at,
                self._server_table.failing_since is not None,
            )
            self._look_at_settings()
            if self._exchange.step():
                self.forwarder.schedule_dispatch_all()
            self._flush_usage()

    def _flush_usage(self) -> None:
        if self._usage_write is not None and not self._usage_write.done():
            return
        state = self.state
        window_s = self.settings.bounds.usage_window_s
        present = state.usage.window_at(state.peers.true_time())
        changed = state.usage.changed(present)
        if not changed:
            return
        ended = any(window < present for window in changed)
        early = (
            not state.peers.uses_hubs
            and clock.now() - self._written_at > window_s * EARLY_WRITE_SHARE
        )
        if ended or early:
            self._usage_write = asyncio.get_running_loop().create_task(
                self._write_usage()
            )

    async def _write_usage(self) -> None:
        state = self.state
        counts = state.usage.changed(
            state.usage.window_at(state.peers.true_time())
        )
        if not counts:
            return
        self._written_at = clock.now()
        written = await self._store.write(
            tuple(
                self._platform.Put(
                    usage.TABLE,
                    usage.row_key(window, self.settings.node, state.started),
                    by_account,
                )
                for window, by_account in counts.items()
            ),
            timeout_s=0.8,
        )
        if isinstance(written, errors.Failure):
            self._log.info('usage is not written', failure=str(written))
            await asyncio.sleep(0.5)
            return
        state.usage.written(counts)
        state.usage.forget_before(min(counts) - usage.LOOK_BACK)

    # Readiness and metrics

    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        state = self.state
        return (
            not state.stopping
            and state.configuration is not None
            and bool(state.servers.by_id)
            and state.confirmed_age()
            < READY_SHARE * self.settings.bounds.revoke_s
        )

    async def _readiness(
        self, request: http_server.CallerRequest, reply: http_server.Reply
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

    async def _metrics(
        self, request: http_server.CallerRequest, reply: http_server.Reply
    ) -> None:
        reply.send(
            200,
            ((b'Content-Type', b'text/plain; version=0.0.4'),),
            self.state.measures.render(),
        )
