"""Exchanges one request with one backend server and passes the answer on."""

import dataclasses
from typing import Any, Callable

from . import calls
from . import clock
from . import health
from . import http_client
from . import messages
from . import node_state
from . import records
from . import server_book

# Part of the target time without an answer after which a request that may
# run twice is sent to another backend server.
SILENT_STREAM_SHARE = 0.75
SILENT_PLAIN_SHARE = 0.55
# Part of the longest pause that is on time after which a stream that may be
# resumed is taken as stalled.
STALL_SHARE = 0.8
DEFAULT_STALL_S = 1.0
# Time for the rest of an answer that says the request was not executed.
REFUSAL_BODY_S = 0.2
# Prompts of fewer tokens say little of the speed at which they are read.
MIN_SPEED_SAMPLE_TOKENS = 1500
# Time to the first event that does not depend on the prompt.
FIRST_EVENT_MS = 60.0
_EVENT_STREAM = b'text/event-stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How an exchange ended.

    Attributes
    ----------
    answered : bool
        Whether a byte of an answer came.
    ended_early : bool
        Whether the connection ended before the answer did.
    judged : Outcome or None
        What it says of the backend server; None for nothing.
    """

    result: calls.Result
    detail: str = ''
    answered: bool = True
    ended_early: bool = False
    judged: health.Outcome | None = None


class Relay:
    """Exchanges with backend servers."""

    def __init__(
        self,
        state: node_state.NodeState,
        translation: Any,
        may_send_again: Callable[[calls.Call], bool],
        has_other_place: Callable[[calls.Call], bool],
    ) -> None:
        self._state = state
        self._translation = translation
        self._may_send_again = may_send_again
        self._has_other_place = has_other_place

    async def exchange(
        self,
        call: calls.Call,
        placement: server_book.Placement,
        connection: http_client.ServerConnection,
    ) -> Ended:
        """Send a request and pass its answer on."""
        call.stream.last_record = placement.record
        resuming = call.stream.started
        if resuming:
            call.stream.splitter.restart()
        call.stream.leave_at = placement.record.leaves_at
        sent_at = clock.now()
        exchange = connection.send(
            self._request_bytes(call, placement, resuming),
            lambda status, headers: self._belongs(call, status, headers),
            call.request.method == b'HEAD',
        )
        until = self._first_limit(call, sent_at)
        event = await exchange.next(until)
        while isinstance(event, http_client.Late) and self._must_wait(call):
            event = await exchange.next(call.admitted.deadline)
        match event:
            case http_client.Head() as head:
                return await self._answered(
                    call, placement, connection, exchange, head, sent_at
                )
            case http_client.Broken(detail, answered):
                connection.abort()
                return Ended(
                    calls.Result.FAILED,
                    detail,
                    answered,
                    True,
                    health.Outcome.UNREACHABLE,
                )
            case _:
                connection.abort()
                return self._late(call, 'no answer')

    def _request_bytes(
        self,
        call: calls.Call,
        placement: server_book.Placement,
        resuming: bool,
    ) -> bytes:
        request = call.request
        facts = call.admitted.facts
        now = clock.now()
        remaining_s = call.admitted.deadline - now
        dispatch = messages.Dispatch(
            remaining_s=remaining_s,
            server=placement.record.entry.id,
            account=call.admitted.account.id
            if call.admitted.account
            else None,
            rank=call.admitted.rank if call.service.engine else None,
            resume_after=call.stream.splitter.last_id
            if resuming
            else facts.last_event_id,
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
        return b'\r\n'.join(lines) + b'\r\n\r\n' + request.body

    def _belongs(
        self,
        call: calls.Call,
        status: int,
        headers: tuple[http_client.Header, ...],
    ) -> bool:
        found = self._translation.read_answer(status, headers).request_id
        return found is None or found == call.request_id

    def _first_limit(self, call: calls.Call, sent_at: float) -> float:
        deadline = call.admitted.deadline
        route = call.admitted.route
        if not route.retryable or not self._may_send_again(call):
            return deadline
        share = (
            SILENT_STREAM_SHARE
            if route.retry_safety is records.RetrySafety.STREAM
            else SILENT_PLAIN_SHARE
        )
        return min(deadline, sent_at + share * route.target_s)

    def _must_wait(self, call: calls.Call) -> bool:
        """Whether to wait on because nothing better can be done.

        Silence alone is no reason to end an answer: only another backend
        server that can take the request at once is.
        """
        return clock.now() < call.admitted.deadline and not (
            call.admitted.route.retryable
            and self._may_send_again(call)
            and self._has_other_place(call)
        )

    def _late(self, call: calls.Call, what: str) -> Ended:
        if clock.now() >= call.admitted.deadline:
            return Ended(
                calls.Result.OUT_OF_TIME,
                f'{what} before the deadline',
                False,
                judged=health.Outcome.ERROR,
            )
        return Ended(
            calls.Result.FAILED,
            f'{what} in time to try elsewhere',
            False,
            judged=health.Outcome.ERROR,
        )

    async def _answered(
        self,
        call: calls.Call,
        placement: server_book.Placement,
        connection: http_client.ServerConnection,
        exchange: http_client.Exchange,
        head: http_client.Head,
        sent_at: float,
    ) -> Ended:
        facts = self._translation.read_answer(head.status, head.headers)
        connection.keep_alive_s = facts.keep_alive_s
        if facts.not_executed:
            return await self._refused(placement, connection, exchange, facts)
        if not facts.sealed and head.status < 300:
            connection.abort()
            return Ended(
                calls.Result.FAILED,
                f'status {head.status} without a receipt',
                judged=health.Outcome.ERROR,
            )
        content_type = next(
            (
                value
                for name, value in head.headers
                if name.lower() == b'content-type'
            ),
            b'',
        )
        if head.status == 200 and (
            content_type.startswith(_EVENT_STREAM)
            or call.admitted.route.retry_safety is records.RetrySafety.STREAM
        ):
            return await self._relay_stream(
                call, placement, connection, exchange, head, sent_at
            )
        return await self._relay_whole(
            call, placement, connection, exchange, head
        )

    async def _refused(
        self,
        placement: server_book.Placement,
        connection: http_client.ServerConnection,
        exchange: http_client.Exchange,
        facts: messages.AnswerFacts,
    ) -> Ended:
        until = clock.now() + REFUSAL_BODY_S
        event: http_client.Event = http_client.Late()
        while True:
            event = await exchange.next(until)
            if not isinstance(event, http_client.Body):
                break
        if isinstance(event, http_client.End):
            connection.release()
            placement.record.keep(connection)
        else:
            connection.abort()
        if facts.wrong_server:
            return Ended(
                calls.Result.NOT_EXECUTED,
                'another backend server has the address',
                judged=health.Outcome.UNREACHABLE,
            )
        return Ended(
            calls.Result.NOT_EXECUTED,
            f'backend server refused, load {facts.load}',
            judged=health.Outcome.ERROR,
        )

    async def _relay_whole(
        self,
        call: calls.Call,
        placement: server_book.Placement,
        connection: http_client.ServerConnection,
        exchange: http_client.Exchange,
        head: http_client.Head,
    ) -> Ended:
        self._began(call, placement)
        parts: list[bytes] = []
        until = self._first_limit(call, clock.now())
        while True:
            match await exchange.next(until):
                case http_client.Body(data):
                    parts.append(data)
                case http_client.End():
                    break
                case http_client.Broken(detail, _):
                    connection.abort()
                    return Ended(
                        calls.Result.FAILED,
                        f'answer is not whole: {detail}',
                        ended_early=True,
                        judged=health.Outcome.ERROR,
                    )
                case _:
                    if self._must_wait(call):
                        until = call.admitted.deadline
                        continue
                    connection.abort()
                    return self._late(call, 'no whole answer')
        connection.release()
        placement.record.keep(connection)
        failed = head.status >= 500
        if failed and (
            call.stream.started
            or (call.admitted.route.retryable and self._may_send_again(call))
        ):
            return Ended(
                calls.Result.FAILED,
                f'backend server answered {head.status}',
                judged=health.Outcome.ERROR,
            )
        if call.stream.started:
            return Ended(
                calls.Result.FAILED,
                f'stream is not resumed: status {head.status}',
            )
        call.first_at = clock.now()
        call.status = head.status
        call.reply.send(
            head.status,
            self._translation.answer_headers(head.headers),
            b''.join(parts),
        )
        return Ended(
            calls.Result.DONE,
            '' if not failed else f'backend server answered {head.status}',
            judged=health.Outcome.ERROR if failed else health.Outcome.SUCCESS,
        )

    def _began(
        self, call: calls.Call, placement: server_book.Placement
    ) -> None:
        """Note that the backend server has begun to run the request."""
        self._state.book.prompt_read(placement)
        if not call.counted and call.admitted.account is not None:
            call.counted = True
            self._state.usage.count(
                call.admitted.account.id, self._state.peers.cluster_time()
            )

    async def _relay_stream(
        self,
        call: calls.Call,
        placement: server_book.Placement,
        connection: http_client.ServerConnection,
        exchange: http_client.Exchange,
        head: http_client.Head,
        sent_at: float,
    ) -> Ended:
        stream = call.stream
        until = self._first_limit(call, sent_at)
        first = True
        while True:
            if (
                stream.leave_at is not None
                and call.admitted.route.resumable
                and self._may_send_again(call)
            ):
                until = min(until, max(stream.leave_at, clock.now()))
            match await exchange.next(until):
                case http_client.Body(data):
                    whole = stream.splitter.feed(data)
                    if whole:
                        if first:
                            first = False
                            self._first_event(call, placement, sent_at)
                        self._pass_on(call, head, whole)
                        await call.reply.drain()
                    if not first:
                        until = self._stall_limit(call)
                case http_client.End():
                    connection.release()
                    placement.record.keep(connection)
                    self._finish(call, head)
                    return Ended(
                        calls.Result.DONE, judged=health.Outcome.SUCCESS
                    )
                case http_client.Broken(detail, _):
                    connection.abort()
                    return await self._broken(call, detail)
                case _:
                    if call.stream.moving is None and self._must_wait(call):
                        stream.leave_at = None
                        until = call.admitted.deadline
                        continue
                    return await self._silent(call, connection)

    def _stall_limit(self, call: calls.Call) -> float:
        route = call.admitted.route
        if not route.resumable or not self._may_send_again(call):
            return call.admitted.deadline
        pause_s = route.gap_target_s * STALL_SHARE or DEFAULT_STALL_S
        return min(call.admitted.deadline, clock.now() + pause_s)

    def _first_event(
        self,
        call: calls.Call,
        placement: server_book.Placement,
        sent_at: float,
    ) -> None:
        now = clock.now()
        if call.first_at is None:
            call.first_at = now
        alone = (
            placement.record.backlog_tokens
            + placement.record.peer_backlog_tokens
            <= placement.missing_tokens
        )
        if placement.missing_tokens > MIN_SPEED_SAMPLE_TOKENS and alone:
            read_ms = (now - sent_at) * 1e3 - FIRST_EVENT_MS
            self._state.record_prefill_rate(
                call.service.name,
                placement.missing_tokens / max(1.0, read_ms),
            )
        self._began(call, placement)

    def _pass_on(
        self, call: calls.Call, head: http_client.Head, whole: bytes
    ) -> None:
        if not call.reply.started:
            call.status = head.status
            call.reply.start(
                head.status,
                self._translation.answer_headers(head.headers),
                None,
            )
        call.stream.started = True
        call.reply.write(whole)

    def _finish(self, call: calls.Call, head: http_client.Head) -> None:
        rest = call.stream.splitter.partial
        if rest or not call.reply.started:
            self._pass_on(call, head, rest)
        call.reply.end()

    async def _broken(self, call: calls.Call, detail: str) -> Ended:
        moving = call.stream.moving
        if moving is not None:
            call.stream.moving = None
            # The engine ends the stream before it has answered the move.
            call.stream.moved = await moving
            if call.stream.moved is not None:
                return Ended(calls.Result.MOVED, 'run was moved')
        leaving = (
            call.placement is not None
            and call.placement.record.leaving_since is not None
        )
        return Ended(
            calls.Result.FAILED,
            f'stream broke: {detail}',
            ended_early=True,
            judged=None if leaving else health.Outcome.UNREACHABLE,
        )

    async def _silent(
        self, call: calls.Call, connection: http_client.ServerConnection
    ) -> Ended:
        moving = call.stream.moving
        if moving is not None and clock.now() < call.admitted.deadline:
            # The stopped run sends nothing more.
            return await self._broken(call, 'stopped to be moved')
        connection.abort()
        leave_at = call.stream.leave_at
        if leave_at is not None and clock.now() >= leave_at:
            call.stream.leave_at = None
            return Ended(calls.Result.FAILED, 'backend server is about to end')
        return self._late(call, 'no event')
