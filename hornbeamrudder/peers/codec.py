"""Wire format of peer messages: msgpack frames with a 4-byte length prefix."""

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

# A Handover carries a complete answer, so this equals the HTTP body limit.
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_ARRAY_ITEMS = 100_000
MAX_NAME_LENGTH = 256
MAX_INTEGER = 2**63 - 1
LENGTH_PREFIX = struct.Struct('>I')
ENVELOPE_FIELD_COUNT = 6

_NUMBER_BY_TYPE = {
    value_type: number
    for number, value_type in messages.TYPE_BY_NUMBER.items()
}
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    RecursionError,
    msgpack.UnpackException,
)


class _MalformedMessage(ValueError):
    """A decoded value does not match the message types.

    Raised and caught inside this module only.
    """


def encode(
    envelope: messages.Envelope,
) -> result.Result[bytes, errors.Failure]:
    """Encode an envelope, without the length prefix."""
    try:
        body = msgpack.packb(
            [
                _NUMBER_BY_TYPE[type(envelope.message)],
                envelope.sender,
                envelope.incarnation,
                envelope.correlation,
                envelope.is_answer,
                _to_wire(envelope.message),
            ]
        )
    except (TypeError, ValueError, OverflowError, KeyError) as error:
        return _invalid(repr(error))
    if len(body) > MAX_FRAME_BYTES:
        return _invalid(f'{len(body)} bytes exceed {MAX_FRAME_BYTES}')
    return result.Success(body)


def frame(body: bytes) -> bytes:
    """Add the length prefix to a body; an empty body is a keepalive."""
    return LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> result.Result[messages.Envelope, errors.Failure]:
    """Decode one envelope; malformed input returns a failure."""
    if len(body) > MAX_FRAME_BYTES:
        return _invalid(f'{len(body)} bytes exceed {MAX_FRAME_BYTES}')
    try:
        raw = msgpack.unpackb(
            body,
            raw=False,
            use_list=True,
            strict_map_key=True,
            max_array_len=MAX_ARRAY_ITEMS,
            max_map_len=0,
            max_ext_len=0,
        )
        return result.Success(_parse_envelope(raw))
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


def _to_wire(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return [
            _to_wire(getattr(value, field.name))
            for field in dataclasses.fields(value)
        ]
    if isinstance(value, tuple):
        return [_to_wire(item) for item in value]
    return value


def _parse_envelope(raw: Any) -> messages.Envelope:
    if not isinstance(raw, list) or len(raw) < ENVELOPE_FIELD_COUNT:
        raise _MalformedMessage('not an envelope')
    number, sender, incarnation, correlation, is_answer, fields = raw[
        :ENVELOPE_FIELD_COUNT
    ]
    if type(number) is not int or number not in messages.TYPE_BY_NUMBER:
        raise _MalformedMessage('unknown message type')
    if len(_parse_value(str, sender)) > MAX_NAME_LENGTH:
        raise _MalformedMessage('sender name is too long')
    return messages.Envelope(
        sender,
        _parse_value(int, incarnation),
        _parse_value(messages.TYPE_BY_NUMBER[number], fields),
        _parse_value(int, correlation),
        _parse_value(bool, is_answer),
    )


@functools.cache
def _field_types(value_type: type) -> tuple[tuple[Any, bool], ...]:
    """Return the type of each field and whether the field is optional."""
    hints = typing.get_type_hints(value_type)
    return tuple(
        (hints[field.name], field.default is not dataclasses.MISSING)
        for field in dataclasses.fields(value_type)
    )


def _parse_value(value_type: Any, value: Any) -> Any:
    """Validate a decoded value against a type and convert it."""
    while hasattr(value_type, '__supertype__'):
        value_type = value_type.__supertype__
    if isinstance(value_type, python_types.GenericAlias):
        return _parse_tuple(typing.get_args(value_type), value)
    if dataclasses.is_dataclass(value_type):
        return _parse_dataclass(typing.cast(type, value_type), value)
    if type(value) is not value_type:
        raise _MalformedMessage(
            f'{type(value).__name__} where {value_type.__name__} is expected'
        )
    if value_type is int and abs(value) > MAX_INTEGER:
        raise _MalformedMessage('integer out of range')
    # Comparisons of a NaN time with a deadline would always be false.
    if value_type is float and not abs(value) < float('inf'):
        raise _MalformedMessage('number is not finite')
    return value


def _parse_tuple(item_types: tuple[Any, ...], value: Any) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise _MalformedMessage('array is expected')
    if item_types[-1] is Ellipsis:
        return tuple(_parse_value(item_types[0], item) for item in value)
    if len(value) != len(item_types):
        raise _MalformedMessage('wrong number of items')
    return tuple(
        _parse_value(value_type, item)
        for value_type, item in zip(item_types, value, strict=True)
    )


def _parse_dataclass(value_type: type, value: Any) -> Any:
    if not isinstance(value, list):
        raise _MalformedMessage('array of fields is expected')
    fields = _field_types(value_type)
    # Extra items are fields added by a later release.
    if any(not optional for _, optional in fields[len(value) :]):
        raise _MalformedMessage(f'{value_type.__name__} is incomplete')
    return value_type(
        *(
            _parse_value(item_type, item)
            for (item_type, _), item in zip(fields, value, strict=False)
        )
    )
