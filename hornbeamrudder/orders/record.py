"""Order record: immutable data, its state machine and its row form."""

import base64
import binascii
import dataclasses
import enum
import math
from typing import Any, Union

from returns import result

from ..core import errors
from ..core import hashing
from ..core import ids

KEY_PREFIX = 'order/'
FORMAT = 1

RecordResult = result.Result['OrderRecord', errors.Failure]


class OrderState(enum.Enum):
    """State of an order; the last three are final."""

    ACCEPTED = 'accepted'
    DISPATCHING = 'dispatching'
    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


FINAL_STATES = frozenset(
    (OrderState.DONE, OrderState.NOT_RUN, OrderState.UNKNOWN)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The attempt that may change a record, and the node that makes it."""

    attempt: ids.AttemptId
    node: ids.NodeId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRequest:
    """Everything another node needs to send the request."""

    service: ids.ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: ids.RequestId

    def digest(self) -> str:
        """Digest that tells whether a key is used for another request."""
        head = '\0'.join((self.service, self.method, self.path, ''))
        return hashing.digest(head.encode() + self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResult:
    """Answer of the backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRecord:
    """One non-idempotent request.

    Attributes
    ----------
    deadline_wall, changed_wall : float
        Deadline of the caller and time of the last transition, in seconds
        since the epoch.
    request : StoredRequest or None
        None in final states, where no node needs the request any more.
    result : StoredResult or None
        Set only in state DONE.
    fencing : int
        Fencing number of the recovery lease under which the last change was
        made; 0 for a change by the node that serves the caller.
    """

    state: OrderState
    account: ids.AccountId
    digest: str
    holder: Holder
    deadline_wall: float
    changed_wall: float
    request: StoredRequest | None
    result: StoredResult | None = None
    fencing: ids.FencingNumber = ids.FencingNumber(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The holder is about to send the request."""

    attempt: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """Another node becomes the holder of an accepted record."""

    holder: Holder
    fencing: ids.FencingNumber
    dispatching: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """The holder received the answer."""

    attempt: ids.AttemptId
    result: StoredResult


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """The request was not sent and will not be sent."""

    attempt: ids.AttemptId
    fencing: ids.FencingNumber = ids.FencingNumber(0)


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The request may have been sent and there is no answer."""

    fencing: ids.FencingNumber = ids.FencingNumber(0)


Transition = Union[Dispatch, TakeOver, Finish, Reject, GiveUp]


def row_key(account: ids.AccountId, idempotency_key: str) -> str:
    """Key of the table row for a caller's key.

    The account is hashed where it could contain the separator.
    """
    name = account.replace('%', '%25').replace('/', '%2F')
    return f'{KEY_PREFIX}{name}/{hashing.digest(idempotency_key.encode())}'


def transition(
    record: OrderRecord, change: Transition, wall: float
) -> RecordResult:
    """Apply a transition, or say why the state machine forbids it."""
    if not allowed(record, change):
        return result.Failure(
            errors.Failure(
                errors.FailureKind.CONFLICT,
                errors.Step.RECORD_ORDER,
                record.holder.node,
                f'{type(change).__name__} in state {record.state.value}',
            )
        )
    match change:
        case Dispatch():
            after = dataclasses.replace(record, state=OrderState.DISPATCHING)
        case TakeOver(holder, fencing, dispatching):
            state = (
                OrderState.DISPATCHING if dispatching else OrderState.ACCEPTED
            )
            after = dataclasses.replace(
                record, state=state, holder=holder, fencing=fencing
            )
        case Finish(_, answer):
            after = dataclasses.replace(
                record, state=OrderState.DONE, request=None, result=answer
            )
        case Reject(_, fencing):
            after = dataclasses.replace(
                record,
                state=OrderState.NOT_RUN,
                request=None,
                fencing=fencing,
            )
        case GiveUp(fencing):
            after = dataclasses.replace(
                record,
                state=OrderState.UNKNOWN,
                request=None,
                fencing=fencing,
            )
    return result.Success(dataclasses.replace(after, changed_wall=wall))


def allowed(record: OrderRecord, change: Transition) -> bool:
    """Whether the state machine permits `change`.

    An accepted record was not sent, and its holder needs one more
    compare-and-set before sending, so any node may take it over or reject
    it. A dispatching record may have been sent: only its holder knows that
    it was not, and all others may only give up.
    """
    own = record.holder.attempt
    match record.state, change:
        case OrderState.ACCEPTED, Dispatch(attempt):
            return attempt == own
        case OrderState.ACCEPTED, TakeOver() | Reject():
            return True
        case OrderState.DISPATCHING, Finish(attempt) | Reject(attempt):
            return attempt == own
        case OrderState.DISPATCHING, GiveUp():
            return True
    return False


def to_row(record: OrderRecord) -> dict[str, Any]:
    """Convert a record to the JSON value of its row."""
    request = record.request
    answer = record.result
    return {
        'format': FORMAT,
        'state': record.state.value,
        'account': record.account,
        'digest': record.digest,
        'attempt': record.holder.attempt,
        'node': record.holder.node,
        'incarnation': record.holder.incarnation,
        'deadline': record.deadline_wall,
        'changed': record.changed_wall,
        'fencing': record.fencing,
        'request': None
        if request is None
        else {
            'service': request.service,
            'method': request.method,
            'path': request.path,
            'headers': [list(header) for header in request.headers],
            'body': base64.b64encode(request.body).decode(),
            'request_id': request.request_id,
        },
        'result': None
        if answer is None
        else {
            'status': answer.status,
            'headers': [list(header) for header in answer.headers],
            'body': base64.b64encode(answer.body).decode(),
            'content_type': answer.content_type,
        },
    }


def from_row(value: Any) -> RecordResult:
    """Check and convert the JSON value of a row."""
    try:
        return result.Success(_parse(value))
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        return result.Failure(
            errors.Failure(
                errors.FailureKind.INVALID,
                errors.Step.RECORD_ORDER,
                '',
                f'order record: {error!r}',
            )
        )


def _parse(value: Any) -> OrderRecord:
    if value['format'] != FORMAT:
        raise ValueError(f'format {value["format"]!r}')
    state = OrderState(value['state'])
    record = OrderRecord(
        state=state,
        account=ids.AccountId(_text(value, 'account')),
        digest=_text(value, 'digest'),
        holder=Holder(
            ids.AttemptId(_text(value, 'attempt')),
            ids.NodeId(_text(value, 'node')),
            ids.Incarnation(_whole(value, 'incarnation')),
        ),
        deadline_wall=_seconds(value, 'deadline'),
        changed_wall=_seconds(value, 'changed'),
        request=_request(value['request']),
        result=_answer(value['result']),
        fencing=ids.FencingNumber(_whole(value, 'fencing')),
    )
    if (record.request is None) != (state in FINAL_STATES):
        raise ValueError(f'request present or absent in {state.value}')
    if (record.result is None) == (state is OrderState.DONE):
        raise ValueError(f'result present or absent in {state.value}')
    return record


def _request(value: Any) -> StoredRequest | None:
    if value is None:
        return None
    return StoredRequest(
        ids.ServiceName(_text(value, 'service')),
        _text(value, 'method'),
        _text(value, 'path'),
        _headers(value),
        base64.b64decode(_text(value, 'body'), validate=True),
        ids.RequestId(_text(value, 'request_id')),
    )


def _answer(value: Any) -> StoredResult | None:
    if value is None:
        return None
    return StoredResult(
        _whole(value, 'status'),
        _headers(value),
        base64.b64decode(_text(value, 'body'), validate=True),
        _text(value, 'content_type'),
    )


def _headers(value: Any) -> tuple[tuple[str, str], ...]:
    headers = tuple((name, text) for name, text in value['headers'])
    if not all(isinstance(part, str) for item in headers for part in item):
        raise TypeError('header is no text')
    return headers


def _text(value: Any, name: str) -> str:
    if not isinstance(value[name], str):
        raise TypeError(f'{name} is no text')
    return value[name]


def _whole(value: Any, name: str) -> int:
    if type(value[name]) is not int:
        raise TypeError(f'{name} is no whole number')
    return value[name]


def _seconds(value: Any, name: str) -> float:
    if type(value[name]) not in (int, float):
        raise TypeError(f'{name} is no number')
    if not math.isfinite(value[name]):
        raise ValueError(f'{name} is not finite')
    return float(value[name])
