"""Sends requests to backend servers and accounts for what was sent."""

import dataclasses
from typing import Any

from . import calls
from . import clock
from ..core import ids
from . import health
from . import http_client
from . import messages
from . import node_state
from . import records
from . import server_registry

# Connect timeout as a share of the route's target time, and its bounds.
CONNECT_SHARE = 0.35
MIN_CONNECT_S = 0.06
MAX_CONNECT_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedConnection:
    """A connection for one request.

    Attributes
    ----------
    reused : bool
        Whether it was used before; its server may have closed it meanwhile.
    """

    connection: http_client.ServerConnection
    reused: bool


class Sender:
    """Sends the requests of one node and records their outcomes."""

    def __init__(self, state: node_state.NodeState, translation: Any) -> None:
        self._state = state
        self._translation = translation

    async def open(
        self, call: calls.Call, record: server_registry.ServerRecord
    ) -> OpenedConnection | http_client.ConnectionBroken:
        """Return a connection for a request; on failure none was sent."""
        route = call.admitted.route
        connection = (
            record.pop_idle_connection(clock.now(), call.request_id)
            if route.retry_safety is records.RetrySafety.SAFE
            else None
        )
        if connection is not None:
            return OpenedConnection(connection, True)
        opened = await http_client.connect(
            record.entry.address,
            min(
                max(CONNECT_SHARE * route.target_s, MIN_CONNECT_S),
                MAX_CONNECT_S,
            ),
        )
        if isinstance(opened, http_client.ConnectionBroken):
            self.record_outcome(
                record, health.Outcome.UNREACHABLE, opened.detail
            )
            return opened
        opened.held_bytes = self._state.held_bytes
        return OpenedConnection(opened, False)

    def send(
        self,
        call: calls.Call,
        placement: server_registry.Placement,
        opened: OpenedConnection,
    ) -> calls.Attempt:
        """Send a request, or what remains of its stream."""
        assert call.may_start_anew or call.stream.copy is not None
        self._record_send(call, placement.record.entry.id)
        sent_at = clock.now()
        opened.connection.request_ids.add(call.request_id)
        exchange = opened.connection.send(
            self._request_head(call, placement, sent_at),
            lambda status, headers: self._matches_request(
                call, opened.reused, status, headers
            ),
            call.request.method == b'HEAD',
            blocks=call.request.body.blocks,
        )
        return calls.Attempt(
            placement, opened.connection, exchange, sent_at, opened.reused
        )

    def _request_head(
        self,
        call: calls.Call,
        placement: server_registry.Placement,
        now: float,
    ) -> bytes:
        request = call.request
        account = call.admitted.account
        dispatch = messages.Dispatch(
            remaining_s=call.admitted.deadline - now,
            server=placement.record.entry.id,
            account=account.id if account else None,
            rank=call.admitted.rank if call.service.engine else None,
            resume_after=call.stream.splitter.last_id
            if call.stream.started
            else call.admitted.metadata.last_event_id,
            copy=call.stream.copy,
        )
        call.stream.copy = None
        lines = [request.method + b' ' + request.target + b' HTTP/1.1']
        lines.extend(
            name + b': ' + value
            for name, value in self._translation.backend_request_headers(
                request.headers, dispatch
            )
        )
        if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
            lines.append(b'Content-Length: %d' % len(request.body))
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    def _matches_request(
        self,
        call: calls.Call,
        reused: bool,
        status: int,
        headers: tuple[http_client.Header, ...],
    ) -> bool:
        """Whether a response belongs to the request of a call.

        On a connection that was used before, one without an id may belong to
        an earlier request.
        """
        found = self._translation.decode_response(status, headers).request_id
        return (found is None and not reused) or found == call.request_id

    def _record_send(self, call: calls.Call, server: ids.WorkerId) -> None:
        now = clock.now()
        if call.sends:
            self._state.retry_budget.record_retry(call.service.name, now)
        else:
            self._state.retry_budget.record_first_attempt(
                call.service.name, now
            )
        call.record_send(server)

    def record_outcome(
        self,
        record: server_registry.ServerRecord,
        outcome: health.Outcome,
        detail: str,
    ) -> None:
        """Update metrics and health; log a server that becomes avoided."""
        self._state.metrics.sends.inc(
            {'service': record.entry.service, 'result': outcome.value}
        )
        if self._state.servers.record_outcome(record, outcome, clock.now()):
            self._state.log.info(
                'backend server is avoided',
                server=record.entry.id,
                outcome=outcome.value,
                detail=detail,
                unreachable=record.health_state.unreachable,
                failure_share=round(record.health_state.failure_share, 2),
                for_s=round(
                    record.health_state.avoided_until - clock.now(), 2
                ),
            )
