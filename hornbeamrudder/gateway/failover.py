"""Fails requests over to another backend server.

A backend server that is late may still answer, and the one that is tried
instead may refuse. The first attempt is therefore given up only once the
second server has accepted the request.
"""

import asyncio
import dataclasses
from typing import Any, Callable

from . import calls
from . import clock
from . import health
from . import http_client
from . import node_state
from . import records
from . import sending
from . import server_registry

# Longest time for which two backend servers work on one request. A server
# that refuses does so at once.
MAX_OVERLAP_S = 0.3

Reserve = Callable[[calls.Call], server_registry.Placement | None]
Release = Callable[[server_registry.Placement], None]


@dataclasses.dataclass(frozen=True, slots=True)
class FailedOver:
    """The request goes on in `Call.next_attempt`; the last one has ended."""


@dataclasses.dataclass(slots=True)
class _Trial:
    """State of a try at a second server.

    Attributes
    ----------
    accepted : bool
        Whether it has begun a response.
    """

    placement: server_registry.Placement
    sent: bool = False
    accepted: bool = False


class Failover:
    """Tries requests of one node at a second backend server.

    The slot at the second server is released here unless the request fails
    over; then the call owns it, as it owns that of its first attempt.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        translation: Any,
        sender: sending.Sender,
        reserve: Reserve,
        release: Release,
    ) -> None:
        self._state = state
        self._translation = translation
        self._sender = sender
        self._reserve = reserve
        self._release = release

    async def try_elsewhere(
        self, call: calls.Call, first: calls.Attempt, leaving: bool
    ) -> FailedOver | None:
        """Fail a request over to a server that accepts it.

        Parameters
        ----------
        leaving : bool
            Whether the server of `first` is about to end, so that it is
            left although it still answers.

        Returns
        -------
        FailedOver or None
            None if `first` goes on.
        """
        placement = self._reserve(call)
        if placement is None:
            return None
        trial = _Trial(placement)
        task = asyncio.create_task(self._try(call, trial))
        task.add_done_callback(lambda _: first.exchange.wake())
        try:
            while not task.done() and not self._is_kept(
                call, first, leaving or trial.sent
            ):
                await first.exchange.wait(call.admitted.deadline)
        except asyncio.CancelledError:
            self._abandon(task, placement)
            raise
        has_accepted = task.done() and trial.accepted
        if self._is_kept(call, first, leaving or has_accepted):
            self._abandon(task, placement)
            second = None
        else:
            second = task.result()
        if second is None:
            self._log(call, 'request stays at its server', first, placement)
            return None
        self._record_unused(call, first)
        first.connection.abort()
        call.next_attempt = second
        self._log(call, 'request fails over', first, placement)
        return FailedOver()

    def _record_unused(self, call: calls.Call, attempt: calls.Attempt) -> None:
        """Record what an answer that is not used tells of its server."""
        record = attempt.placement.record
        for event in attempt.exchange.events:
            match event:
                case http_client.Head(status, headers):
                    self._state.servers.record_directives(
                        record,
                        self._translation.decode_response(status, headers),
                        clock.now(),
                    )
                case http_client.ConnectionBroken():
                    self._state.part_guard.record_broken(
                        call, record, event, attempt.exchange.answered
                    )

    def _abandon(
        self,
        task: 'asyncio.Task[calls.Attempt | None]',
        placement: server_registry.Placement,
    ) -> None:
        if not task.done():
            task.cancel()
        elif not task.cancelled() and task.exception() is None:
            unused = task.result()
            if unused is not None:
                unused.connection.abort()
        self._release(placement)

    def _log(
        self,
        call: calls.Call,
        event: str,
        first: calls.Attempt,
        placement: server_registry.Placement,
    ) -> None:
        self._state.log.info(
            event,
            request=call.request_id,
            server=first.server,
            tried=placement.record.entry.id,
            **call.progress(clock.now()),
        )

    def _is_kept(
        self, call: calls.Call, first: calls.Attempt, only_if_complete: bool
    ) -> bool:
        """Whether to go on with the first attempt, as it got a response.

        Parameters
        ----------
        only_if_complete : bool
            Whether a response in progress does not count. Once both servers
            may be generating, one of them has to stop, and only the second
            one can still refuse.
        """
        if clock.now() >= call.admitted.deadline:
            return True
        events = first.exchange.events
        head = events[0] if events else None
        if isinstance(head, http_client.Head) and not self._is_accepting(
            call, head
        ):
            return False
        if any(isinstance(event, http_client.End) for event in events):
            return True
        if only_if_complete or any(
            isinstance(event, http_client.ConnectionBroken) for event in events
        ):
            return False
        if isinstance(head, http_client.Head):
            return True
        # Bytes that complete neither an event nor a body may be no answer.
        return (
            call.admitted.route.retry_safety is records.RetrySafety.STREAM
            and call.stream.splitter.completes_event(
                b''.join(
                    event.data
                    for event in events
                    if isinstance(event, http_client.Body)
                )
            )
        )

    def _is_accepting(self, call: calls.Call, head: http_client.Head) -> bool:
        """Whether a response has begun that can be relayed to the client."""
        metadata = self._translation.decode_response(head.status, head.headers)
        if metadata.not_executed or not metadata.sealed:
            return False
        if call.stream.started:
            return head.status == 200 and head.may_be_stream
        return head.status < 500

    async def _try(
        self, call: calls.Call, trial: _Trial
    ) -> calls.Attempt | None:
        """Send a request to a second server; None if it does not accept it.

        A server without a response after `MAX_OVERLAP_S` counts as accepting,
        since it has not refused.
        """
        try:
            attempt = await self._send(call, trial)
        except BaseException:
            self._release(trial.placement)
            raise
        if attempt is not None and self._is_refused(call, attempt, trial):
            attempt.connection.abort()
            call.excluded.add(attempt.server)
            attempt = None
        if attempt is None:
            self._release(trial.placement)
        return attempt

    async def _send(
        self, call: calls.Call, trial: _Trial
    ) -> calls.Attempt | None:
        """Send a request and wait for a response; None if it is not sent."""
        opened = await self._sender.open(call, trial.placement.record)
        if isinstance(opened, http_client.ConnectionBroken):
            return None
        if self._state.part_guard.held(call) is not None:
            opened.connection.abort()
            return None
        attempt = self._sender.send(call, trial.placement, opened)
        trial.sent = True
        try:
            if not attempt.exchange.events:
                await attempt.exchange.wait(clock.now() + MAX_OVERLAP_S)
        except BaseException:
            attempt.connection.abort()
            raise
        return attempt

    def _is_refused(
        self, call: calls.Call, attempt: calls.Attempt, trial: _Trial
    ) -> bool:
        """Whether the second server has not accepted the request."""
        record = trial.placement.record
        match next(iter(attempt.exchange.events), None):
            case None:
                return False
            case http_client.Head() as head if self._is_accepting(call, head):
                trial.accepted = True
                return False
            case http_client.Head() as head:
                metadata = self._translation.decode_response(
                    head.status, head.headers
                )
                self._state.servers.record_directives(
                    record, metadata, clock.now()
                )
                if metadata.not_executed:
                    call.record_refusal(attempt.server)
                self._sender.record_outcome(
                    record,
                    health.Outcome.UNREACHABLE
                    if metadata.wrong_server
                    else health.Outcome.ERROR,
                    f'not accepted: status {head.status}',
                )
            case http_client.ConnectionBroken(
                detail, answered, endless
            ) as broken:
                self._state.part_guard.record_broken(
                    call, record, broken, False
                )
                # The server may have closed an idle connection at any time.
                if answered or not attempt.reused:
                    self._sender.record_outcome(
                        record, health.broken_outcome(endless), detail
                    )
        return True
