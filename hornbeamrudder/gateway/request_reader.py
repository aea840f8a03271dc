"""Parser of requests, with the limits on a single request."""

import dataclasses
from typing import Protocol

import httptools

from . import byte_limits
from . import client_limits
from . import clock
from . import records
from . import request_body

Header = tuple[bytes, bytes]

# Received bytes outside a body, as a multiple of the limit on a head, which
# counts neither the method nor blank lines and space between fields.
NON_BODY_FACTOR = 2
FIELD_FRAMING_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request.

    Attributes
    ----------
    target : bytes
        Request target (path and query) as sent.
    arrived_at : float
        Time of its first byte, on `clock.now`.
    held_bytes, granted_bytes : int
        Memory that it takes, and what was granted for its body, which may be
        shorter.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: request_body.RequestBody
    arrived_at: float
    keep_alive: bool
    chunked_allowed: bool
    held_bytes: int = 0
    granted_bytes: int = 0


class Owner(Protocol):
    """Connection whose requests are read."""

    def on_request(self, request: CallerRequest) -> None:
        """Take a complete request."""

    def on_malformed(
        self, status: int, reason: client_limits.Reason | None = None
    ) -> None:
        """Refuse the request with a status, and read no further."""


class RequestReader:
    """Reads the requests of one connection.

    Attributes
    ----------
    is_reading : bool
        Whether a request has been read in part.
    pieces : int
        Parsed pieces of all requests.
    granted : int
        Bytes that are granted for the body that is being read.
    """

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self.limits = records.CallerLimits()
        self.pieces = 0
        self._is_repeated_head = False
        self._max_fields = 0
        self.has_failed = False
        self._completed = 0
        self._reset()

    def _reset(self) -> None:
        self.is_reading = False
        self.in_head = True
        self.started_at = 0.0
        self.granted = 0
        self.expects_continue = False
        self._declared_bytes: int | None = None
        self._target = b''
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._body = request_body.RequestBody()
        self._body_bytes = 0
        self._non_body_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes as far as it has been read."""
        if not self.is_reading:
            return 0
        return (
            client_limits.REQUEST_BYTES
            + self._head_bytes
            + len(self._headers) * byte_limits.HEADER_OVERHEAD_BYTES
            + max(self.granted, len(self._body))
        )

    @property
    def wanted_grant(self) -> int:
        """Bytes to be granted before the body is read on; 0 if none."""
        if self.in_head:
            return 0
        if self._declared_bytes is not None:
            size = self._declared_bytes
        elif len(self._body) < max(
            self.granted, client_limits.SMALL_BODY_BYTES
        ):
            return 0
        else:
            size = min(
                client_limits.GRANT_GROWTH * len(self._body),
                self.limits.max_body_bytes,
            )
        if size <= client_limits.SMALL_BODY_BYTES:
            return 0
        return max(0, size - self.granted)

    def drop(self) -> None:
        """Forget the request that has been read in part."""
        self.has_failed = True
        self._reset()

    def feed(self, data: memoryview) -> None:
        """Parse received bytes."""
        completed, body_bytes = self._completed, self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._ignore_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError:
            self._fail(400)
        if completed == self._completed and not self.has_failed:
            self._check_non_body_bytes(
                len(data), self._body_bytes - body_bytes
            )

    def _ignore_upgrade(self, rest: memoryview) -> None:
        """Read on in HTTP/1.1 after a request to change the protocol.

        The parser takes the body of such a request for the new protocol, so
        another one reads it behind a head with the same framing.
        """
        upgraded = self._parser
        if upgraded.get_method() == b'CONNECT':
            self._fail(400)
            return
        self._parser = httptools.HttpRequestParser(self)
        if self.is_reading and not self.has_failed:
            lines = [
                upgraded.get_method() + b' / HTTP/1.1',
                b'Transfer-Encoding: chunked'
                if self._declared_bytes is None
                else b'Content-Length: %d' % self._declared_bytes,
            ]
            if not upgraded.should_keep_alive():
                lines.append(b'Connection: close')
            self._is_repeated_head = True
            self._parser.feed_data(b'\r\n'.join([*lines, b'', b'']))
            self._is_repeated_head = False
        if rest:
            self.feed(rest)

    @property
    def _awaits_upgraded_body(self) -> bool:
        """Whether the parser ends a request before its body."""
        return (
            self._parser.should_upgrade()
            and self._parser.get_method() != b'CONNECT'
            and self._declared_bytes != 0
        )

    def _fail(
        self, status: int, reason: client_limits.Reason | None = None
    ) -> None:
        if not self.has_failed:
            self.has_failed = True
            self._owner.on_malformed(status, reason)

    def _check_non_body_bytes(self, received: int, body: int) -> None:
        """Refuse a head, chunk framing or trailers without end."""
        self._non_body_bytes = byte_limits.non_body_bytes(
            self._non_body_bytes, received, body
        )
        if self._non_body_bytes > (
            NON_BODY_FACTOR * self.limits.max_header_bytes
        ):
            self._fail(431 if self.in_head else 400)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self.has_failed or self._is_repeated_head:
            return
        self._reset()
        self.is_reading = True
        self.started_at = clock.now()
        self._max_fields = client_limits.max_fields(
            self.limits.max_header_bytes
        )

    def on_url(self, data: bytes) -> None:
        """Collect the request target, which may arrive in pieces."""
        if self.has_failed or self._is_repeated_head:
            return
        self.pieces += 1
        self._target += data
        self._check_head_size(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are ignored."""
        self.pieces += 1
        if self.has_failed or not self.in_head:
            return
        self._headers.append((name, value))
        self._check_head_size(len(name) + len(value) + FIELD_FRAMING_BYTES)
        if len(self._headers) > self._max_fields:
            self._fail(431, client_limits.Reason.TOO_MANY_FIELDS)

    def _check_head_size(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.max_header_bytes:
            self._fail(431)

    def on_headers_complete(self) -> None:
        """Check the declared length and note `Expect: 100-continue`."""
        self.in_head = False
        if self.has_failed or self._is_repeated_head:
            return
        value_by_name = {name.lower(): value for name, value in self._headers}
        if b'transfer-encoding' not in value_by_name:
            self._declared_bytes = int(
                value_by_name.get(b'content-length', b'0')
            )
        if (self._declared_bytes or 0) > self.limits.max_body_bytes:
            self._fail(413)
        else:
            expected = value_by_name.get(b'expect', b'').lower()
            self.expects_continue = expected == b'100-continue'

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self.pieces += 1
        if self.has_failed:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self.limits.max_body_bytes:
            self._fail(413)
        else:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Pass the request on."""
        self.pieces += 1
        if self.has_failed or self._awaits_upgraded_body:
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=self._body,
            arrived_at=self.started_at,
            keep_alive=self._parser.should_keep_alive(),
            chunked_allowed=self._parser.get_http_version() == '1.1',
            held_bytes=self.held_bytes
            - max(0, self.granted - len(self._body)),
            granted_bytes=self.granted,
        )
        self._completed += 1
        self._reset()
        self._owner.on_request(request)
