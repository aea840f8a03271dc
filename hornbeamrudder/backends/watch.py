"""Thread that watches backend servers and keeps a snapshot of them."""

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
FIRST_POLLS_SPREAD_S = 0.2
# Bounds the control overhead of a node: with more workers than this, each
# worker is asked less often than every `LOAD_INTERVAL_S`.
MAX_LOAD_POLLS_PER_S = 50.0
# States that change without a report (the end of a host) are noticed within
# this time; `may_receive_new_work` does not depend on it.
TICK_S = 0.1

_logger = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadAnswer:
    worker: types.Worker
    incarnation: ids.Incarnation
    sent_at: float
    outcome: http.HttpResult


@dataclasses.dataclass(frozen=True, slots=True)
class _Notices:
    outcome: result.Result[tuple[hosts.ReclaimNotice, ...], errors.Failure]
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _HostList:
    outcome: result.Result[tuple[hosts.ListedHost, ...], errors.Failure]
    asked_at: float


_Event = Union[snapshots.Change, _LoadAnswer, _Notices, _HostList, None]


class Watcher:
    """Polls the sources; safe to use from any thread.

    Parameters
    ----------
    cloud, host_list : clients or None
        None where another node of the data centre reads this source and
        reports it through heartbeats.
    on_change : callable
        Called on the watcher's thread for each change of a host's state.
    """

    def __init__(
        self,
        client: http.HttpClient,
        cloud: cloud_client.CloudClient | None,
        host_list: host_list_client.HostListClient | None,
        on_change: Callable[[snapshots.Change], None] = lambda _: None,
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
        self._due: list[tuple[float, ids.WorkerId]] = []
        self._events: queue.SimpleQueue[_Event] = queue.SimpleQueue()
        self._last_notice = 0
        self._listed: frozenset[ids.HostId] = frozenset()
        self._reachable_by_source: dict[str, bool] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self._closing = threading.Event()
        self._pool = futures.ThreadPoolExecutor(2, 'platform-poll')
        self._thread = threading.Thread(
            target=self._run, name='backend-watch', daemon=True
        )

    def start(self) -> None:
        """Start to poll."""
        if self._cloud is not None:
            self._pool.submit(self._poll_notices, self._cloud)
        if self._host_list is not None:
            self._pool.submit(self._poll_host_list, self._host_list)
        self._thread.start()

    def close(self) -> None:
        """Stop the threads; calls in progress run to their time limit."""
        self._closing.set()
        self._events.put(None)
        self._thread.join()
        self._pool.shutdown()

    def set_workers(self, workers: Iterable[types.Worker]) -> None:
        """Replace the set of workers, after a configuration change."""
        now = self._clock()
        new_by_id = {worker.id: worker for worker in workers}
        with self._lock:
            for worker in new_by_id.values():
                if worker.id not in self._workers_by_id:
                    spread = FIRST_POLLS_SPREAD_S * _fraction(worker.id)
                    heapq.heappush(self._due, (now + spread, worker.id))
                self._records_by_host.setdefault(
                    worker.host, state.HostRecord(worker.host)
                )
            self._workers_by_id = new_by_id
            self._loads_by_worker = {
                worker: self._loads_by_worker.get(worker, load.WorkerLoad())
                for worker in new_by_id
            }
            self._due = [item for item in self._due if item[1] in new_by_id]
            heapq.heapify(self._due)
            self._forget_ended_hosts(now)
            self._snapshot = None

    def snapshot(self) -> snapshots.Snapshot:
        """Return the present workers, states and loads."""
        with self._lock:
            if self._snapshot is None:
                self._snapshot = snapshots.Snapshot(
                    self._workers_by_id,
                    dict(self._records_by_host),
                    dict(self._loads_by_worker),
                )
            return self._snapshot

    def report_failure(self, worker: ids.WorkerId) -> None:
        """Note a failed connection to a worker."""
        with self._lock:
            found = self._workers_by_id.get(worker)
            if found is None:
                return
            incarnation = self._records_by_host[found.host].incarnation
            self._apply(found.host, state.Failed(incarnation, self._clock()))

    def report_from_peer(self, leaving: Iterable[hosts.LeavingHost]) -> None:
        """Note the leaving hosts that a heartbeat of a peer names."""
        now = self._clock()
        with self._lock:
            for host in leaving:
                left = host.seconds_left
                deadline = math.inf if left is None else now + left
                self._apply(
                    host.id,
                    state.Announced(
                        host.incarnation, now, state.Source.PEER, deadline
                    ),
                )

    def leaving_hosts(self) -> tuple[hosts.LeavingHost, ...]:
        """List the leaving hosts for the next heartbeat."""
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
                if record.announced
            )

    def request_started(
        self, worker: ids.WorkerId, request: ids.RequestId, tokens: float
    ) -> None:
        """Note that this node sends a request to a worker."""
        self._change_load(
            worker,
            lambda old: load.started(old, request, tokens, self._clock()),
        )

    def request_ended(
        self, worker: ids.WorkerId, request: ids.RequestId
    ) -> None:
        """Note that a request of this node has ended."""
        self._change_load(
            worker, lambda old: load.ended(old, request, self._clock())
        )

    def _change_load(
        self,
        worker: ids.WorkerId,
        change: Callable[[load.WorkerLoad], load.WorkerLoad],
    ) -> None:
        with self._lock:
            old = self._loads_by_worker.get(worker)
            if old is not None:
                self._loads_by_worker[worker] = change(old)
                self._snapshot = None

    def _apply(self, host: ids.HostId, report: state.Report) -> None:
        """Merge a report; the lock is held."""
        old = self._records_by_host.get(host, state.HostRecord(host))
        new = state.apply(old, report)
        self.counters[f'report: {report.source.value}'] += 1
        if new != old:
            self._records_by_host[host] = new
            self._snapshot = None
        self._note_state(new, report.source)

    def _note_state(
        self, record: state.HostRecord, source: state.Source | None
    ) -> None:
        now = self._clock()
        new = state.state(record, now)
        old = self._states_by_host.get(record.host, types.HostState.SUSPECT)
        self._states_by_host[record.host] = new
        if new is not old:
            self.counters[f'state: {new.value}'] += 1
            left = state.seconds_left(record, now)
            self._events.put(
                snapshots.Change(record.host, old, new, source, left)
            )

    def _forget_ended_hosts(self, now: float) -> None:
        used = {worker.host for worker in self._workers_by_id.values()}
        for host, record in tuple(self._records_by_host.items()):
            ended = state.state(record, now) is types.HostState.GONE
            if host not in used and (ended or not record.announced):
                del self._records_by_host[host]
                self._states_by_host.pop(host, None)

    def _run(self) -> None:
        while not self._closing.is_set():
            try:
                self._run_once()
            except Exception:
                # One bad answer must not end the watching.
                self.counters['failed step'] += 1
                _logger.exception('watching failed')

    def _run_once(self) -> None:
        try:
            self._handle(self._events.get(timeout=self._wait_s()))
        except queue.Empty:
            pass
        self._poll_loads()
        self._check_deadlines()

    def _wait_s(self) -> float:
        with self._lock:
            due_at = self._due[0][0] if self._due else math.inf
        return min(TICK_S, max(0.0, due_at - self._clock()))

    def _handle(self, event: _Event) -> None:
        match event:
            case snapshots.Change():
                self._report(event)
            case _LoadAnswer():
                self._take_load(event)
            case _Notices(result.Success(notices), asked_at):
                self._note_reachable('cloud API', '')
                self._take_notices(notices, asked_at)
            case _HostList(result.Success(listed), asked_at):
                self._note_reachable('host list', '')
                self._take_host_list(listed, asked_at)
            case _Notices(result.Failure(failure)):
                self._note_reachable('cloud API', str(failure))
            case _HostList(result.Failure(failure)):
                self._note_reachable('host list', str(failure))

    def _report(self, change: snapshots.Change) -> None:
        _logger.info(
            'host state changed',
            host=change.host,
            old=change.old.value,
            new=change.new.value,
            source=change.source.value if change.source else 'time',
        )
        self._on_change(change)

    def _note_reachable(self, source: str, failure: str) -> None:
        reachable = not failure
        self.counters[f'poll: {source}'] += 1
        if failure:
            self.counters[f'failed poll: {source}'] += 1
        if self._reachable_by_source.get(source, True) is not reachable:
            _logger.warning(
                'source changed', source=source, ok=reachable, detail=failure
            )
        self._reachable_by_source[source] = reachable

    def _take_notices(
        self, notices: Iterable[hosts.ReclaimNotice], asked_at: float
    ) -> None:
        with self._lock:
            for notice in notices:
                self._last_notice = max(self._last_notice, notice.number)
                self._apply(
                    notice.host,
                    state.Announced(
                        notice.incarnation,
                        asked_at,
                        state.Source.RECLAIM_NOTICE,
                        # Counted from before the call, hence never late.
                        asked_at + notice.seconds_left,
                    ),
                )

    def _take_host_list(
        self, listed: Iterable[hosts.ListedHost], asked_at: float
    ) -> None:
        listed = tuple(listed)
        names = frozenset(host.id for host in listed)
        source = state.Source.HOST_LIST
        with self._lock:
            for host in listed:
                report: state.Report = (
                    state.Announced(host.incarnation, asked_at, source)
                    if host.leaving
                    else state.Listed(host.incarnation, asked_at)
                )
                self._apply(host.id, report)
            # A host that the list has lost is only suspect, so that an
            # empty list after a fault does not remove the whole fleet.
            for name in self._listed - names:
                record = self._records_by_host.get(name)
                if record is not None:
                    self._apply(
                        name,
                        state.Failed(record.incarnation, asked_at, source),
                    )
        self._listed = names

    def _take_load(self, answer: _LoadAnswer) -> None:
        worker = answer.worker
        incarnation = answer.incarnation
        parsed = answer.outcome.bind(
            lambda response: load_report.parse(response, answer.sent_at)
        )
        with self._lock:
            if worker.id not in self._workers_by_id:
                return
            if not isinstance(parsed, result.Success):
                self.counters['failed poll: load'] += 1
                self._apply(
                    worker.host, state.Failed(incarnation, self._clock())
                )
                return
            report, stated, leaving = parsed.unwrap()
            incarnation = incarnation if stated is None else stated
            self._loads_by_worker[worker.id] = load.reported(
                self._loads_by_worker[worker.id], report
            )
            self._snapshot = None
            if leaving:
                self._apply(
                    worker.host,
                    state.Announced(
                        incarnation,
                        answer.sent_at,
                        state.Source.LOAD_REPORT,
                    ),
                )
            self._apply(
                worker.host, state.Answered(incarnation, answer.sent_at)
            )

    def _poll_loads(self) -> None:
        now = self._clock()
        due: list[tuple[types.Worker, ids.Incarnation]] = []
        with self._lock:
            interval = max(
                LOAD_INTERVAL_S,
                len(self._workers_by_id) / MAX_LOAD_POLLS_PER_S,
            )
            while self._due and self._due[0][0] <= now:
                _, name = heapq.heappop(self._due)
                worker = self._workers_by_id[name]
                record = self._records_by_host[worker.host]
                due.append((worker, record.incarnation))
                heapq.heappush(self._due, (now + interval, name))
        for worker, incarnation in due:
            self._poll_load(worker, incarnation, now)

    def _poll_load(
        self, worker: types.Worker, incarnation: ids.Incarnation, now: float
    ) -> None:
        self.counters['poll: load'] += 1
        call = self._client.start(load_report.request(worker))
        call.future.add_done_callback(
            lambda done: self._events.put(
                _LoadAnswer(worker, incarnation, now, done.result())
            )
        )

    def _check_deadlines(self) -> None:
        with self._lock:
            for record in self._records_by_host.values():
                if record.announced:
                    self._note_state(record, None)

    def _poll_notices(self, client: cloud_client.CloudClient) -> None:
        while not self._closing.is_set():
            asked_at = self._clock()
            outcome = client.notices(self._last_notice)
            self._events.put(_Notices(outcome, asked_at))
            self._closing.wait(NOTICE_INTERVAL_S)

    def _poll_host_list(self, client: host_list_client.HostListClient) -> None:
        while not self._closing.is_set():
            asked_at = self._clock()
            self._events.put(_HostList(client.list_hosts(), asked_at))
            self._closing.wait(HOST_LIST_INTERVAL_S)


def _fraction(name: str) -> float:
    return hashing.stable_hash(name) / 2**64
