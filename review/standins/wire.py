"""HTTP/1.1 reading and writing for the stand-ins."""

import asyncio
import dataclasses
import json
from typing import Any


@dataclasses.dataclass
class Request:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Target without the query."""
        return self.target.partition('?')[0]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None if the connection has ended."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {
        name.strip().lower(): value.strip()
        for name, colon, value in (line.partition(':') for line in lines[1:])
        if colon
    }
    length = int(headers.get('content-length') or 0)
    try:
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(
    status: int, reason: str, body: bytes, headers: dict[str, str]
) -> bytes:
    """Return a complete response."""
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def json_response(status: int, value: Any) -> bytes:
    """Return a complete response with a JSON body."""
    return response(
        status,
        'Status',
        json.dumps(value).encode(),
        {'Content-Type': 'application/json'},
    )
