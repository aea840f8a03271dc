"""JSON-over-HTTP client for one address, such as the platform's store."""

import asyncio
import dataclasses
from typing import Any

import orjson

from . import byte_limits
from . import clock
from ..core import errors
from ..core import types
from . import http_client

CONNECT_TIMEOUT_S = 0.5
# Size limit of the pool of idle connections.
MAX_IDLE_CONNECTIONS = 4
# The network may have dropped connections idle for longer.
MAX_IDLE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class JsonResponse:
    """Status and decoded body of a response.

    Attributes
    ----------
    sent_at : float
        Time on `clock.now` at which the call was sent.
    received_at : float
        Time on `clock.now` at which the response was complete.
    """

    status: int
    body: Any
    sent_at: float
    received_at: float


class JsonClient:
    """Sends requests to one address over persistent connections.

    Parameters
    ----------
    max_body_bytes : int
        Size above which the body of a response counts as endless.
    """

    def __init__(
        self,
        address: types.Address,
        step: errors.Step,
        max_body_bytes: int = byte_limits.MAX_JSON_BODY_BYTES,
    ) -> None:
        self.address = address
        self.calls = 0
        self._step = step
        self._max_body_bytes = max_body_bytes
        self._idle: list[http_client.ServerConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 2.0,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> JsonResponse | errors.Failure:
        """Make one call.

        Returns
        -------
        JsonResponse or Failure
            After a failure with outcome UNKNOWN, the call may have taken
            effect.
        """
        self.calls += 1
        until = clock.now() + timeout_s
        connection = await self._connection(min(timeout_s, CONNECT_TIMEOUT_S))
        if isinstance(connection, http_client.ConnectionBroken):
            return self._failure(
                errors.FailureKind.NOT_CONNECTED, connection.detail
            )
        payload = b'' if body is None else orjson.dumps(body)
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self.address}',
            f'Content-Length: {len(payload)}',
            'Content-Type: application/json',
            *(f'{name}: {value}' for name, value in headers),
        ]
        sent_at = clock.now()
        try:
            exchange = connection.send(
                '\r\n'.join(lines).encode() + b'\r\n\r\n' + payload,
                max_body_bytes=self._max_body_bytes,
            )
            read = await _read_response(exchange, until)
        except asyncio.CancelledError:
            connection.abort()
            raise
        match read:
            case (int() as status, bytes() as data):
                connection.release()
                if (
                    connection.reusable
                    and len(self._idle) < MAX_IDLE_CONNECTIONS
                ):
                    self._idle.append(connection)
                else:
                    connection.abort()
                return self._decode_response(status, data, sent_at)
            case http_client.ConnectionBroken(detail, _):
                kind = errors.FailureKind.INTERRUPTED
            case _:
                kind, detail = (
                    errors.FailureKind.TIMEOUT,
                    'no response before the time-out',
                )
        connection.abort()
        # The idle connections use the same path and may be broken too.
        self.drop_idle()
        return self._failure(kind, detail, types.Outcome.UNKNOWN)

    def set_address(self, address: types.Address) -> None:
        """Send further calls to another address."""
        if address != self.address:
            self.address = address
            self.drop_idle()

    def drop_idle(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _connection(
        self, timeout_s: float
    ) -> http_client.ServerConnection | http_client.ConnectionBroken:
        while self._idle:
            connection = self._idle.pop()
            if (
                connection.reusable
                and clock.now() - connection.idle_since < MAX_IDLE_S
            ):
                return connection
            connection.abort()
        return await http_client.connect(self.address, timeout_s)

    def _decode_response(
        self, status: int, data: bytes, sent_at: float
    ) -> JsonResponse | errors.Failure:
        try:
            body = orjson.loads(data) if data else None
        except orjson.JSONDecodeError as error:
            if status < 300:
                return self._failure(
                    errors.FailureKind.INVALID,
                    f'malformed body: {error}',
                    types.Outcome.UNKNOWN,
                )
            body = None
        return JsonResponse(status, body, sent_at, clock.now())

    def _failure(
        self,
        kind: errors.FailureKind,
        detail: str,
        outcome: types.Outcome = types.Outcome.NOT_RUN,
    ) -> errors.Failure:
        return errors.Failure(
            kind, self._step, str(self.address), detail, outcome
        )


async def _read_response(
    exchange: http_client.Exchange, until: float
) -> tuple[int, bytes] | http_client.ConnectionBroken | http_client.TimedOut:
    status = 0
    body = bytearray()
    while True:
        match await exchange.next_event(until):
            case http_client.Head() as head:
                status = head.status
            case http_client.Body(data):
                body += data
            case http_client.End():
                return status, bytes(body)
            case (
                http_client.ConnectionBroken() | http_client.TimedOut()
            ) as ended:
                return ended
