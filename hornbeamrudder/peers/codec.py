"""Encoding of messages: msgpack with a four-byte length before each."""

import dataclasses
import functools
import struct
import types as python_types
import typing
from typing import Any

import msgpack
from returns import result

from ..core import errors
from . import messages

# A Handover carries a whole answer; the HTTP body limit is the same.
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_ITEMS = 100_000
MAX_NAME_LENGTH = 256
MAX_INTEGER = 2**63 - 1
LENGTH = struct.Struct('>I')
ENVELOPE_ITEMS = 6

_NUMBER_BY_TYPE = {
    kind: number for number, kind in messages.TYPE_BY_NUMBER.items()
}
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    RecursionError,
    msgpack.UnpackException,
)


class _Malformed(ValueError):
    """Raised and caught inside this module only."""


def encode(
    envelope: messages.Envelope,
) -> result.Result[bytes, errors.Failure]:
    """Encode an envelope without its length."""
    try:
        body = msgpack.packb(
            [
                _NUMBER_BY_TYPE[type(envelope.message)],
                envelope.sender,
                envelope.incarnation,
                envelope.correlation,
                envelope.is_answer,
                _plain(envelope.message),
            ]
        )
    except (TypeError, ValueError, OverflowError, KeyError) as error:
        return _invalid(repr(error))
    if len(body) > MAX_FRAME_BYTES:
        return _invalid(f'{len(body)} bytes exceed {MAX_FRAME_BYTES}')
    return result.Success(body)


def frame(body: bytes) -> bytes:
    """Put the length before a body; an empty body is a keepalive."""
    return LENGTH.pack(len(body)) + body


def decode(body: bytes) -> result.Result[messages.Envelope, errors.Failure]:
    """Decode one envelope; any malformed input gives a failure."""
    if len(body) > MAX_FRAME_BYTES:
        return _invalid(f'{len(body)} bytes exceed {MAX_FRAME_BYTES}')
    try:
        raw = msgpack.unpackb(
            body,
            raw=False,
            use_list=True,
            strict_map_key=True,
            max_array_len=MAX_ITEMS,
            max_map_len=0,
            max_ext_len=0,
        )
        return result.Success(_envelope(raw))
    except _DECODE_ERRORS as error:
        return _invalid(f'{type(error).__name__}: {error}'[:200])


def _invalid(detail: str) -> result.Result[Any, errors.Failure]:
    return result.Failure(
        errors.Failure(
            errors.FailureKind.INVALID,
            errors.Step.PEER_EXCHANGE,
            '',
            detail,
        )
    )


def _plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return [
            _plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        ]
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return value


def _envelope(raw: Any) -> messages.Envelope:
    if not isinstance(raw, list) or len(raw) < ENVELOPE_ITEMS:
        raise _Malformed('not an envelope')
    number, sender, incarnation, correlation, is_answer, fields = raw[
        :ENVELOPE_ITEMS
    ]
    if type(number) is not int or number not in messages.TYPE_BY_NUMBER:
        raise _Malformed('unknown message type')
    if len(_typed(str, sender)) > MAX_NAME_LENGTH:
        raise _Malformed('sender name is too long')
    return messages.Envelope(
        sender,
        _typed(int, incarnation),
        _typed(messages.TYPE_BY_NUMBER[number], fields),
        _typed(int, correlation),
        _typed(bool, is_answer),
    )


@functools.cache
def _fields(kind: type) -> tuple[tuple[Any, bool], ...]:
    """Type of each field and whether it may be absent."""
    hints = typing.get_type_hints(kind)
    return tuple(
        (hints[field.name], field.default is not dataclasses.MISSING)
        for field in dataclasses.fields(kind)
    )


def _typed(kind: Any, value: Any) -> Any:
    """Check a decoded value against a type and build it."""
    while hasattr(kind, '__supertype__'):
        kind = kind.__supertype__
    if isinstance(kind, python_types.GenericAlias):
        return _tuple(typing.get_args(kind), value)
    if dataclasses.is_dataclass(kind):
        return _data_class(typing.cast(type, kind), value)
    if type(value) is not kind:
        raise _Malformed(
            f'{type(value).__name__} where {kind.__name__} is expected'
        )
    if kind is int and abs(value) > MAX_INTEGER:
        raise _Malformed('integer out of range')
    # A NaN time would make every comparison with a deadline false.
    if kind is float and not abs(value) < float('inf'):
        raise _Malformed('number is not finite')
    return value


def _tuple(item_kinds: tuple[Any, ...], value: Any) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise _Malformed('array is expected')
    if item_kinds[-1] is Ellipsis:
        return tuple(_typed(item_kinds[0], item) for item in value)
    if len(value) != len(item_kinds):
        raise _Malformed('wrong number of items')
    return tuple(
        _typed(kind, item)
        for kind, item in zip(item_kinds, value, strict=True)
    )


def _data_class(kind: type, value: Any) -> Any:
    if not isinstance(value, list):
        raise _Malformed('array of fields is expected')
    fields = _fields(kind)
    # Items beyond the known fields come from a later release.
    if any(not optional for _, optional in fields[len(value) :]):
        raise _Malformed(f'{kind.__name__} is incomplete')
    return kind(
        *(
            _typed(item_kind, item)
            for (item_kind, _), item in zip(fields, value, strict=False)
        )
    )
