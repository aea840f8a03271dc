"""Stand-in for the platform's cloud API: usage reports and scaling calls."""

import asyncio
import dataclasses
import time
from typing import Any, Callable

import orjson

from ..gateway import http_server

OK = 200
CONFLICT = 409
ORDER_PATH = '/scale'


@dataclasses.dataclass(frozen=True, slots=True)
class DutyCall:
    """A received call."""

    path: str
    holder: str
    fencing_token: int
    body: Any
    received_at: float = dataclasses.field(default_factory=time.monotonic)

    @property
    def wants_reclaimable(self) -> bool:
        """Whether it orders reclaimable servers."""
        return self.path == ORDER_PATH and bool(self.body.get('spot'))


class PlatformCloud:
    """Records calls in the order in which they are carried out.

    Attributes
    ----------
    calls, refused : list of DutyCall
        Calls that were carried out, and calls answered with 409.
    arrived : list of DutyCall
        All calls in order of arrival.
    error_status : int or None
        HTTP status that is returned for every call, without recording it.
    requires_fence : bool
        Whether calls below the highest number seen are refused.
    has_reclaimable : bool
        Whether orders of reclaimable servers are accepted.
    on_refusal : callable
        Called before a call is answered with 409.
    late_s : float or None
        Delay in seconds after which the next order of reclaimable servers is
        carried out, without a response; None to carry it out at once.
    """

    def __init__(self) -> None:
        self.calls: list[DutyCall] = []
        self.refused: list[DutyCall] = []
        self.arrived: list[DutyCall] = []
        self.error_status: int | None = None
        self.requires_fence = False
        self.has_reclaimable = True
        self.on_refusal: Callable[[], None] = lambda: None
        self.late_s: float | None = None
        self._highest_by_path: dict[str, int] = {}
        self._server = http_server.CallerServer(self._handle)

    async def start(self, ip: str, port: int = 0) -> int:
        """Start listening and return the port."""
        listener = await asyncio.get_running_loop().create_server(
            self._server.make_connection, ip, port
        )
        bound_port: int = listener.sockets[0].getsockname()[1]
        return bound_port

    def raise_number(self, path: str, number: int) -> None:
        """Record a number that another holder has used."""
        self._highest_by_path[path] = number

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
        call = DutyCall(
            request.target.decode(),
            headers.get('x-hornbeamrudder-duty-holder', ''),
            int(headers.get('x-hornbeamrudder-fencing-token') or 0),
            orjson.loads(request.body.joined()),
        )
        self.arrived.append(call)
        if call.wants_reclaimable and self.late_s is not None:
            late_s, self.late_s = self.late_s, None
            asyncio.get_running_loop().call_later(late_s, self._execute, call)
            await asyncio.Event().wait()
        reply.send(self._execute(call), (), b'')

    def _execute(self, call: DutyCall) -> int:
        """Carry out a call unless it is refused; return the status."""
        highest = self._highest_by_path.get(call.path, 0)
        if (self.requires_fence and call.fencing_token < highest) or (
            call.wants_reclaimable and not self.has_reclaimable
        ):
            self.refused.append(call)
            self.on_refusal()
            return CONFLICT
        self._highest_by_path[call.path] = max(highest, call.fencing_token)
        self.calls.append(call)
        return OK
