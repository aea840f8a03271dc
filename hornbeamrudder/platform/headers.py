"""Translates the platform's HTTP request and response headers."""

import math
from typing import Iterable

from ..core import ids
from ..gateway import messages

Header = tuple[bytes, bytes]

_PREFIX = b'x-hornbeamrudder-'
_REQUEST_ID = _PREFIX + b'request-id'
_REMAINING_MS = _PREFIX + b'deadline-remaining'
_EXPECT_INSTANCE = _PREFIX + b'expect-instance'
_TENANT = _PREFIX + b'tenant'
_PRIORITY = _PREFIX + b'request-priority'
_TOKEN_COUNTS = _PREFIX + b'token-counts'
_PROMPT_PREFIX = _PREFIX + b'prompt-prefix'
_LENGTH_HINT = _PREFIX + b'length-hint'
_SEAL = _PREFIX + b'response-seal'
_NOT_EXECUTED = _PREFIX + b'not-executed'
_SERVER_LOAD = _PREFIX + b'server-load'
_SERVER_LEAVING = b'server-leaving'
_RETRY_AFTER = b'retry-after'
_LAST_EVENT_ID = b'last-event-id'
_KV_SOURCE = b'kv-from'

# Headers that only this system may set; values from clients are dropped.
_RESERVED_HEADERS = frozenset(
    {
        _EXPECT_INSTANCE,
        _TENANT,
        _PRIORITY,
        _REMAINING_MS,
        _PREFIX + b'expect-version',
        _PREFIX + b'hold',
        _PREFIX + b'pin-ms',
        _PREFIX + b'kv-backup',
        _PREFIX + b'kv-from',
        _PREFIX + b'kv-fetch',
        _KV_SOURCE,
        b'kv-fetch',
        b'kv-backup',
        b'authorization',
    }
)
# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the forwarding
# layer sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
        b'http2-settings',
    }
)
_MAX_PRIORITY = 9
# Longer numbers are malformed.
_MAX_DIGITS = 15
# Running and waiting requests, and slots; a figure for the host may follow.
_LOAD_FIGURES = 3


def decode_request(headers: Iterable[Header]) -> messages.RequestMetadata:
    """Decode the headers of a client's request.

    Malformed numbers are treated as absent. The backend server receives those
    headers unchanged and may reject them.
    """
    value_by_name = {name.lower(): value for name, value in headers}
    tokens_in, _, tokens_out = _header_text(
        value_by_name, _TOKEN_COUNTS
    ).partition(',')
    scheme, _, key = _header_text(value_by_name, b'authorization').partition(
        ' '
    )
    request_ids = {
        value for name, value in headers if name.lower() == _REQUEST_ID
    }
    remaining_ms = _parse_float(_header_text(value_by_name, _REMAINING_MS))
    return messages.RequestMetadata(
        request_id=ids.RequestId(_header_text(value_by_name, _REQUEST_ID))
        if len(request_ids) == 1
        else None,
        remaining_s=None if remaining_ms is None else remaining_ms / 1e3,
        key=key.strip() if scheme.lower() == 'bearer' and key else None,
        prompt_tokens=_parse_count(tokens_in),
        output_tokens=_parse_count(tokens_out),
        prompt_parts=tuple(
            _parse_prompt_parts(_header_text(value_by_name, _PROMPT_PREFIX)),
        ),
        expected_output_tokens=_parse_count(
            _header_text(value_by_name, _LENGTH_HINT)
        ),
        last_event_id=_header_text(value_by_name, _LAST_EVENT_ID) or None,
    )


def backend_request_headers(
    headers: Iterable[Header], dispatch: messages.Dispatch
) -> list[Header]:
    """Return the headers of a request as forwarded to a backend server.

    Parameters
    ----------
    headers : iterable of (name, value)
        Headers received from the client.
    dispatch : Dispatch
        Source of the headers that the system sets.
    """
    headers = tuple(headers)
    connection_options = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for option in value.split(b',')
    }
    dropped = (
        _RESERVED_HEADERS
        | _HOP_BY_HOP_HEADERS
        | (connection_options - {_REQUEST_ID})
    )
    if dispatch.resume_after is not None:
        dropped = dropped | {_LAST_EVENT_ID}
    kept = [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
    kept.append(
        (_REMAINING_MS, b'%d' % max(1, int(dispatch.remaining_s * 1e3)))
    )
    kept.append((_EXPECT_INSTANCE, dispatch.server.encode()))
    if dispatch.account is not None:
        kept.append((_TENANT, dispatch.account.encode()))
    if dispatch.rank is not None:
        kept.append((_PRIORITY, b'%d' % min(_MAX_PRIORITY, dispatch.rank)))
    if dispatch.resume_after is not None:
        kept.append((_LAST_EVENT_ID, dispatch.resume_after.encode()))
    if dispatch.copy is not None:
        kept.append((_KV_SOURCE, dispatch.copy.encode()))
    return kept


def decode_response(
    status: int, headers: Iterable[Header]
) -> messages.ResponseMetadata:
    """Decode the status and headers of a backend server's response."""
    value_by_name = {name.lower(): value for name, value in headers}
    keep_alive = _header_text(value_by_name, b'keep-alive').lower()
    timeout = keep_alive.partition('timeout=')[2].partition(',')[0]
    load_figures = [
        part.strip()
        for part in _header_text(value_by_name, _SERVER_LOAD).split(',')
    ]
    return messages.ResponseMetadata(
        request_id=_header_text(value_by_name, _REQUEST_ID) or None,
        sealed=_SEAL in value_by_name,
        # 421 Misdirected Request: a different backend server now has the
        # address, so the request was not executed.
        not_executed=_NOT_EXECUTED in value_by_name or status == 421,
        wrong_server=status == 421,
        load=_parse_load(load_figures[:_LOAD_FIGURES]),
        slowness=_parse_slowness(load_figures[_LOAD_FIGURES:]),
        keep_alive_s=_parse_float(timeout),
        closes=b'close' in value_by_name.get(b'connection', b'').lower(),
        leaving=_header_text(value_by_name, _SERVER_LEAVING) == '1',
        pause_s=_parse_pause(_header_text(value_by_name, _RETRY_AFTER))
        if status == 503
        else None,
    )


def client_response_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of a response that are forwarded to the client."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
    ]


def request_id_header(request_id: str | None) -> list[Header]:
    """Return the request id header for a response generated by this system."""
    return [(_REQUEST_ID, request_id.encode())] if request_id else []


def _parse_prompt_parts(text: str) -> Iterable[messages.PromptPart]:
    for entry in filter(None, text.split(',')):
        name, _, tokens = entry.strip().partition(':')
        yield messages.PromptPart(name, _parse_count(tokens))


def _parse_load(figures: list[str]) -> messages.ServerLoad | None:
    if len(figures) < _LOAD_FIGURES or not all(map(str.isdecimal, figures)):
        return None
    return messages.ServerLoad(*map(int, figures))


def _parse_slowness(figures: list[str]) -> float | None:
    """Parse the figures after the load; the first one is a percentage."""
    percent = _parse_count(figures[0]) if figures else 0
    return percent / 100 if percent else None


def _parse_pause(text: str) -> float | None:
    """Parse a Retry-After in seconds, which may be fractions."""
    seconds = _parse_float(text)
    return seconds if seconds is not None and seconds > 0 else None


def _header_text(value_by_name: dict[bytes, bytes], name: bytes) -> str:
    return value_by_name.get(name, b'').decode('latin-1').strip()


def _parse_float(text: str) -> float | None:
    """Parse a finite number; None for any other text."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def _parse_count(text: str) -> int:
    stripped = text.strip()
    if len(stripped) > _MAX_DIGITS or not stripped.isdecimal():
        return 0
    return int(stripped)
