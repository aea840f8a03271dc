"""Calls to plain services on behalf of callers."""

from concurrent import futures
import dataclasses
import random
import threading
import time
from typing import Callable

from returns import result
import werkzeug

from ..admission import controller
from ..backends import client as backends_client
from ..core import errors
from ..core import ids
from ..core import types
from . import gate as gates
from ..infrastructure import http
from ..orders import execute
from ..orders import messages as order_messages
from ..orders import record
from . import pool
from . import problems
from ..retries import decide
from ..telemetry import traces

# Cost of one call in admission, which counts work in tokens.
CALL_TOKENS = 1.0
ANSWER_GRACE_S = 2.0
WORKER_POLL_INTERVAL_S = 0.05
# After this wait for the answer to an order, its outcome is unknown.
ORDER_ANSWER_TIMEOUT_S = 30.0
FORWARDED_RESPONSE_HEADERS = (
    'content-language',
    'etag',
    'last-modified',
    'location',
    'cache-control',
)
DEFAULT_CONTENT_TYPE = 'application/octet-stream'


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingCall:
    """A caller's request for a plain service.

    Attributes
    ----------
    deadline : float
        Time of the monotonic clock, in seconds.
    idempotent : bool
        Whether the call may safely run more than once.
    maybe_repeated : bool
        Whether an earlier attempt may have used the same key.
    """

    request_id: ids.RequestId
    account: ids.AccountId
    service: ids.ServiceName
    rank: types.Rank
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    idempotency_key: str
    traceparent: str
    idempotent: bool
    maybe_repeated: bool


class OrderSender:
    """Sends orders for the order executor, each at most once."""

    def __init__(
        self, client: http.HttpClient, workers: pool.NodeWorkerPool
    ) -> None:
        self._client = client
        self._workers = workers

    def send(
        self, request: record.StoredRequest, holder: record.Holder
    ) -> order_messages.SendResult:
        """Send to one worker; a failure states whether it may have run."""
        # The record is already `dispatching`, so there is no time to wait for
        # a worker. Capacity was granted when one had a free slot; the share
        # may have fallen since then, as it may under a request in progress.
        chosen = self._workers.choose_for(
            request.service,
            request.request_id,
            CALL_TOKENS,
            frozenset(),
            may_exceed_share=True,
        )
        match chosen:
            case result.Failure(failure):
                return result.Failure(failure)
            case result.Success(worker):
                pass
        answer = self._client.call(
            backends_client.service_request(
                worker,
                backends_client.ServiceCall(
                    request_id=request.request_id,
                    attempt=1,
                    method=request.method,
                    path=request.path,
                    body=request.body,
                    headers=request.headers,
                    idempotent=False,
                    timeout_s=ORDER_ANSWER_TIMEOUT_S,
                    idempotency_key=request.request_id,
                ),
            )
        )
        self._workers.release(
            worker, request.request_id, isinstance(answer, result.Failure)
        )
        return answer.map(_to_stored_result)


class ServiceCallHandler:
    """Handles calls of authenticated callers to plain services."""

    def __init__(
        self,
        node_id: ids.NodeId,
        incarnation: ids.Incarnation,
        client: http.HttpClient,
        workers: pool.NodeWorkerPool,
        gate: gates.Gate,
        orders: execute.OrderExecutor,
        tracer: traces.Tracer,
        rng: random.Random,
    ) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._client = client
        self._workers = workers
        self._gate = gate
        self._orders = orders
        self._tracer = tracer
        self._rng = rng

    def call(self, incoming: IncomingCall) -> werkzeug.Response:
        """Run one call and return its response."""
        with self._tracer.span(
            'receive',
            incoming.traceparent,
            request_id=incoming.request_id,
            service=incoming.service,
        ) as traceparent:
            answer = self._answer(
                dataclasses.replace(incoming, traceparent=traceparent)
            )
        match answer:
            case result.Success(stored):
                return _to_response(stored, incoming.request_id)
            case result.Failure(failure):
                return problems.to_response(failure, incoming.request_id)
        raise AssertionError(answer)

    def _answer(self, incoming: IncomingCall) -> order_messages.SendResult:
        submitted = self._gate.submit(
            incoming.rank,
            incoming.account,
            incoming.service,
            CALL_TOKENS,
            incoming.deadline,
        )
        if incoming.idempotent:
            return self._call_idempotent(incoming, submitted)
        return self._call_non_idempotent(incoming, submitted)

    def capacity_for(
        self, order: record.OrderRecord
    ) -> execute.CapacityFuture:
        """Request a slot for an order taken over from another node."""
        assert order.request is not None
        submitted = self._gate.submit(
            types.Rank.STANDARD,
            order.account,
            order.request.service,
            CALL_TOKENS,
            time.monotonic() + order.deadline_wall - time.time(),
            limited=False,
        )
        # The slot only permits the start and is released at once; recovery is
        # too rare for the uncounted work to matter.
        self._gate.withdraw(submitted)
        return _capacity(submitted, lambda: True, 0.0)

    def _call_non_idempotent(
        self,
        incoming: IncomingCall,
        submitted: 'futures.Future[gates.SlotResult]',
    ) -> order_messages.SendResult:
        timeout_s = gates.remaining_s(incoming.deadline)
        reply_future = self._orders.submit(
            incoming.account,
            incoming.idempotency_key or incoming.request_id,
            record.StoredRequest(
                service=incoming.service,
                method=incoming.method,
                path=incoming.path,
                headers=backends_client.forwarded_headers(incoming.headers),
                body=incoming.body,
                request_id=incoming.request_id,
            ),
            record.Holder(
                ids.new_attempt_id(self._node_id, self._rng),
                self._node_id,
                self._incarnation,
            ),
            timeout_s,
            _capacity(
                submitted,
                lambda: self._workers.can_dispatch(
                    incoming.service,
                    pool.Requester(incoming.account, incoming.rank),
                ),
                incoming.deadline,
            ),
        )
        try:
            reply = reply_future.result(timeout_s + ANSWER_GRACE_S)
            if incoming.maybe_repeated and not reply.recorded:
                return reply.answer.alt(problems.for_possible_repeat)
            return reply.answer
        except TimeoutError:
            return result.Failure(_answer_timeout())
        finally:
            self._gate.withdraw(submitted)

    def _call_idempotent(
        self,
        incoming: IncomingCall,
        submitted: 'futures.Future[gates.SlotResult]',
    ) -> order_messages.SendResult:
        try:
            granted = submitted.result(
                gates.remaining_s(incoming.deadline) + ANSWER_GRACE_S
            )
        except TimeoutError:
            self._gate.withdraw(submitted)
            return result.Failure(_answer_timeout())
        match granted:
            case result.Failure(failure):
                return result.Failure(failure)
            case result.Success(slot):
                return self._call_with_retries(incoming, slot)
        raise AssertionError(granted)

    def _call_with_retries(
        self, incoming: IncomingCall, slot: controller.Slot
    ) -> order_messages.SendResult:
        try:
            tried: tuple[ids.WorkerId, ...] = ()
            while True:
                chosen = self._choose(incoming, frozenset(tried))
                if isinstance(chosen, result.Failure):
                    return result.Failure(chosen.failure())
                worker = chosen.unwrap()
                tried += (worker.id,)
                answer = self._send(worker, incoming, len(tried))
                if isinstance(answer, result.Success):
                    return answer.map(_to_stored_result)
                failure = self._final_failure(
                    incoming, answer.failure(), tried
                )
                if failure is not None:
                    return result.Failure(failure)
        finally:
            self._gate.release(slot, CALL_TOKENS)

    def _choose(
        self, incoming: IncomingCall, tried: frozenset[ids.WorkerId]
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker, waiting until the deadline if none is free."""
        while True:
            chosen = self._workers.choose_for(
                incoming.service,
                incoming.request_id,
                CALL_TOKENS,
                tried,
                requester=pool.Requester(incoming.account, incoming.rank),
            )
            left_s = gates.remaining_s(incoming.deadline)
            if isinstance(chosen, result.Success) or left_s == 0:
                return chosen
            time.sleep(min(WORKER_POLL_INTERVAL_S, left_s))

    def _final_failure(
        self,
        incoming: IncomingCall,
        failure: errors.Failure,
        tried: tuple[ids.WorkerId, ...],
    ) -> errors.Failure | None:
        """Return the failure for the caller, None if the call is retried."""
        decision = decide.decide(
            decide.FailedAttempt(failure, True, tried, incoming.deadline),
            time.monotonic(),
            self._workers.budget(incoming.service),
            self._workers.count_candidates(incoming.service, frozenset(tried)),
        )
        match decision:
            case decide.ReportFailure(reported):
                return reported
            case decide.Retry():
                allowed = self._workers.consume_retry(incoming.service)
                return None if allowed else failure
        raise AssertionError(decision)

    def _send(
        self, worker: types.Worker, incoming: IncomingCall, attempt: int
    ) -> http.HttpResult:
        with self._tracer.span(
            'dispatch',
            incoming.traceparent,
            request_id=incoming.request_id,
            worker=worker.id,
        ) as traceparent:
            answer = self._client.call(
                backends_client.service_request(
                    worker,
                    backends_client.ServiceCall(
                        request_id=incoming.request_id,
                        attempt=attempt,
                        method=incoming.method,
                        path=incoming.path,
                        body=incoming.body,
                        headers=incoming.headers,
                        idempotent=True,
                        timeout_s=max(
                            0.1, gates.remaining_s(incoming.deadline)
                        ),
                        idempotency_key=incoming.idempotency_key,
                        traceparent=traceparent,
                    ),
                )
            )
        self._workers.release(
            worker, incoming.request_id, isinstance(answer, result.Failure)
        )
        return answer


def _capacity(
    submitted: 'futures.Future[gates.SlotResult]',
    can_dispatch: Callable[[], bool],
    deadline: float,
) -> execute.CapacityFuture:
    """Return a future that completes when an order may be dispatched.

    That is when it has a slot and a worker with free capacity, because an
    order whose record is `dispatching` has no time to wait for a worker. At
    the deadline capacity is granted regardless; if there is still no worker,
    the order becomes `not_run`.
    """
    capacity: execute.CapacityFuture = futures.Future()

    def on_admission(done: 'futures.Future[gates.SlotResult]') -> None:
        granted = done.result()
        must_wait = isinstance(granted, result.Success) and not can_dispatch()
        if must_wait and time.monotonic() < deadline - WORKER_POLL_INTERVAL_S:
            timer = threading.Timer(
                WORKER_POLL_INTERVAL_S, on_admission, (done,)
            )
            timer.daemon = True
            timer.start()
            return
        capacity.set_result(granted.map(lambda slot: None))

    submitted.add_done_callback(on_admission)
    return capacity


def _to_stored_result(response: http.HttpResponse) -> record.StoredResult:
    names = response.headers_by_name
    return record.StoredResult(
        status=response.status,
        headers=tuple(
            (name, names[name])
            for name in FORWARDED_RESPONSE_HEADERS
            if name in names
        ),
        body=response.body,
        content_type=names.get('content-type', DEFAULT_CONTENT_TYPE),
    )


def _to_response(
    stored: record.StoredResult, request_id: ids.RequestId
) -> werkzeug.Response:
    response = werkzeug.Response(
        stored.body,
        stored.status,
        headers=list(stored.headers),
        content_type=stored.content_type,
    )
    response.headers['X-Request-Id'] = request_id
    return response


def _answer_timeout() -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.DEADLINE,
        errors.Step.READ_ANSWER,
        '',
        'no answer within the deadline',
        types.Outcome.UNKNOWN,
    )
