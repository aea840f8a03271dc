"""Stand-in for clients of the platform: raw HTTP requests and responses."""

import asyncio
import dataclasses
import itertools
import time
from typing import Sequence

HEADER_TIMEOUT_S = 8.0
_request_numbers = itertools.count(1)


@dataclasses.dataclass
class Response:
    """A response as received by the client.

    Attributes
    ----------
    status : int
        0 if the connection was closed before the response headers.
    complete : bool
        Whether the whole body was received, according to its framing.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    elapsed_s: float


def request_bytes(
    path: str,
    method: str = 'POST',
    request_id: str | None = None,
    key: str = 'key-north',
    remaining_ms: int = 3000,
    body: bytes = b'',
    headers: Sequence[str] = (),
) -> bytes:
    """Return a serialized request, with the headers of a platform client."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'X-Hornbeamrudder-Request-Id: {request_id or new_request_id()}',
        f'X-Hornbeamrudder-Deadline-Remaining: {remaining_ms}',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def new_request_id() -> str:
    """Return a request id that is unique in this process."""
    return f'{next(_request_numbers):016x}'


async def read_response(
    reader: asyncio.StreamReader, started_at: float = 0.0
) -> Response:
    """Read one response with a chunked or a sized body.

    Raises
    ------
    TimeoutError
        No complete header was received within `HEADER_TIMEOUT_S`.
    """

    def response(
        status: int, headers: dict[str, str], body: bytes, complete: bool
    ) -> Response:
        return Response(
            status, headers, body, complete, time.monotonic() - started_at
        )

    try:
        head = await asyncio.wait_for(
            reader.readuntil(b'\r\n\r\n'), HEADER_TIMEOUT_S
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return response(0, {}, b'', False)
    lines = head.decode('latin-1').split('\r\n')
    status = int(lines[0].split()[1])
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines[1:])
        if name
    }
    body = b''
    try:
        if headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return response(status, headers, body, True)
                body += chunk[:-2]
        body = await reader.readexactly(
            int(headers.get('content-length') or 0)
        )
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        body += getattr(error, 'partial', b'')
        return response(status, headers, body, False)
    return response(status, headers, body, True)
