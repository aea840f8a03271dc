"""Translates the headers of the platform's requests and answers."""

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
_LAST_EVENT_ID = b'last-event-id'
_COPY_SOURCE = b'kv-from'

# Only the system may set these; what a client sends under these names is
# dropped.
_SET_BY_SYSTEM = frozenset(
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
        _COPY_SOURCE,
        b'kv-fetch',
        b'kv-backup',
        b'authorization',
    }
)
# RFC 9110, section 7.6.1, and headers that the forwarding layer replaces.
_PER_CONNECTION = frozenset(
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
_LOWEST_RANK = 9


def read_request(headers: Iterable[Header]) -> messages.RequestMetadata:
    """Decode what a client says of its request.

    Malformed numbers count as absent: a backend server gets the header
    unchanged and decides itself.
    """
    value_by_name = {name.lower(): value for name, value in headers}
    tokens_in, _, tokens_out = _text(value_by_name, _TOKEN_COUNTS).partition(
        ','
    )
    scheme, _, key = _text(value_by_name, b'authorization').partition(' ')
    request_ids = {
        value for name, value in headers if name.lower() == _REQUEST_ID
    }
    remaining_ms = _number(_text(value_by_name, _REMAINING_MS))
    return messages.RequestMetadata(
        request_id=ids.RequestId(_text(value_by_name, _REQUEST_ID))
        if len(request_ids) == 1
        else None,
        remaining_s=None if remaining_ms is None else remaining_ms / 1e3,
        key=key.strip() if scheme.lower() == 'bearer' and key else None,
        prompt_tokens=_whole(tokens_in),
        output_tokens=_whole(tokens_out),
        prompt_parts=tuple(
            _parts(_text(value_by_name, _PROMPT_PREFIX)),
        ),
        expected_output_tokens=_whole(_text(value_by_name, _LENGTH_HINT)),
        last_event_id=_text(value_by_name, _LAST_EVENT_ID) or None,
    )


def forwarded(
    headers: Iterable[Header], dispatch: messages.Dispatch
) -> list[Header]:
    """Return the headers of a request as a backend server gets them.

    Parameters
    ----------
    headers : iterable of (name, value)
        As the client sent them.
    dispatch : Dispatch
        What the system says itself.
    """
    headers = tuple(headers)
    named = {
        word.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for word in value.split(b',')
    }
    dropped = _SET_BY_SYSTEM | _PER_CONNECTION | (named - {_REQUEST_ID})
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
        kept.append((_PRIORITY, b'%d' % min(_LOWEST_RANK, dispatch.rank)))
    if dispatch.resume_after is not None:
        kept.append((_LAST_EVENT_ID, dispatch.resume_after.encode()))
    if dispatch.copy is not None:
        kept.append((_COPY_SOURCE, dispatch.copy.encode()))
    return kept


def read_answer(
    status: int, headers: Iterable[Header]
) -> messages.ResponseMetadata:
    """Decode what a backend server says in the head of its answer."""
    value_by_name = {name.lower(): value for name, value in headers}
    keep_alive = _text(value_by_name, b'keep-alive').lower()
    timeout = keep_alive.partition('timeout=')[2].partition(',')[0]
    loads = [
        _whole(part) for part in _text(value_by_name, _SERVER_LOAD).split(',')
    ]
    return messages.ResponseMetadata(
        request_id=_text(value_by_name, _REQUEST_ID) or None,
        sealed=_SEAL in value_by_name,
        # A 421 always means that another backend server has the address.
        not_executed=_NOT_EXECUTED in value_by_name or status == 421,
        wrong_server=status == 421,
        load=messages.ServerLoad(*loads) if len(loads) == 3 else None,
        keep_alive_s=_number(timeout),
        closes=b'close' in value_by_name.get(b'connection', b'').lower(),
    )


def answer_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of an answer that are passed on to the client."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _PER_CONNECTION
    ]


def request_id_header(request_id: str | None) -> list[Header]:
    """Header that names the request in an answer of the system's own."""
    return [(_REQUEST_ID, request_id.encode())] if request_id else []


def _parts(text: str) -> Iterable[messages.PromptPart]:
    for entry in filter(None, text.split(',')):
        name, _, tokens = entry.strip().partition(':')
        yield messages.PromptPart(name, _whole(tokens))


def _text(value_by_name: dict[bytes, bytes], name: bytes) -> str:
    return value_by_name.get(name, b'').decode('latin-1').strip()


def _number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _whole(text: str) -> int:
    return int(text) if text.strip().isdecimal() else 0
