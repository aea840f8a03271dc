"""Callers of a deployment that check what they are given.

A caller behaves as the interface asks of it: it comes back with its request
id and `Last-Event-ID` when a stream ends without its end mark, and tries a
call again with the same `Idempotency-Key` when the outcome allows it.
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

RETRY_PAUSE_S = 0.2
CALL_TIMEOUT_S = 60.0
# A stream is followed only as long as its pieces, keep-alive comments
# included, go on arriving.
SILENCE_TIMEOUT_S = 12.0
# An answer that no node has had for this long is asked for anew; a hand-over
# of a leaving node takes at most its margin of 3 s.
MISSING_LIMIT_S = 4.0
FINAL_STATUSES = frozenset((400, 401, 404, 413, 422))


class CallEnd(enum.Enum):
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'
    FAILED = 'failed'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One call from its start to its end; times are monotonic seconds.

    Attributes
    ----------
    first_token_s : float or None
        Time from the start to the first token.
    token_gaps_s : tuple of float
        Times between tokens as they arrived.
    connections : int
        Number of requests that the caller sent for it.
    restarts : int
        Times that no node had the answer and the request began anew.
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
    """Who calls: account, bearer token and rank of the work."""

    account: str
    token: str
    rank: types.Rank


class _Stream:
    """What has arrived of one answer over all connections."""

    def __init__(self) -> None:
        self.request_id = ''
        self.texts_by_offset: dict[int, str] = {}
        self.arrivals: list[float] = []
        self.done = False
        self.doubled = 0
        self.problem = b''
        self._rest = b''

    def begin_connection(self) -> None:
        """Drop the torn end of the connection before."""
        self._rest = b''

    def feed(self, response: http.HttpResponse, chunk: bytes) -> None:
        """Take bytes as they arrive."""
        self.request_id = http.header(response.headers_by_name, 'X-Request-Id')
        *found, self._rest = (self._rest + chunk).split(events.EVENT_END)
        for event in found:
            self._take(event)

    @property
    def next_offset(self) -> int:
        """Offset of the next event that is missing."""
        return len(self.texts_by_offset)

    @property
    def text(self) -> str:
        """The text that has arrived."""
        return ''.join(
            text for _, text in sorted(self.texts_by_offset.items())
        )

    def _take(self, event: bytes) -> None:
        if event == events.DONE_EVENT:
            self.done = True
        elif event.startswith(b'event: error'):
            self.problem = event.partition(b'data: ')[2]
        elif event.startswith(b'id: '):
            head, _, data = event.partition(b'\ndata: ')
            offset = int(head.rpartition(b':')[2])
            if offset in self.texts_by_offset:
                self.doubled += 1
            choices = orjson.loads(data)['choices']
            self.texts_by_offset[offset] = choices[0]['delta'].get(
                'content', ''
            )
            self.arrivals.append(time.monotonic())


class Addresses(Protocol):
    """Chooses the entry address of a call."""

    def pick(self) -> types.Address:
        """Return the address for one call."""


class Caller:
    """Makes calls through a list of entry addresses."""

    def __init__(
        self,
        client: http.HttpClient,
        addresses: Addresses,
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
        """Ask for an answer as a stream and follow it to its end."""
        started_at = time.monotonic()
        deadline = started_at + timeout_s
        stream = _Stream()
        body = orjson.dumps(
            {
                'model': model,
                'stream': True,
                'max_tokens': max_tokens,
                'messages': [{'role': 'user', 'content': prompt}],
            }
        )
        end, detail = CallEnd.LOST, 'time limit of the caller'
        missing_since: float | None = None
        restarts = 0
        for connection in itertools.count(1):
            answer = self._follow(identity, stream, body, key, deadline)
            decided = _stream_end(stream, answer)
            if decided is not None:
                end, detail = decided
                break
            now = time.monotonic()
            if now > deadline:
                break
            if not _is_missing(answer):
                missing_since = None
            elif missing_since is None:
                missing_since = now
            elif now - missing_since > MISSING_LIMIT_S:
                # Its node was killed: the request starts anew.
                stream, missing_since = _Stream(), None
                restarts += 1
            time.sleep(RETRY_PAUSE_S)
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
        """Call a plain service; tries again with the same key.

        The path ends with the key, by which the runs are counted. The call
        states the number of its attempt, so that `not run` can be believed
        at the first one; an unknown outcome with `Retry-After` is asked for
        again until the time limit.
        """
        started_at = time.monotonic()
        deadline = started_at + timeout_s
        end, detail, text = CallEnd.LOST, 'time limit of the caller', ''
        attempt = 1
        for connection in itertools.count(1):
            headers = _headers(identity, key)
            answer = self._client.call(
                http.HttpRequest(
                    method=method,
                    peer=str(self._address()),
                    path=f'/v1/services/{service}{path}/{key}',
                    step=errors.Step.DISPATCH,
                    headers=(*headers, ('Idempotency-Attempt', str(attempt))),
                    body=body,
                    first_byte_timeout_s=SILENCE_TIMEOUT_S,
                )
            )
            decided = _call_end(answer)
            if decided is not None:
                end, detail, text = decided
                if not _may_ask_again(end, answer):
                    break
            attempt += not _not_sent(answer)
            if time.monotonic() > deadline:
                break
            time.sleep(RETRY_PAUSE_S)
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

    def _follow(
        self,
        identity: Identity,
        stream: _Stream,
        body: bytes,
        key: str,
        deadline: float,
    ) -> http.HttpResult:
        stream.begin_connection()
        headers = _headers(identity, key)
        resumed = bool(stream.request_id)
        if resumed:
            last = f'{stream.request_id}:{stream.next_offset - 1}'
            headers += (('Accept', 'text/event-stream'),)
            if stream.next_offset:
                headers += (('Last-Event-ID', last),)
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
                first_byte_timeout_s=SILENCE_TIMEOUT_S,
                between_bytes_timeout_s=SILENCE_TIMEOUT_S,
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


def _stream_end(
    stream: _Stream, answer: http.HttpResult
) -> tuple[CallEnd, str] | None:
    if stream.done:
        if stream.doubled:
            return CallEnd.FAILED, f'{stream.doubled} tokens came twice'
        return CallEnd.ANSWERED, ''
    if stream.problem:
        return CallEnd.FAILED, stream.problem.decode()
    match answer:
        case result.Success(response) if response.status == 200:
            return None
        case result.Success(response) if stream.request_id:
            # The answer may be on its way to another node.
            final = response.status in FINAL_STATUSES - {404}
            return (CallEnd.FAILED, _detail(response)) if final else None
        case result.Success(response):
            return _refusal(response)
        case _:
            return None


def _refusal(response: http.HttpResponse) -> tuple[CallEnd, str] | None:
    outcome = _outcome(response)
    if outcome == types.Outcome.UNKNOWN.value:
        return CallEnd.UNKNOWN, _detail(response)
    if outcome == types.Outcome.NOT_RUN.value:
        return CallEnd.NOT_RUN, _detail(response)
    return CallEnd.FAILED, _detail(response)


def _call_end(
    answer: http.HttpResult,
) -> tuple[CallEnd, str, str] | None:
    match answer:
        case result.Success(response) if response.status < 300:
            return CallEnd.ANSWERED, '', response.body.decode()
        case result.Success(response):
            refusal = _refusal(response)
            return None if refusal is None else (*refusal, '')
        case _:
            return None


def _is_missing(answer: http.HttpResult) -> bool:
    return isinstance(answer, result.Success) and (
        answer.unwrap().status == 404
    )


def _may_ask_again(end: CallEnd, answer: http.HttpResult) -> bool:
    return (
        end is CallEnd.UNKNOWN
        and isinstance(answer, result.Success)
        and 'retry-after' in answer.unwrap().headers_by_name
    )


def _not_sent(answer: http.HttpResult) -> bool:
    return (
        isinstance(answer, result.Failure)
        and answer.failure().kind is errors.FailureKind.NOT_CONNECTED
    )


def _outcome(response: http.HttpResponse) -> str:
    try:
        outcome = orjson.loads(response.body).get('outcome', '')
        return outcome if isinstance(outcome, str) else ''
    except (orjson.JSONDecodeError, AttributeError):
        return ''


def _detail(response: http.HttpResponse) -> str:
    return f'{response.status} {response.body[:300].decode(errors="replace")}'
