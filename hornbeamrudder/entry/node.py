"""Construction, start and graceful shutdown of a node."""

import functools
import random
import threading
import time
from typing import Callable, Mapping

import structlog

from ..admission import controller
from ..answers import attempt_traces
from ..answers import buffer
from ..answers import generation
from ..answers import handover
from ..answers import service as answers_service
from . import application
from ..backends import snapshot as backend_snapshot
from ..backends import watch
from . import cache_watch
from . import chat_calls
from ..configuration import service as configuration_service
from ..core import ids
from ..core import types
from . import fleet_duty
from . import gate as gates
from ..infrastructure import cloud
from ..infrastructure import host_list
from ..infrastructure import http
from ..infrastructure import objects
from ..infrastructure import table
from ..inventory import schema as inventory_schema
from ..leases import holder as lease_holder
from . import node_configuration
from . import operator_backend
from ..orders import committer
from ..orders import execute
from ..orders import recovery
from ..peers import messages
from ..peers import view as peer_view
from . import pool
from . import reports
from . import server
from . import service_calls
from ..settings import certificates
from ..settings import schema
from . import status
from ..telemetry import metrics as node_metrics
from ..telemetry import traces

REPORT_INTERVAL_S = 0.2
DRAIN_POLL_S = 0.05
# Time for the load balancer to notice that the node is not ready.
READINESS_GRACE_S = 0.5
# Time reserved for the handover before the stop deadline.
HANDOVER_MARGIN_S = 3.0
RELEASE_TIMEOUT_S = 3.0
RECOVERY_LEASE = 'recovery'

log = structlog.get_logger()


class Node:
    """One node; `start` and `stop` must each be called at most once."""

    def __init__(
        self, settings: schema.NodeSettings, on_reclaim: Callable[[], None]
    ) -> None:
        self._settings = settings
        self._on_reclaim = on_reclaim
        self._id = self.node_id = ids.NodeId(settings.node_id)
        self._incarnation = ids.Incarnation(time.time_ns())
        self._rng = random.SystemRandom()
        self._stopping = threading.Event()
        self.metrics = node_metrics.NodeMetrics()
        self._tracer = traces.Tracer(settings.tracing, settings.node_id)
        self._certificates = (
            certificates.Certificates(settings.tls) if settings.tls else None
        )
        self._client = http.HttpClient('backends')
        self._platform = http.HttpClient('platform')
        self._table = table.TableClient(self._platform, str(settings.table))
        self._admission = controller.Controller()
        self._create_backends()
        self._configuration_service = self._create_configuration_service()
        self.configuration = node_configuration.NodeConfiguration(
            self._configuration_service, self._on_document
        )
        self.gate = gates.Gate(
            self.pool,
            self._admission,
            self.configuration.document,
            settings.limits.threads,
            lambda: len(self.live_nodes()),
            lambda: peer_view.small_demand(
                self.view(), configuration_service.boot_clock()
            ),
        )
        self.pool.on_dispatch(self.gate.refresh)
        self.answers = answers_service.AnswerService(
            self._client,
            self.pool,
            settings.limits.kept_answer_s,
            functools.partial(attempt_traces.record, self._tracer),
        )
        self._handovers = handover.Handover(
            self._id,
            self.answers,
            self._configuration_service.network,
            self._table,
            self._find_worker,
            self._on_generation_end,
            self._tracer,
            self._active_peers,
        )
        self._create_orders()
        self._fleet = fleet_duty.FleetControl(
            settings,
            fleet_duty.Dependencies(
                self._incarnation,
                self._platform,
                self._table,
                self._cloud,
                self.watcher,
                self._configuration_service,
                self.configuration,
                self._all_rates,
            ),
        )
        self.application = self._create_application()
        self._server = server.CallerServer(
            self.application,
            settings.listen,
            settings.limits,
            self._certificates.callers if self._certificates else None,
        )
        self._reporter = threading.Thread(
            target=self._report_loop, name='reports', daemon=True
        )

    def start(self) -> None:
        """Start serving requests."""
        self.watcher.start()
        self._reporter.start()
        self._fleet.start()
        self._server.start()
        self.application.set_ready(True)
        log.info('node serves', address=str(self._server.address))
        print(f'listening on {self._server.address}', flush=True)

    def stop(self) -> None:
        """Shut down without interrupting requests in progress.

        Readiness is switched off first. Answers still in progress shortly
        before the deadline are handed over to a peer.
        """
        latest_deadline = time.monotonic() + self._settings.stop_timeout_s
        self.application.set_ready(False)
        # Released first, so that another node controls the fleet while this
        # one drains.
        self._fleet.release_lease()
        log.info('node leaves', open_requests=self.application.open_requests)
        self._stopping.wait(READINESS_GRACE_S)
        self.application.refuse_new()
        while (
            self.application.open_requests
            and time.monotonic()
            < self._stop_deadline(latest_deadline) - HANDOVER_MARGIN_S
        ):
            self._stopping.wait(DRAIN_POLL_S)
        # Includes answers whose caller is currently disconnected.
        self._handovers.hand_over_all(self._active_peers())
        self._wait_for_requests(latest_deadline)
        self._configuration_service.release(RELEASE_TIMEOUT_S)
        self._close()
        log.info('node left', open_requests=self.application.open_requests)

    def view(self) -> peer_view.View:
        """Return the state reported by the peers."""
        return self._configuration_service.view()

    def live_nodes(self) -> frozenset[ids.NodeId]:
        """Return this node and its live peers."""
        live_peers = peer_view.live_peers(
            self.view(), configuration_service.boot_clock()
        )
        return live_peers | {self._id}

    def leases(self) -> Mapping[str, int | None]:
        """Return the fencing number of each lease, None if not held."""
        return {
            RECOVERY_LEASE: self._recovery_lease.fencing_number(),
            **self._fleet.leases(),
        }

    def settled(self) -> ids.Version:
        """Return the highest version known to be in force on all nodes."""
        return self._configuration_service.settled()

    def traffic(self) -> Mapping[str, int]:
        """Return the counters of the traffic between nodes."""
        return self._configuration_service.network.snapshot()

    def _create_backends(self) -> None:
        settings = self._settings
        self._cloud = (
            cloud.CloudClient(self._platform, str(settings.cloud))
            if settings.cloud
            else None
        )
        self.watcher = watch.Watcher(
            self._platform,
            self._cloud,
            host_list.HostListClient(self._platform, str(settings.host_list))
            if settings.host_list
            else None,
            self._on_host_change,
        )
        self.pool = pool.NodeWorkerPool(
            self._id,
            self.watcher,
            self._demand_by_node,
            random.Random(self._incarnation),
            self._admission.small_accounts,
        )
        self._cache_watcher = cache_watch.CacheWatcher(
            self._platform, self.pool
        )

    def _create_configuration_service(
        self,
    ) -> configuration_service.ConfigurationService:
        settings = self._settings
        peer_tls = (
            self._certificates
            if settings.tls and settings.tls.peer_ca_file
            else None
        )
        return configuration_service.ConfigurationService(
            self._id,
            self._incarnation,
            settings.peer_listen.address(),
            configuration_service.PeerSettings(
                tuple(seed.address() for seed in settings.seeds),
                settings.peer_key(),
                peer_tls.peer_server if peer_tls else None,
                peer_tls.peer_client if peer_tls else None,
                announce=settings.advertised_address(),
            ),
            self._table,
            objects.NamedObjects(self._platform, str(settings.objects))
            if settings.objects
            else None,
            on_message=self._on_message,
            host=ids.HostId(settings.host_id or ''),
        )

    def _create_orders(self) -> None:
        sender = service_calls.OrderSender(self._client, self.pool)
        self.committer = committer.Committer(self._table)
        self._orders = execute.OrderExecutor(
            self._table, self.committer, sender.send
        )
        self._service_call_handler = service_calls.ServiceCallHandler(
            self._id,
            self._incarnation,
            self._client,
            self.pool,
            self.gate,
            self._orders,
            self._tracer,
            self._rng,
        )
        self._recovery_lease = lease_holder.LeaseHolder(
            self._table,
            RECOVERY_LEASE,
            ids.RegionName(self._settings.region),
            self._id,
            self._incarnation,
            random.Random(self._incarnation),
        )
        self._recovery = recovery.Recovery(
            self._table,
            self.committer,
            self._orders,
            self._recovery_lease.fencing_number,
            self._is_gone,
            self._service_call_handler.capacity_for,
            self._id,
            self._incarnation,
            random.Random(self._incarnation),
        )

    def _create_application(self) -> application.Application:
        chat_handler = chat_calls.ChatHandler(
            self._id,
            self.answers,
            self.gate,
            self._configuration_service.network,
            self._handovers,
            self._tracer,
            self._rng,
            self._on_generation_end,
        )
        operators = operator_backend.OperatorBackend(
            self._configuration_service,
            self.configuration,
            self.watcher,
            operator_backend.from_settings(self._settings.operators),
            lambda: status.describe(self),
        )
        return application.Application(
            application.Dependencies(
                node_id=self._id,
                configuration=self.configuration,
                chat=chat_handler,
                service_calls=self._service_call_handler,
                operators=operators,
                gate=self.gate,
                metrics=self.metrics,
                rng=self._rng,
                body_bytes=self._settings.limits.body_bytes,
                update_gauges=lambda: status.set_gauges(self),
            )
        )

    def _on_document(self, document: inventory_schema.Document) -> None:
        workers = tuple(document.workers_by_id.values())
        self.pool.set_workers(workers)
        engines = {
            service.name
            for service in document.services_by_name.values()
            if service.kind is types.ServiceKind.MODEL_ENGINE
        }
        self._cache_watcher.set_engines(
            worker for worker in workers if worker.service in engines
        )
        self._admission.set_weights(
            {
                account.id: account.weight
                for account in document.accounts_by_id.values()
            }
        )
        floors = document.rules.floors
        self._admission.set_floors(
            tuple(floors.share_of(rank) for rank in types.Rank)
        )
        log.info(
            'document in use',
            workers=len(workers),
            accounts=len(document.accounts),
        )

    def _on_host_change(
        self, change: backend_snapshot.HostStateChange
    ) -> None:
        if change.new is not types.HostState.LEAVING:
            return
        if change.host == self._settings.host_id:
            self._on_reclaim()
            return
        leaving = frozenset(
            worker.id
            for worker in self.watcher.snapshot().workers_by_id.values()
            if worker.host == change.host
        )
        self.answers.migrate_from(leaving)

    def _on_message(
        self, envelope: messages.Envelope
    ) -> messages.Message | None:
        match envelope.message:
            case messages.Handover() as message:
                ack = self._handovers.take_over(message)
                if ack.accepted:
                    self.metrics.handovers.inc({'direction': 'taken'})
                return ack
            case messages.FetchAnswer() as message:
                return self._handovers.read_piece(message)
            case _:
                return None

    def _on_generation_end(self, ended: generation.Generation) -> None:
        self.metrics.count_answer(
            ended.request.service,
            ended.request.rank.name.lower(),
            ended.buffer.state.value,
            ended.buffer.next_offset,
            ended.attempts,
            ended.recomputed_tokens,
        )
        self.metrics.dropped_pieces.add({}, ended.buffer.dropped_pieces)
        if ended.buffer.state is buffer.AnswerState.MOVED:
            self.metrics.handovers.inc({'direction': 'passed'})
        if ended.buffer.state is buffer.AnswerState.COMPLETE:
            self.metrics.observe_answer(
                ended.request.service,
                ended.request.rank.name.lower(),
                time.monotonic() - ended.accepted_at,
                (ended.first_token_at or ended.accepted_at)
                - ended.accepted_at,
            )

    def _find_worker(self, worker: ids.WorkerId) -> types.Worker | None:
        return self.watcher.snapshot().workers_by_id.get(worker)

    def _demand_by_node(
        self, service: ids.ServiceName
    ) -> Mapping[ids.NodeId, float]:
        own = dict(self.gate.demand()).get(service, 0.0)
        return reports.demand(
            self.view(), configuration_service.boot_clock(), service
        ) | {self._id: own}

    def _is_gone(self, node: ids.NodeId, incarnation: ids.Incarnation) -> bool:
        if node == self._id:
            return incarnation != self._incarnation
        now = configuration_service.boot_clock()
        return reports.is_gone(self.view(), node, incarnation, now)

    def _all_rates(self) -> tuple[messages.Rate, ...]:
        own = self.gate.traffic.rates()
        return own + reports.rates(self.view(), self.live_nodes() - {self._id})

    def _report_loop(self) -> None:
        while not self._stopping.wait(REPORT_INTERVAL_S):
            try:
                self._report()
            except Exception:
                # The thread must survive, because it reports leaving hosts to
                # the peers.
                log.exception('report failed')

    def _report(self) -> None:
        now = configuration_service.boot_clock()
        view = self.view()
        for node in peer_view.live_peers(view, now):
            self.watcher.report_from_peer(
                reports.leaving_host(item)
                for item in view.peers_by_node[node].heartbeat.leaving
            )
        self._configuration_service.report(
            self.gate.demand(),
            map(reports.leaving_message, self.watcher.leaving_hosts()),
            self.gate.small_demand(),
            self.gate.traffic.rates(),
        )

    def _active_peers(self) -> tuple[ids.NodeId, ...]:
        return reports.active_peers(
            self.view(), configuration_service.boot_clock()
        )

    def _stop_deadline(self, latest_deadline: float) -> float:
        """Return the reclaim time of this host, at most `latest_deadline`.

        It is read again on each call, because a later notice may shorten the
        deadline.
        """
        host = ids.HostId(self._settings.host_id or '')
        record = self.watcher.snapshot().records_by_host.get(host)
        if record is None or not record.leaving_announced:
            return latest_deadline
        return min(latest_deadline, record.deadline)

    def _wait_for_requests(self, latest_deadline: float) -> None:
        while (
            self.application.open_requests
            and time.monotonic() < self._stop_deadline(latest_deadline)
        ):
            self._stopping.wait(DRAIN_POLL_S)

    def _close(self) -> None:
        self._stopping.set()
        self._server.stop()
        self._fleet.close()
        self._recovery.close()
        self._recovery_lease.close()
        self.gate.close()
        self._orders.close()
        self.committer.close()
        self._cache_watcher.close()
        self.watcher.close()
        self.answers.close()
        self._configuration_service.close()
        self._client.close()
        self._platform.close()
        self._tracer.close()
        if self._certificates is not None:
            self._certificates.close()
