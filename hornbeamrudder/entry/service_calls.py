"""Calls of plain services on behalf of callers."""

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

# Work of one call in the units of admission, which are tokens for engines.
CALL_TOKENS = 1.0
ANSWER_GRACE_S = 2.0
# Pause between two looks for a worker with room.
WORKER_PAUSE_S = 0.05
# Longest wait for the answer to an order; after it the outcome is unknown.
ORDER_TIMEOUT_S = 30.0
PASSED_RESPONSE_HEADERS = (
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
        Monotonic seconds.
    idempotent : bool
        Whether the call may run more than once.
    maybe_repeated : bool
        Whether an earlier attempt with the same key may have been made.
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
    """Sends an order once, on behalf of the order executor."""

    def __init__(
        self, client: http.HttpClient, workers: pool.NodeWorkerPool
    ) -> None:
        self._client = client
        self._workers = workers

    def send(
        self, request: record.StoredRequest, holder: record.Holder
    ) -> order_messages.SendResult:
        """Send to one worker; a failure tells whether it may have run."""
        # The record is `dispatching`, so that there is no time to wait here;
        # capacity was granted when a worker had room.
        chosen = self._workers.choose_for(
            request.service, request.request_id, CALL_TOKENS, frozenset()
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
                    timeout_s=ORDER_TIMEOUT_S,
                    idempotency_key=request.request_id,
                ),
            )
        )
        self._workers.release(
            worker, request.request_id, isinstance(answer, result.Failure)
        )
        return answer.map(_stored)


class ServiceCaller:
    """Serves plain calls of authenticated callers."""

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
        """Answer one call."""
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
        return self._call_once(incoming, submitted)

    def capacity_for(
        self, order: record.OrderRecord
    ) -> execute.CapacityFuture:
        """Ask for a slot for an order taken over from another node."""
        assert order.request is not None
        submitted = self._gate.submit(
            types.Rank.STANDARD,
            order.account,
            order.request.service,
            CALL_TOKENS,
            time.monotonic() + order.deadline_wall - time.time(),
            limited=False,
        )
        # The slot is only a permission to start; recovery is rare, so that
        # it is given back at once.
        self._gate.withdraw(submitted)
        return _capacity(submitted, lambda: True, 0.0)

    def _call_once(
        self,
        incoming: IncomingCall,
        submitted: 'futures.Future[gates.SlotResult]',
    ) -> order_messages.SendResult:
        timeout_s = gates.remaining_s(incoming.deadline)
        replied = self._orders.submit(
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
                lambda: self._workers.has_room(
                    incoming.service,
                    pool.Client(incoming.account, incoming.rank),
                ),
                incoming.deadline,
            ),
        )
        try:
            reply = replied.result(timeout_s + ANSWER_GRACE_S)
            if incoming.maybe_repeated and not reply.recorded:
                return reply.answer.alt(problems.of_repeated_order)
            return reply.answer
        except TimeoutError:
            return result.Failure(_no_answer_in_time())
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
            return result.Failure(_no_answer_in_time())
        match granted:
            case result.Failure(failure):
                return result.Failure(failure)
            case result.Success(slot):
                return self._attempt_until(incoming, slot)
        raise AssertionError(granted)

    def _attempt_until(
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
                    return answer.map(_stored)
                failure = self._failure_to_tell(
                    incoming, answer.failure(), tried
                )
                if failure is not None:
                    return result.Failure(failure)
        finally:
            self._gate.release(slot, CALL_TOKENS)

    def _choose(
        self, incoming: IncomingCall, tried: frozenset[ids.WorkerId]
    ) -> result.Result[types.Worker, errors.Failure]:
        """Choose a worker, and wait for one within the deadline."""
        while True:
            chosen = self._workers.choose_for(
                incoming.service,
                incoming.request_id,
                CALL_TOKENS,
                tried,
                client=pool.Client(incoming.account, incoming.rank),
            )
            left_s = gates.remaining_s(incoming.deadline)
            if isinstance(chosen, result.Success) or left_s == 0:
                return chosen
            time.sleep(min(WORKER_PAUSE_S, left_s))

    def _failure_to_tell(
        self,
        incoming: IncomingCall,
        failure: errors.Failure,
        tried: tuple[ids.WorkerId, ...],
    ) -> errors.Failure | None:
        """Failure for the caller, None where the call is tried again."""
        decision = decide.decide(
            decide.FailedAttempt(failure, True, tried, incoming.deadline),
            time.monotonic(),
            self._workers.budget(incoming.service),
            self._workers.candidates(incoming.service, frozenset(tried)),
        )
        match decision:
            case decide.ReportFailure(told):
                return told
            case decide.Retry():
                taken = self._workers.take_retry(incoming.service)
                return None if taken else failure
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
    has_room: Callable[[], bool],
    deadline: float,
) -> execute.CapacityFuture:
    """Capacity for an order, once it has a slot and a worker has room.

    An order whose record is `dispatching` has no time to wait for a worker.
    At the deadline the capacity is granted in any case; without a worker
    the order then becomes `not_run`.
    """
    capacity: execute.CapacityFuture = futures.Future()

    def settle(done: 'futures.Future[gates.SlotResult]') -> None:
        granted = done.result()
        waits = isinstance(granted, result.Success) and not has_room()
        if waits and time.monotonic() < deadline - WORKER_PAUSE_S:
            timer = threading.Timer(WORKER_PAUSE_S, settle, (done,))
            timer.daemon = True
            timer.start()
            return
        capacity.set_result(granted.map(lambda slot: None))

    submitted.add_done_callback(settle)
    return capacity


def _stored(response: http.HttpResponse) -> record.StoredResult:
    names = response.headers_by_name
    return record.StoredResult(
        status=response.status,
        headers=tuple(
            (name, names[name])
            for name in PASSED_RESPONSE_HEADERS
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


def _no_answer_in_time() -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.DEADLINE,
        errors.Step.READ_ANSWER,
        '',
        'no answer within the deadline',
        types.Outcome.UNKNOWN,
    )
