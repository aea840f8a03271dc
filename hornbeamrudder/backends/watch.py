"""Thread that polls backend servers and maintains a snapshot of them."""

import collections
from concurrent import futures
import dataclasses
import heapq
import math
import queue
import threading
import time
from typing import Callable, Iterable, Union

from returns import result
import structlog

from ..core import errors
from ..core import hashing
from ..core import hosts
from ..core import ids
from ..core import types
from ..infrastructure import cloud as cloud_client
from ..infrastructure import host_list as host_list_client
from ..infrastructure import http
from . import load
from . import load_report
from . import snapshot as snapshots
from . import state

NOTICE_INTERVAL_S = 0.5
HOST_LIST_INTERVAL_S = 1.0
LOAD_INTERVAL_S = 1.0
# The first polls of new workers are spread over this time.
FIRST_POLL_SPREAD_S = 0.2
# Bounds the polling overhead of a node: above this number of workers, each of
# them is polled less often than every `LOAD_INTERVAL_S`.
MAX_LOAD_POLLS_PER_S = 50.0
# Delay until a passed host deadline is logged and passed to the callback;
# `may_receive_new_work` does not depend on it.
DEADLINE_CHECK_INTERVAL_S = 0.1

_logger = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadResponse:
    worker: types.Worker
    incarnation: ids.Incarnation
    sent_at: float
    outcome: http.HttpResult


@dataclasses.dataclass(frozen=True, slots=True)
class _NoticeResponse:
    outcome: result.Result[tuple[hosts.ReclaimNotice, ...], errors.Failure]
    requested_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _HostListResponse:
    outcome: result.Result[tuple[hosts.ListedHost, ...], errors.Failure]
    requested_at: float


_Event = Union[
    snapshots.HostStateChange,
    _LoadResponse,
    _NoticeResponse,
    _HostListResponse,
    None,
]

ChangeCallback = Callable[[snapshots.HostStateChange], None]


class Watcher:
    """Polls the report sources; thread-safe.

    Parameters
    ----------
    cloud, host_list : clients or None
        None if another node of the data centre polls this source and
        forwards its reports with heartbeats.
    on_change : callable
        Called on the watcher thread for each change of a host's state.
    """

    def __init__(
        self,
        client: http.HttpClient,
        cloud: cloud_client.CloudClient | None,
        host_list: host_list_client.HostListClient | None,
        on_change: ChangeCallback = lambda _: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._client = client
        self._cloud = cloud
        self._host_list = host_list
        self._on_change = on_change
        self._clock = clock
        self._lock = threading.Lock()
        self._workers_by_id: dict[ids.WorkerId, types.Worker] = {}
        self._records_by_host: dict[ids.HostId, state.HostRecord] = {}
        self._loads_by_worker: dict[ids.WorkerId, load.WorkerLoad] = {}
        self._states_by_host: dict[ids.HostId, types.HostState] = {}
        self._snapshot: snapshots.Snapshot | None = None
        self._next_polls: list[tuple[float, ids.WorkerId]] = []
        self._events: queue.SimpleQueue[_Event] = queue.SimpleQueue()
        self._last_notice_number = 0
        self._listed_hosts: frozenset[ids.HostId] = frozenset()
        self._reachable_by_source: dict[str, bool] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self._closing = threading.Event()
        self._pool = futures.ThreadPoolExecutor(2, 'platform-poll')
        self._thread = threading.Thread(
            target=self._run, name='backend-watch', daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        if self._cloud is not None:
            self._pool.submit(self._poll_notices, self._cloud)
        if self._host_list is not None:
            self._pool.submit(self._poll_host_list, self._host_list)
        self._thread.start()

    def close(self) -> None:
        """Stop the threads; waits for polls in progress or their timeout."""
        self._closing.set()
        self._events.put(None)
        self._thread.join()
        self._pool.shutdown()

    def set_workers(self, workers: Iterable[types.Worker]) -> None:
        """Replace the set of workers after a configuration change."""
        now = self._clock()
        new_by_id = {worker.id: worker for worker in workers}
        with self._lock:
            for worker in new_by_id.values():
                if worker.id not in self._workers_by_id:
                    spread = FIRST_POLL_SPREAD_S * _hash_fraction(worker.id)
                    heapq.heappush(self._next_polls, (now + spread, worker.id))
                self._records_by_host.setdefault(
                    worker.host, state.HostRecord(worker.host)
                )
            self._workers_by_id = new_by_id
            self._loads_by_worker = {
                worker: self._loads_by_worker.get(worker, load.WorkerLoad())
                for worker in new_by_id
            }
            self._next_polls = [
                item for item in self._next_polls if item[1] in new_by_id
            ]
            heapq.heapify(self._next_polls)
            self._remove_unused_hosts(now)
            self._snapshot = None

    def snapshot(self) -> snapshots.Snapshot:
        """Return the current workers, host records and loads."""
        with self._lock:
            if self._snapshot is None:
                self._snapshot = snapshots.Snapshot(
                    self._workers_by_id,
                    dict(self._records_by_host),
                    dict(self._loads_by_worker),
                )
            return self._snapshot

    def report_failure(self, worker: ids.WorkerId) -> None:
        """Record a failed connection to a worker."""
        with self._lock:
            failed = self._workers_by_id.get(worker)
            if failed is None:
                return
            incarnation = self._records_by_host[failed.host].incarnation
            self._merge_report(
                failed.host, state.FailureReport(incarnation, self._clock())
            )

    def report_from_peer(self, leaving: Iterable[hosts.LeavingHost]) -> None:
        """Record the leaving hosts listed in the heartbeat of a peer."""
        now = self._clock()
        with self._lock:
            for host in leaving:
                seconds_left = host.seconds_left
                deadline = (
                    math.inf if seconds_left is None else now + seconds_left
                )
                self._merge_report(
                    host.id,
                    state.LeavingReport(
                        host.incarnation,
                        now,
                        state.ReportSource.PEER,
                        deadline,
                    ),
                )

    def leaving_hosts(self) -> tuple[hosts.LeavingHost, ...]:
        """Return the leaving hosts for the next heartbeat."""
        now = self._clock()
        with self._lock:
            return tuple(
                hosts.LeavingHost(
                    record.host,
                    record.incarnation,
                    None
                    if record.deadline == math.inf
                    else state.seconds_left(record, now),
                )
                for record in self._records_by_host.values()
                if record.leaving_announced
            )

    def request_started(
        self, worker: ids.WorkerId, request: ids.RequestId, tokens: float
    ) -> None:
        """Record that this node sends a request to a worker."""
        self._update_load(
            worker,
            lambda old: load.add_request(old, request, tokens, self._clock()),
        )

    def request_ended(
        self, worker: ids.WorkerId, request: ids.RequestId
    ) -> None:
        """Record that a request of this node has ended."""
        self._update_load(
            worker, lambda old: load.end_request(old, request, self._clock())
        )

    def _update_load(
        self,
        worker: ids.WorkerId,
        change: Callable[[load.WorkerLoad], load.WorkerLoad],
    ) -> None:
        with self._lock:
            old = self._loads_by_worker.get(worker)
            if old is not None:
                self._loads_by_worker[worker] = change(old)
                self._snapshot = None

    def _merge_report(self, host: ids.HostId, report: state.Report) -> None:
        """Merge a report; the caller holds the lock."""
        old = self._records_by_host.get(host, state.HostRecord(host))
        new = state.merge_report(old, report)
        self.counters[f'report: {report.source.value}'] += 1
        if new != old:
            self._records_by_host[host] = new
            self._snapshot = None
        self._update_state(new, report.source)

    def _update_state(
        self, record: state.HostRecord, source: state.ReportSource | None
    ) -> None:
        now = self._clock()
        new = state.derive_state(record, now)
        old = self._states_by_host.get(record.host, types.HostState.SUSPECT)
        self._states_by_host[record.host] = new
        if new is not old:
            self.counters[f'state: {new.value}'] += 1
            seconds_left = state.seconds_left(record, now)
            self._events.put(
                snapshots.HostStateChange(
                    record.host, old, new, source, seconds_left
                )
            )

    def _remove_unused_hosts(self, now: float) -> None:
        hosts_in_use = {worker.host for worker in self._workers_by_id.values()}
        for host, record in tuple(self._records_by_host.items()):
            gone = state.derive_state(record, now) is types.HostState.GONE
            if host not in hosts_in_use and (
                gone or not record.leaving_announced
            ):
                del self._records_by_host[host]
                self._states_by_host.pop(host, None)

    def _run(self) -> None:
        while not self._closing.is_set():
            try:
                self._run_once()
            except Exception:
                # A malformed response must not terminate the thread.
                self.counters['failed step'] += 1
                _logger.exception('watching failed')

    def _run_once(self) -> None:
        try:
            self._handle_event(
                self._events.get(timeout=self._event_timeout_s())
            )
        except queue.Empty:
            pass
        self._poll_loads()
        self._check_deadlines()

    def _event_timeout_s(self) -> float:
        with self._lock:
            due_at = self._next_polls[0][0] if self._next_polls else math.inf
        return min(DEADLINE_CHECK_INTERVAL_S, max(0.0, due_at - self._clock()))

    def _handle_event(self, event: _Event) -> None:
        match event:
            case snapshots.HostStateChange():
                self._publish_change(event)
            case _LoadResponse():
                self._apply_load_response(event)
            case _NoticeResponse(result.Success(notices), requested_at):
                self._record_poll('cloud API', '')
                self._apply_notices(notices, requested_at)
            case _HostListResponse(result.Success(listed), requested_at):
                self._record_poll('host list', '')
                self._apply_host_list(listed, requested_at)
            case _NoticeResponse(result.Failure(failure)):
                self._record_poll('cloud API', str(failure))
            case _HostListResponse(result.Failure(failure)):
                self._record_poll('host list', str(failure))

    def _publish_change(self, change: snapshots.HostStateChange) -> None:
        _logger.info(
            'host state changed',
            host=change.host,
            old=change.old.value,
            new=change.new.value,
            source=change.source.value if change.source else 'time',
        )
        self._on_change(change)

    def _record_poll(self, source: str, failure: str) -> None:
        reachable = not failure
        self.counters[f'poll: {source}'] += 1
        if failure:
            self.counters[f'failed poll: {source}'] += 1
        if self._reachable_by_source.get(source, True) is not reachable:
            _logger.warning(
                'source changed', source=source, ok=reachable, detail=failure
            )
        self._reachable_by_source[source] = reachable

    def _apply_notices(
        self, notices: Iterable[hosts.ReclaimNotice], requested_at: float
    ) -> None:
        with self._lock:
            for notice in notices:
                self._last_notice_number = max(
                    self._last_notice_number, notice.number
                )
                self._merge_report(
                    notice.host,
                    state.LeavingReport(
                        notice.incarnation,
                        requested_at,
                        state.ReportSource.RECLAIM_NOTICE,
                        # Measured from before the request, so that the
                        # deadline is never too late.
                        requested_at + notice.seconds_left,
                    ),
                )

    def _apply_host_list(
        self, listed: Iterable[hosts.ListedHost], requested_at: float
    ) -> None:
        listed = tuple(listed)
        listed_ids = frozenset(host.id for host in listed)
        source = state.ReportSource.HOST_LIST
        with self._lock:
            for host in listed:
                report: state.Report = (
                    state.LeavingReport(host.incarnation, requested_at, source)
                    if host.leaving
                    else state.ListedReport(host.incarnation, requested_at)
                )
                self._merge_report(host.id, report)
            # A host that is no longer listed only becomes suspect, so that
            # a faulty empty list does not remove the whole fleet.
            for name in self._listed_hosts - listed_ids:
                record = self._records_by_host.get(name)
                if record is not None:
                    self._merge_report(
                        name,
                        state.FailureReport(
                            record.incarnation, requested_at, source
                        ),
                    )
        self._listed_hosts = listed_ids

    def _apply_load_response(self, response: _LoadResponse) -> None:
        worker = response.worker
        incarnation = response.incarnation
        parsed = response.outcome.bind(
            lambda http_response: load_report.parse(
                http_response, response.sent_at
            )
        )
        with self._lock:
            if worker.id not in self._workers_by_id:
                return
            if not isinstance(parsed, result.Success):
                self.counters['failed poll: load'] += 1
                self._merge_report(
                    worker.host,
                    state.FailureReport(incarnation, self._clock()),
                )
                return
            report, reported_incarnation, leaving = parsed.unwrap()
            incarnation = (
                incarnation
                if reported_incarnation is None
                else reported_incarnation
            )
            self._loads_by_worker[worker.id] = load.merge_report(
                self._loads_by_worker[worker.id], report
            )
            self._snapshot = None
            if leaving:
                self._merge_report(
                    worker.host,
                    state.LeavingReport(
                        incarnation,
                        response.sent_at,
                        state.ReportSource.LOAD_REPORT,
                    ),
                )
            self._merge_report(
                worker.host,
                state.ResponseReport(incarnation, response.sent_at),
            )

    def _poll_loads(self) -> None:
        now = self._clock()
        due: list[tuple[types.Worker, ids.Incarnation]] = []
        with self._lock:
            interval = max(
                LOAD_INTERVAL_S,
                len(self._workers_by_id) / MAX_LOAD_POLLS_PER_S,
            )
            while self._next_polls and self._next_polls[0][0] <= now:
                _, name = heapq.heappop(self._next_polls)
                worker = self._workers_by_id[name]
                record = self._records_by_host[worker.host]
                due.append((worker, record.incarnation))
                heapq.heappush(self._next_polls, (now + interval, name))
        for worker, incarnation in due:
            self._poll_load(worker, incarnation, now)

    def _poll_load(
        self, worker: types.Worker, incarnation: ids.Incarnation, now: float
    ) -> None:
        self.counters['poll: load'] += 1
        call = self._client.start(load_report.request(worker))
        call.future.add_done_callback(
            lambda done: self._events.put(
                _LoadResponse(worker, incarnation, now, done.result())
            )
        )

    def _check_deadlines(self) -> None:
        with self._lock:
            for record in self._records_by_host.values():
                if record.leaving_announced:
                    self._update_state(record, None)

    def _poll_notices(self, client: cloud_client.CloudClient) -> None:
        while not self._closing.is_set():
            requested_at = self._clock()
            outcome = client.notices(self._last_notice_number)
            self._events.put(_NoticeResponse(outcome, requested_at))
            self._closing.wait(NOTICE_INTERVAL_S)

    def _poll_host_list(self, client: host_list_client.HostListClient) -> None:
        while not self._closing.is_set():
            requested_at = self._clock()
            self._events.put(
                _HostListResponse(client.list_hosts(), requested_at)
            )
            self._closing.wait(HOST_LIST_INTERVAL_S)


def _hash_fraction(name: str) -> float:
    return hashing.stable_hash(name) / 2**64
