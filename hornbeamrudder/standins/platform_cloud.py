"""Stand-in for the platform's cloud API: usage reports and scaling calls."""

import asyncio
import dataclasses
import time
from typing import Any

import orjson

from ..gateway import http_server


@dataclasses.dataclass(frozen=True, slots=True)
class DutyCall:
    """A received call."""

    path: str
    holder: str
    fencing_token: int
    body: Any
    received_at: float = dataclasses.field(default_factory=time.monotonic)


class PlatformCloud:
    """Records calls and accepts them.

    Attributes
    ----------
    error_status : int or None
        HTTP status that is returned for every call, without recording it.
    """

    def __init__(self) -> None:
        self.calls: list[DutyCall] = []
        self.error_status: int | None = None
        self._server = http_server.CallerServer(self._handle)

    async def start(self, ip: str, port: int = 0) -> int:
        """Start listening and return the port."""
        listener = await asyncio.get_running_loop().create_server(
            self._server.make_connection, ip, port
        )
        bound_port: int = listener.sockets[0].getsockname()[1]
        return bound_port

    async def _handle(
        self,
        request: http_server.CallerRequest,
        reply: http_server.ResponseWriter,
    ) -> None:
        headers = {
            name.lower().decode(): value.decode()
            for name, value in request.headers
        }
        if self.error_status is not None:
            reply.send(self.error_status, (), b'')
            return
        self.calls.append(
            DutyCall(
                request.target.decode(),
                headers.get('x-hornbeamrudder-duty-holder', ''),
                int(headers.get('x-hornbeamrudder-fencing-token') or 0),
                orjson.loads(request.body),
            )
        )
        reply.send(200, (), b'')
