"""Stand-in of the users' clients: requests and answers on the wire."""

import asyncio
import dataclasses
import itertools
import time
from typing import Sequence

# Longest wait for the head of an answer.
HEAD_TIMEOUT_S = 8.0
_numbers = itertools.count(1)


@dataclasses.dataclass
class Answer:
    """What a client got.

    Attributes
    ----------
    status : int
        0 where the connection ended without an answer.
    whole : bool
        Whether the answer was complete by its framing.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    took_s: float


def request_bytes(
    path: str,
    method: str = 'POST',
    request_id: str | None = None,
    key: str = 'key-north',
    remaining_ms: int = 3000,
    body: bytes = b'',
    headers: Sequence[str] = (),
) -> bytes:
    """Bytes of one request, as a client of the platform sends it."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'X-Hornbeamrudder-Request-Id: {request_id or new_id()}',
        f'X-Hornbeamrudder-Deadline-Remaining: {remaining_ms}',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def new_id() -> str:
    """A request id that was not used yet."""
    return f'{next(_numbers):016x}'


async def read_answer(
    reader: asyncio.StreamReader, started: float = 0.0
) -> Answer:
    """Read one answer by its framing."""

    def ended(
        status: int, headers: dict[str, str], body: bytes, whole: bool
    ) -> Answer:
        return Answer(status, headers, body, whole, time.monotonic() - started)

    try:
        head = await asyncio.wait_for(
            reader.readuntil(b'\r\n\r\n'), HEAD_TIMEOUT_S
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return ended(0, {}, b'', False)
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
                part = await reader.readexactly(size + 2)
                if not size:
                    return ended(status, headers, body, True)
                body += part[:-2]
        body = await reader.readexactly(
            int(headers.get('content-length') or 0)
        )
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        body += getattr(error, 'partial', b'')
        return ended(status, headers, body, False)
    return ended(status, headers, body, True)
