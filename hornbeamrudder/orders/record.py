"""Order record: data, state machine and conversion to and from a row."""

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
FORMAT_VERSION = 1

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
    """All that another node needs to send the request."""

    service: ids.ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: ids.RequestId

    def digest(self) -> str:
        """Return a digest that detects a key reused for another request."""
        head = '\0'.join((self.service, self.method, self.path, ''))
        return hashing.digest(head.encode() + self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResult:
    """Response of the backend server."""

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
        None in final states, since no node needs the request any more.
    result : StoredResult or None
        Set only in state DONE.
    fencing : int
        Fencing number of the recovery lease under which the record was last
        changed; 0 for a change by the node that serves the caller.
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
    """The holder received the response of the backend server."""

    attempt: ids.AttemptId
    result: StoredResult


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """The request has not been and will not be sent."""

    attempt: ids.AttemptId
    fencing: ids.FencingNumber = ids.FencingNumber(0)


@dataclasses.dataclass(frozen=True, slots=True)
class MarkUnknown:
    """The request may have been sent, and its result is unknown."""

    fencing: ids.FencingNumber = ids.FencingNumber(0)


Transition = Union[Dispatch, TakeOver, Finish, Reject, MarkUnknown]


def row_key(account: ids.AccountId, idempotency_key: str) -> str:
    """Return the key of the table row for an idempotency key.

    The separator is percent-encoded in the account, so that different
    accounts never share a row.
    """
    name = account.replace('%', '%25').replace('/', '%2F')
    return f'{KEY_PREFIX}{name}/{hashing.digest(idempotency_key.encode())}'


def transition(
    record: OrderRecord, change: Transition, wall_now: float
) -> RecordResult:
    """Apply a transition, or fail if the state machine forbids it."""
    if not is_allowed(record, change):
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
        case Finish(_, stored):
            after = dataclasses.replace(
                record, state=OrderState.DONE, request=None, result=stored
            )
        case Reject(_, fencing):
            after = dataclasses.replace(
                record,
                state=OrderState.NOT_RUN,
                request=None,
                fencing=fencing,
            )
        case MarkUnknown(fencing):
            after = dataclasses.replace(
                record,
                state=OrderState.UNKNOWN,
                request=None,
                fencing=fencing,
            )
    return result.Success(dataclasses.replace(after, changed_wall=wall_now))


def is_allowed(record: OrderRecord, change: Transition) -> bool:
    """Return whether the state machine permits `change`.

    An accepted order has not been sent, and its holder needs another
    compare-and-set before it may send it, so any node may take it over or
    reject it. A dispatching order may have been sent. Only its holder can know
    that it was not; all other nodes may only mark it as unknown.
    """
    holder_attempt = record.holder.attempt
    match record.state, change:
        case OrderState.ACCEPTED, Dispatch(attempt):
            return attempt == holder_attempt
        case OrderState.ACCEPTED, TakeOver() | Reject():
            return True
        case OrderState.DISPATCHING, Finish(attempt) | Reject(attempt):
            return attempt == holder_attempt
        case OrderState.DISPATCHING, MarkUnknown():
            return True
    return False


def to_row(record: OrderRecord) -> dict[str, Any]:
    """Convert a record to the JSON value of its row."""
    request = record.request
    stored = record.result
    return {
        'format': FORMAT_VERSION,
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
        if stored is None
        else {
            'status': stored.status,
            'headers': [list(header) for header in stored.headers],
            'body': base64.b64encode(stored.body).decode(),
            'content_type': stored.content_type,
        },
    }


def from_row(value: Any) -> RecordResult:
    """Validate and convert the JSON value of a row."""
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
    if value['format'] != FORMAT_VERSION:
        raise ValueError(f'format {value["format"]!r}')
    state = OrderState(value['state'])
    record = OrderRecord(
        state=state,
        account=ids.AccountId(_parse_string(value, 'account')),
        digest=_parse_string(value, 'digest'),
        holder=Holder(
            ids.AttemptId(_parse_string(value, 'attempt')),
            ids.NodeId(_parse_string(value, 'node')),
            ids.Incarnation(_parse_int(value, 'incarnation')),
        ),
        deadline_wall=_parse_seconds(value, 'deadline'),
        changed_wall=_parse_seconds(value, 'changed'),
        request=_parse_request(value['request']),
        result=_parse_result(value['result']),
        fencing=ids.FencingNumber(_parse_int(value, 'fencing')),
    )
    if (record.request is None) != (state in FINAL_STATES):
        raise ValueError(f'request present or absent in {state.value}')
    if (record.result is None) == (state is OrderState.DONE):
        raise ValueError(f'result present or absent in {state.value}')
    return record


def _parse_request(value: Any) -> StoredRequest | None:
    if value is None:
        return None
    return StoredRequest(
        ids.ServiceName(_parse_string(value, 'service')),
        _parse_string(value, 'method'),
        _parse_string(value, 'path'),
        _parse_headers(value),
        base64.b64decode(_parse_string(value, 'body'), validate=True),
        ids.RequestId(_parse_string(value, 'request_id')),
    )


def _parse_result(value: Any) -> StoredResult | None:
    if value is None:
        return None
    return StoredResult(
        _parse_int(value, 'status'),
        _parse_headers(value),
        base64.b64decode(_parse_string(value, 'body'), validate=True),
        _parse_string(value, 'content_type'),
    )


def _parse_headers(value: Any) -> tuple[tuple[str, str], ...]:
    headers = tuple((name, text) for name, text in value['headers'])
    if not all(isinstance(part, str) for item in headers for part in item):
        raise TypeError('header is no text')
    return headers


def _parse_string(value: Any, name: str) -> str:
    if not isinstance(value[name], str):
        raise TypeError(f'{name} is no text')
    return value[name]


def _parse_int(value: Any, name: str) -> int:
    if type(value[name]) is not int:
        raise TypeError(f'{name} is no whole number')
    return value[name]


def _parse_seconds(value: Any, name: str) -> float:
    if type(value[name]) not in (int, float):
        raise TypeError(f'{name} is no number')
    if not math.isfinite(value[name]):
        raise ValueError(f'{name} is not finite')
    return float(value[name])
