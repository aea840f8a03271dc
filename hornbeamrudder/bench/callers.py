"""Test clients of a deployment that check the responses they receive.

A caller follows the retry rules of the interface: it resumes a stream that
ends without an end-of-stream event by its request id and `Last-Event-ID`, and
retries a call with the same `Idempotency-Key` if the outcome allows it.
"""

import dataclasses
import enum
import itertools
import time
from typing import Protocol

import orjson
from returns import result

from ..answers import events
from ..core import errors
from ..core import types
from ..infrastructure import http

RETRY_DELAY_S = 0.2
CALL_TIMEOUT_S = 60.0
# A connection is dropped if it receives no bytes for this long; keep-alive
# comments count as bytes.
IDLE_TIMEOUT_S = 12.0
# The request is started again if nodes answer 404 for this long. The handover
# by a leaving node takes at most its margin of 3 s.
NOT_FOUND_TIMEOUT_S = 4.0
FINAL_STATUSES = frozenset((400, 401, 404, 413, 422))
MAX_DETAIL_BYTES = 300


class CallEnd(enum.Enum):
    """Final result of a call as seen by its caller."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'
    FAILED = 'failed'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One call with its result; times are monotonic seconds.

    Attributes
    ----------
    first_token_s : float or None
        Time from the start to the first token.
    token_gaps_s : tuple of float
        Intervals between the arrivals of consecutive tokens.
    connections : int
        Number of HTTP requests that the caller sent for this call.
    restarts : int
        Number of times that the request was started again because no node
        had its answer.
    """

    key: str
    account: str
    rank: types.Rank
    started_at: float
    ended_at: float
    end: CallEnd
    text: str = ''
    first_token_s: float | None = None
    token_gaps_s: tuple[float, ...] = ()
    connections: int = 1
    restarts: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Credentials of a caller and the rank of its requests."""

    account: str
    token: str
    rank: types.Rank


class _ReceivedStream:
    """Events of one answer received over all its connections."""

    def __init__(self) -> None:
        self.request_id = ''
        self.texts_by_offset: dict[int, str] = {}
        self.arrivals: list[float] = []
        self.done = False
        self.duplicates = 0
        self.error_body = b''
        self._buffer = b''

    def start_connection(self) -> None:
        """Discard an incomplete event of the previous connection."""
        self._buffer = b''

    def feed(self, response: http.HttpResponse, chunk: bytes) -> None:
        """Parse a received chunk."""
        self.request_id = http.header(response.headers_by_name, 'X-Request-Id')
        *complete, self._buffer = (self._buffer + chunk).split(
            events.EVENT_END
        )
        for event in complete:
            self._handle_event(event)

    @property
    def next_offset(self) -> int:
        """Offset of the next expected event."""
        return len(self.texts_by_offset)

    @property
    def text(self) -> str:
        """Text received so far."""
        return ''.join(
            text for _, text in sorted(self.texts_by_offset.items())
        )

    def _handle_event(self, event: bytes) -> None:
        if event == events.DONE_EVENT:
            self.done = True
        elif event.startswith(b'event: error'):
            self.error_body = event.partition(b'data: ')[2]
        elif event.startswith(b'id: '):
            head, _, data = event.partition(b'\ndata: ')
            offset = int(head.rpartition(b':')[2])
            if offset in self.texts_by_offset:
                self.duplicates += 1
            choices = orjson.loads(data)['choices']
            self.texts_by_offset[offset] = choices[0]['delta'].get(
                'content', ''
            )
            self.arrivals.append(time.monotonic())


class AddressSelector(Protocol):
    """Selects the entry address of each call."""

    def pick(self) -> types.Address:
        """Return the address for one call."""


class Caller:
    """Sends calls to the entry addresses of a deployment."""

    def __init__(
        self,
        client: http.HttpClient,
        addresses: AddressSelector,
    ) -> None:
        self._client = client
        self._addresses = addresses

    def stream(
        self,
        identity: Identity,
        model: str,
        prompt: str,
        max_tokens: int,
        timeout_s: float = CALL_TIMEOUT_S,
        key: str = '',
    ) -> CallRecord:
        """Request a streamed answer and read it until it is complete."""
        started_at = time.monotonic()
        deadline = started_at + timeout_s
        stream = _ReceivedStream()
        body = orjson.dumps(
            {
                'model': model,
                'stream': True,
                'max_tokens': max_tokens,
                'messages': [{'role': 'user', 'content': prompt}],
            }
        )
        end, detail = CallEnd.LOST, 'no complete answer before timeout'
        not_found_since: float | None = None
        restarts = 0
        for connection in itertools.count(1):
            http_result = self._receive(identity, stream, body, key, deadline)
            finished = _stream_outcome(stream, http_result)
            if finished is not None:
                end, detail = finished
                break
            now = time.monotonic()
            if now > deadline:
                break
            if not _is_not_found(http_result):
                not_found_since = None
            elif not_found_since is None:
                not_found_since = now
            elif now - not_found_since > NOT_FOUND_TIMEOUT_S:
                # The node that had the answer was killed.
                stream, not_found_since = _ReceivedStream(), None
                restarts += 1
            time.sleep(RETRY_DELAY_S)
        return CallRecord(
            key=key or prompt,
            account=identity.account,
            rank=identity.rank,
            started_at=started_at,
            ended_at=time.monotonic(),
            end=end,
            text=stream.text,
            first_token_s=(
                stream.arrivals[0] - started_at if stream.arrivals else None
            ),
            token_gaps_s=tuple(
                later - earlier
                for earlier, later in itertools.pairwise(stream.arrivals)
            ),
            connections=connection,
            restarts=restarts,
            detail=detail,
        )

    def call_service(
        self,
        identity: Identity,
        service: str,
        method: str,
        path: str,
        key: str,
        body: bytes = b'{}',
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> CallRecord:
        """Call a plain service, with retries under the same key.

        The path ends with the key, by which executions are counted. The
        attempt number is sent so that the node can answer "not run" with
        certainty on a first attempt. A call with an unknown outcome and
        `Retry-After` is repeated until the timeout.
        """
        started_at = time.monotonic()
        deadline = started_at + timeout_s
        end, detail, text = (
            CallEnd.LOST,
            'no complete answer before timeout',
            '',
        )
        attempt = 1
        for connection in itertools.count(1):
            headers = _headers(identity, key)
            http_result = self._client.call(
                http.HttpRequest(
                    method=method,
                    peer=str(self._address()),
                    path=f'/v1/services/{service}{path}/{key}',
                    step=errors.Step.DISPATCH,
                    headers=(*headers, ('Idempotency-Attempt', str(attempt))),
                    body=body,
                    first_byte_timeout_s=IDLE_TIMEOUT_S,
                )
            )
            finished = _call_outcome(http_result)
            if finished is not None:
                end, detail, text = finished
                if not _may_retry(end, http_result):
                    break
            attempt += not _failed_to_connect(http_result)
            if time.monotonic() > deadline:
                break
            time.sleep(RETRY_DELAY_S)
        return CallRecord(
            key=key,
            account=identity.account,
            rank=identity.rank,
            started_at=started_at,
            ended_at=time.monotonic(),
            end=end,
            text=text,
            connections=connection,
            detail=detail,
        )

    def _address(self) -> types.Address:
        return self._addresses.pick()

    def _receive(
        self,
        identity: Identity,
        stream: _ReceivedStream,
        body: bytes,
        key: str,
        deadline: float,
    ) -> http.HttpResult:
        stream.start_connection()
        headers = _headers(identity, key)
        resumed = bool(stream.request_id)
        if resumed:
            last_event_id = f'{stream.request_id}:{stream.next_offset - 1}'
            headers += (('Accept', 'text/event-stream'),)
            if stream.next_offset:
                headers += (('Last-Event-ID', last_event_id),)
        return self._client.start(
            http.HttpRequest(
                method='GET' if resumed else 'POST',
                peer=str(self._address()),
                path=(
                    f'/v1/requests/{stream.request_id}'
                    if resumed
                    else '/v1/chat/completions'
                ),
                step=errors.Step.READ_ANSWER,
                headers=headers,
                body=b'' if resumed else body,
                first_byte_timeout_s=IDLE_TIMEOUT_S,
                between_bytes_timeout_s=IDLE_TIMEOUT_S,
                total_timeout_s=max(0.1, deadline - time.monotonic()),
            ),
            stream.feed,
        ).future.result()


def _headers(identity: Identity, key: str) -> tuple[tuple[str, str], ...]:
    headers = (
        ('Authorization', f'Bearer {identity.token}'),
        ('Content-Type', 'application/json'),
    )
    return headers + ((('Idempotency-Key', key),) if key else ())


def _stream_outcome(
    stream: _ReceivedStream, http_result: http.HttpResult
) -> tuple[CallEnd, str] | None:
    if stream.done:
        if stream.duplicates:
            return (
                CallEnd.FAILED,
                f'{stream.duplicates} duplicate tokens received',
            )
        return CallEnd.ANSWERED, ''
    if stream.error_body:
        return CallEnd.FAILED, stream.error_body.decode()
    match http_result:
        case result.Success(response) if response.status == 200:
            return None
        case result.Success(response) if stream.request_id:
            # A handover of the answer to another node may be in progress.
            is_final = response.status in FINAL_STATUSES - {404}
            return (CallEnd.FAILED, _detail(response)) if is_final else None
        case result.Success(response):
            return _error_outcome(response)
        case _:
            return None


def _error_outcome(response: http.HttpResponse) -> tuple[CallEnd, str] | None:
    outcome = _stated_outcome(response)
    if outcome == types.Outcome.UNKNOWN.value:
        return CallEnd.UNKNOWN, _detail(response)
    if outcome == types.Outcome.NOT_RUN.value:
        return CallEnd.NOT_RUN, _detail(response)
    return CallEnd.FAILED, _detail(response)


def _call_outcome(
    http_result: http.HttpResult,
) -> tuple[CallEnd, str, str] | None:
    match http_result:
        case result.Success(response) if response.status < 300:
            return CallEnd.ANSWERED, '', response.body.decode()
        case result.Success(response):
            error = _error_outcome(response)
            return None if error is None else (*error, '')
        case _:
            return None


def _is_not_found(http_result: http.HttpResult) -> bool:
    return isinstance(http_result, result.Success) and (
        http_result.unwrap().status == 404
    )


def _may_retry(end: CallEnd, http_result: http.HttpResult) -> bool:
    return (
        end is CallEnd.UNKNOWN
        and isinstance(http_result, result.Success)
        and 'retry-after' in http_result.unwrap().headers_by_name
    )


def _failed_to_connect(http_result: http.HttpResult) -> bool:
    return (
        isinstance(http_result, result.Failure)
        and http_result.failure().kind is errors.FailureKind.NOT_CONNECTED
    )


def _stated_outcome(response: http.HttpResponse) -> str:
    try:
        outcome = orjson.loads(response.body).get('outcome', '')
        return outcome if isinstance(outcome, str) else ''
    except (orjson.JSONDecodeError, AttributeError):
        return ''


def _detail(response: http.HttpResponse) -> str:
    body = response.body[:MAX_DETAIL_BYTES].decode(errors='replace')
    return f'{response.status} {body}'
