"""Request path of a node: admission, server selection, forwarding, retries."""

import asyncio
import dataclasses
from typing import Any, Callable

from . import admit
from . import calls
from . import clock
from ..core import ids
from . import crash_evidence
from . import events
from . import failover
from . import http_client
from . import http_server
from . import messages
from . import node_state
from . import part_guard
from . import records
from . import relay
from . import sending
from . import server_registry
from . import server_selection
from . import version_answers
from . import waiting

# Failed connection attempts after which a request is no longer retried.
MAX_CONNECT_FAILURES = 4
# Time before a stream that has started is sent to a server again that has
# refused or failed it.
REVISIT_S = 0.15
# Share of an engine's slots that is reserved for the most urgent rank while
# the wait for a slot is not estimated.
RESERVED_SLOT_SHARE = 0.15
# Longest expected wait at an engine to which a less urgent request is sent,
# as a share of the service's shortest target time. Keeps the backlog short
# enough for urgent prompts to be prefilled in time.
MAX_BACKLOG_SHARE = 0.3
URGENT_MAX_BACKLOG_SHARE = 0.8
# Minimum Retry-After of a request over its account's limit.
MIN_QUOTA_RETRY_S = 0.05
# Clients honour Retry-After up to this share of their remaining time.
RETRY_AFTER_SHARE = 1 / 3
# Batches capacity changes, to avoid a scan of the queue for each one.
DISPATCH_DELAY_S = 0.004
CLIENT_DISCONNECTED = 'client disconnected'
# Share of the drain time in which a run may go on at the engine that it was
# moved off.
RETURN_DRAIN_SHARE = 0.85
HELD_BACK = 'servers have crashed under a part of the prompt'
# Results of a server that has not run the request.
_NOT_RUN = frozenset({calls.Result.NOT_SENT, calls.Result.NOT_EXECUTED})


class Forwarder:
    """Serves the client requests of one node."""

    def __init__(self, state: node_state.NodeState, translation: Any) -> None:
        self.state = state
        self.translation = translation
        self.calls: set[calls.Call] = set()
        # Called when a run goes on at the engine that it was moved off.
        self.on_run_returned: Callable[
            [calls.Call, server_registry.Placement], None
        ] = lambda call, placement: None
        self._scheduled_services: set[ids.ServiceName] = set()
        self._sender = sending.Sender(state, translation)
        self._relay = relay.Relay(
            state,
            translation,
            self.may_retry,
            failover.Failover(
                state,
                translation,
                self._sender,
                self._reserve_another,
                self._release,
            ),
        )

    async def handle(
        self,
        request: http_server.CallerRequest,
        reply: http_server.ResponseWriter,
    ) -> None:
        """Serve one request; cancelled when its client disconnects."""
        state = self.state
        metadata = self.translation.decode_request(request.headers)
        decision = admit.check(
            state.configuration,
            state.confirmed_age(),
            state.settings.bounds,
            _host(request),
            request.target.partition(b'?')[0].decode('latin-1'),
            metadata,
            request.arrived_at,
            clock.now(),
        )
        if isinstance(decision, admit.Admitted):
            decision = admit.check_stop(
                decision, state.stop_times, clock.now()
            )
        if isinstance(decision, admit.Admitted):
            decision = self._apply_quota(decision)
        if isinstance(decision, admit.Refusal):
            self._send_refusal(reply, metadata, decision)
            return
        assert state.configuration is not None
        service = state.configuration.services_by_name.get(
            self._pick_service(decision)
        )
        if service is None:
            self._send_refusal(
                reply,
                metadata,
                admit.Refusal(503, 'service is not configured'),
            )
            return
        call = calls.Call(
            request,
            reply,
            decision,
            service,
            calls.Stream(events.EventSplitter(metadata.last_event_id)),
            part_keys=crash_evidence.part_keys(
                service.name, metadata.prompt_parts
            ),
        )
        self.state.rollouts.record_request(service.name)
        call.task = asyncio.current_task()
        self.calls.add(call)
        outcome = CLIENT_DISCONNECTED
        try:
            if not await self.state.part_guard.admit(call):
                self._fail(call, HELD_BACK)
            else:
                await self._serve_with_retries(call)
            outcome = call.detail or 'served'
        except Exception:
            outcome = 'failed within the node'
            self.state.log.exception(outcome, request=call.request_id)
            self._fail(call, outcome)
        finally:
            self.calls.discard(call)
            if call.error_response is not None:
                self.state.held_bytes.discard(call.error_response)
            self._clear_placement(call)
            self._abandon_next_attempt(call)
            self._abandon_move(call)
            if decision.account is not None and not call.sends:
                state.refund_units(decision.account, decision.units)
            self._record_end(call, outcome)

    def _apply_quota(
        self, decision: admit.Admitted
    ) -> admit.Admitted | admit.Refusal:
        account = decision.account
        if account is None or not account.rate_per_s:
            return decision
        wait_s = self.state.take_units(account, decision.units)
        if wait_s is None:
            return decision
        bucket = self.state.bucket(account)
        return admit.Refusal(
            429,
            f'limit of account {account.id}',
            max(MIN_QUOTA_RETRY_S, wait_s),
            {
                'account': account.id,
                'units': int(decision.units),
                'level': int(bucket.level),
                'rate_per_s': account.rate_per_s,
                'heard_share': round(self.state.peers.heard_share(), 2),
                'route': decision.route.name,
            },
        )

    def _pick_service(self, decision: admit.Admitted) -> ids.ServiceName:
        weights = decision.route.weight_by_service
        if len(weights) == 1:
            return next(iter(weights))
        return self.state.rng.choices(
            list(weights), weights=list(weights.values())
        )[0]

    async def _serve_with_retries(self, call: calls.Call) -> None:
        """Try backend servers until one responds or no retry is allowed."""
        while True:
            next_attempt = call.take_next_attempt()
            placement = (
                next_attempt.placement
                if next_attempt
                else call.stream.take_moved()
                or await self._acquire_placement(call)
            )
            if placement is None:
                if not call.sends:
                    self.state.arrivals.record(
                        call.service.name,
                        float(call.admitted.metadata.prompt_tokens),
                    )
                self._fail(call, call.detail or 'no place in time')
                return
            call.placement = placement
            copy = call.stream.copy
            result = (
                await self._follow(call, next_attempt)
                if next_attempt
                else await self._send(call, placement)
            )
            self._clear_placement(call)
            match result:
                case calls.Result.DONE:
                    return
                case calls.Result.DEADLINE_EXCEEDED:
                    self._fail(call, 'out of time')
                    return
                case calls.Result.MOVED:
                    continue
                case calls.Result.FAILED_OVER:
                    call.excluded.add(placement.record.entry.id)
                    continue
                case calls.Result.NOT_SENT:
                    call.unreachable += 1
                    # No other server has the copy of the run.
                    call.stream.copy = None
                    retry = call.unreachable < MAX_CONNECT_FAILURES
                case calls.Result.NOT_EXECUTED:
                    call.record_refusal(placement.record.entry.id)
                    retry = self.may_retry(call)
                case calls.Result.FAILED:
                    retry = (
                        call.admitted.route.retryable
                        and self.may_retry(call)
                        and await self.state.part_guard.may_repeat(call)
                    )
                case calls.Result.HELD:
                    retry = False
            if result in _NOT_RUN and not call.may_start_anew:
                call.stream.lost_at.add(placement.record.entry.id)
                self._log_lost_copy(call, placement, copy)
                if self._return_run(call):
                    continue
                self._fail(call, f'run is lost: {call.detail}')
                return
            if not retry:
                self._fail(call, call.detail)
                return
            # Nothing was sent to a server that was not reached; its health
            # makes others preferred.
            if result is not calls.Result.NOT_SENT:
                call.excluded.add(placement.record.entry.id)
            if call.stream.started and not self._has_untried_server(call):
                await asyncio.sleep(REVISIT_S)
            self.state.log.info(
                'request is sent again',
                request=call.request_id,
                after=result.value,
                detail=call.detail,
                server=placement.record.entry.id,
                lost_copy=copy,
                may_have_run_at=sorted(call.may_have_run_at),
                **call.progress(clock.now()),
            )

    def _return_run(self, call: calls.Call) -> bool:
        """Let a run go on at the engine that it was moved off, if possible."""
        kept, call.stream.kept = call.stream.kept, None
        if kept is None or not self._may_return(kept.record):
            return False
        placement = self.state.servers.reserve_at(kept.record)
        call.stream.moved = calls.Moved(kept.copy, placement)
        self.on_run_returned(call, placement)
        return True

    def _may_return(self, record: server_registry.ServerRecord) -> bool:
        """Whether a run may still go on at the engine that it was moved off.

        A leaving engine takes requests until the drain time is over.
        """
        now = clock.now()
        until = record.leaves_at
        if record.leaving_since is not None:
            drained_at = (
                record.leaving_since
                + RETURN_DRAIN_SHARE * self.state.settings.bounds.drain_s
            )
            until = min(drained_at, until or drained_at)
        return now >= record.directives.paused_until and (
            until is None or now < until
        )

    def _log_lost_copy(
        self,
        call: calls.Call,
        placement: server_registry.Placement,
        copy: str | None,
    ) -> None:
        kept = call.stream.kept
        self.state.log.info(
            'copy of a run is lost',
            request=call.request_id,
            server=placement.record.entry.id,
            detail=call.detail,
            copy=copy,
            kept_at=kept.record.entry.id if kept else None,
            may_return=kept is not None and self._may_return(kept.record),
            may_have_run_at=sorted(call.may_have_run_at),
            **call.progress(clock.now()),
        )

    def may_retry(self, call: calls.Call) -> bool:
        """Whether attempt limit, deadline and retry budget allow a retry.

        Once a stream has started it can only go on or be cut, so that
        refusals don't count as attempts then.
        """
        refusals = call.refusals if call.stream.started else 0
        if call.sends - refusals >= call.admitted.route.max_servers:
            return False
        if clock.now() >= call.admitted.deadline:
            return False
        if call.is_trial or self.state.part_guard.held(call) is not None:
            return False
        return self.state.retry_budget.allows_retry(
            call.service.name, self.state.peers.node_count, clock.now()
        )

    # Server selection

    def reserve(
        self,
        call: calls.Call,
        excluded: set[ids.WorkerId],
        source: records.BackendServer | None = None,
    ) -> server_registry.Placement | None:
        """Reserve a slot at a backend server that has capacity now.

        Parameters
        ----------
        source : BackendServer or None
            Server that the run is moved off.
        """
        rollouts = self.state.rollouts
        service = call.service.name
        requirements = self._requirements(call)
        for accepts in (
            rollouts.choices(service, may_try=not call.sends)
            if source is None
            else (rollouts.stays(service, source),)
        ):
            placement = self.state.servers.reserve(
                call.service,
                call.admitted.metadata,
                requirements,
                excluded,
                self.state.rng,
                clock.now(),
                accepts,
            )
            if placement is not None:
                rollouts.record_placement(placement.record.entry)
                self.state.load.speeds.record_placed(
                    service,
                    placement.uncached_tokens,
                    clock.now(),
                    server_selection.may_stall_streams(requirements),
                )
                if not call.sends:
                    self.state.arrivals.record(
                        service, placement.uncached_tokens
                    )
                return placement
        return None

    def _reserve_another(
        self, call: calls.Call
    ) -> server_registry.Placement | None:
        """Reserve a slot at a server other than that of the attempt."""
        excluded = call.excluded
        if call.stream.started and not self._has_untried_server(call):
            # A server that has refused or failed it may accept it now.
            excluded = {
                record.entry.id
                for record in self.state.servers.of_service(call.service.name)
            } - call.tried
        if call.placement is not None:
            excluded = {*excluded, call.placement.record.entry.id}
        return self.reserve(call, excluded)

    def _has_untried_server(self, call: calls.Call) -> bool:
        return len(call.tried) < call.admitted.route.max_servers and any(
            record.usable and record.entry.id not in call.excluded
            for record in self.state.servers.of_service(call.service.name)
        )

    def _requirements(self, call: calls.Call) -> server_selection.Requirements:
        if call.service.engine is None:
            return server_selection.Requirements(slot_share=2.0)
        load = self.state.load.figures(call.service.name, clock.now())
        route = call.admitted.route
        urgency = self._urgency(call.service.name)
        urgent = route.rank <= urgency.rank
        requirements = server_selection.Requirements(
            prompt_tokens=max(1, call.admitted.metadata.prompt_tokens),
            allowed_wait_ms=1e3
            * (
                URGENT_MAX_BACKLOG_SHARE * route.target_s
                if urgent
                else MAX_BACKLOG_SHARE * urgency.target_s
            ),
            slot_share=1.0 if urgent else 1.0 - RESERVED_SLOT_SHARE,
            gap_ms=1e3 * urgency.gap_s,
            tokens_per_ms=load.tokens_per_ms,
            gathering=load.gathering,
        )
        if not self.state.peers.uses_hubs:
            # Each node hears all others directly, so that their load counts
            # as current.
            return requirements
        return dataclasses.replace(
            requirements,
            report_age_s=load.report_age_s,
            unseen_ms=load.unseen_ms,
            run_ms=load.run_ms,
            running_error=load.running_error,
        )

    def _urgency(self, service: ids.ServiceName) -> records.Urgency:
        """Strictest rank and time targets of the routes to a service."""
        configuration = self.state.configuration
        assert configuration is not None
        return configuration.urgency_by_service.get(service, records.Urgency())

    async def _acquire_placement(
        self, call: calls.Call
    ) -> server_registry.Placement | None:
        queue = self.state.queue_by_service[call.service.name]
        rank = call.admitted.rank
        if not any(ticket.rank <= rank for ticket in queue.waiting()):
            placement = self._reserve_another(call)
            if placement is not None:
                return placement
        paused_until = min(
            (
                record.directives.paused_until
                for record in self.state.servers.of_service(call.service.name)
                if record.usable
            ),
            default=None,
        )
        if paused_until is None:
            call.detail = 'no backend server of the service is ready'
            return None
        queued_at = clock.now()
        reservation = asyncio.get_running_loop().create_future()
        queued = waiting.make_queued_request(
            call.admitted.route,
            rank,
            call.request.arrived_at,
            call.admitted.deadline,
            lambda: self._reserve_another(call),
            reservation,
            None if call.excluded else call.admitted.route.name,
        )
        if paused_until >= queued.expires_at:
            call.detail = 'all backend servers have asked for a pause'
            return None
        queue.add(queued)
        self.schedule_dispatch(call.service.name)
        try:
            placement = await reservation
        except asyncio.CancelledError:
            if reservation.done() and not reservation.cancelled():
                self._release(reservation.result())
            reservation.cancel()
            raise
        call.waited_s += clock.now() - queued_at
        self.state.metrics.waited_s.observe(
            {'service': call.service.name}, clock.now() - queued_at
        )
        if placement is None:
            call.detail = 'waited too long for a place'
        return placement

    def schedule_dispatch(self, service: ids.ServiceName) -> None:
        """Schedule a dispatch of the queued requests of a service."""
        if (
            service in self._scheduled_services
            or not self.state.queue_by_service[service]
        ):
            return
        self._scheduled_services.add(service)
        asyncio.get_running_loop().call_later(
            DISPATCH_DELAY_S, self._dispatch_queue, service
        )

    def schedule_dispatch_all(self) -> None:
        """Schedule a dispatch of the queued requests of all services."""
        for service in list(self.state.queue_by_service):
            self.schedule_dispatch(service)

    def _dispatch_queue(self, service: ids.ServiceName) -> None:
        self._scheduled_services.discard(service)
        self.state.queue_by_service[service].dispatch(clock.now())

    def _release(self, placement: server_registry.Placement | None) -> None:
        if placement is not None:
            self.state.servers.release(placement)
            self.schedule_dispatch(placement.record.entry.service)

    def _clear_placement(self, call: calls.Call) -> None:
        self._release(call.placement)
        call.placement = None

    def _abandon_next_attempt(self, call: calls.Call) -> None:
        next_attempt = call.take_next_attempt()
        if next_attempt is not None:
            next_attempt.connection.abort()
            self._release(next_attempt.placement)

    def _abandon_move(self, call: calls.Call) -> None:
        """Release the slot of a move that the stream did not need."""
        self._release(call.stream.take_moved())
        if call.stream.moving is not None:
            call.stream.moving.add_done_callback(self._release_destination)

    def _release_destination(
        self, moving: 'asyncio.Task[calls.Moved | None]'
    ) -> None:
        if not moving.cancelled() and moving.exception() is None:
            moved = moving.result()
            self._release(moved.placement if moved else None)

    # Sending

    async def _send(
        self, call: calls.Call, placement: server_registry.Placement
    ) -> calls.Result:
        opened = await self._sender.open(call, placement.record)
        if isinstance(opened, http_client.ConnectionBroken):
            call.detail = opened.detail
            return calls.Result.NOT_SENT
        if clock.now() >= call.admitted.deadline:
            opened.connection.abort()
            return calls.Result.DEADLINE_EXCEEDED
        # The parts may have been held back while the request was waiting.
        if self.state.part_guard.held(call) is not None:
            opened.connection.abort()
            call.detail = HELD_BACK
            return calls.Result.HELD
        return await self._follow(
            call, self._sender.send(call, placement, opened)
        )

    async def _follow(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> calls.Result:
        """Relay the response to a request that was sent."""
        observer = version_answers.Observer(self.state.rollouts, call, attempt)
        try:
            answer = await self._relay.follow(
                call, attempt, observer.on_events
            )
        except BaseException:
            attempt.connection.abort()
            observer.on_disconnected()
            raise
        observer.on_result(answer)
        if (
            attempt.reused
            and answer.result is calls.Result.FAILED
            and not answer.answered
            and answer.ended_early
        ):
            # The server closed the idle connection before the request
            # arrived, which does not indicate a failing server.
            call.detail = 'kept connection was closed'
            return answer.result
        call.detail = answer.detail
        if answer.server_outcome is not None:
            self._sender.record_outcome(
                attempt.placement.record, answer.server_outcome, answer.detail
            )
        return answer.result

    # Completion

    def end_all(self) -> None:
        """Answer the requests that are in progress, as the node ends.

        A stream that has started is cut, visibly.
        """
        for call in list(self.calls):
            self._fail(call, 'node is stopping')
            if call.task is not None:
                call.task.cancel()

    def _fail(self, call: calls.Call, reason: str) -> None:
        """Send the client an error, or abort a response already started."""
        if call.reply.ended:
            return
        call.detail = reason
        if call.reply.started:
            call.reply.abort()
            return
        error = call.error_response
        if error is not None:
            call.status = error.status
            call.reply.send(error.status, error.headers, error.body)
            return
        now = clock.now()
        if call.may_have_run_at:
            late = now >= call.admitted.deadline
            self._send_error(call.reply, call, 504 if late else 502, None)
            return
        remaining_s = max(0.0, call.admitted.deadline - now)
        hold = self.state.part_guard.held(call)
        self._send_error(
            call.reply,
            call,
            503,
            min(admit.OTHER_NODE_RETRY_S, remaining_s * RETRY_AFTER_SHARE)
            if hold is None
            else part_guard.retry_after_s(hold, now),
        )

    def _send_error(
        self,
        reply: http_server.ResponseWriter,
        call: calls.Call,
        status: int,
        retry_after_s: float | None,
    ) -> None:
        call.status = status
        reply.send(
            status,
            self._response_headers(call.request_id, retry_after_s),
            call.detail.encode(),
        )

    def _response_headers(
        self, request_id: str | None, retry_after_s: float | None
    ) -> list[http_server.Header]:
        headers = [(b'Content-Type', b'text/plain')]
        headers += self.translation.request_id_header(request_id)
        if retry_after_s is not None:
            headers.append((b'Retry-After', b'%.3f' % retry_after_s))
        return headers

    def _send_refusal(
        self,
        reply: http_server.ResponseWriter,
        metadata: messages.RequestMetadata,
        refusal: admit.Refusal,
    ) -> None:
        self.state.metrics.requests.inc(
            {'route': '', 'outcome': str(refusal.status)}
        )
        configuration = self.state.configuration
        self.state.log.info(
            'request is refused',
            request=metadata.request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            configuration=configuration.version if configuration else None,
            configuration_age_s=round(self.state.confirmed_age(), 2),
            **refusal.inputs,
        )
        reply.send(
            refusal.status,
            self._response_headers(metadata.request_id, refusal.retry_after_s),
            refusal.reason.encode(),
        )

    def _record_end(self, call: calls.Call, outcome: str) -> None:
        now = clock.now()
        arrived_at = call.request.arrived_at
        self.state.metrics.requests.inc(
            {
                'route': call.admitted.route.name,
                'outcome': str(call.status or 'none'),
            }
        )
        if call.reply.started and not call.reply.complete:
            self.state.metrics.cut_responses.inc(
                {
                    'route': call.admitted.route.name,
                    'ended_by': 'client'
                    if outcome == CLIENT_DISCONNECTED
                    else 'node',
                }
            )
        if call.first_at is not None:
            self.state.metrics.first_byte_s.observe(
                {'route': call.admitted.route.name},
                call.first_at - arrived_at,
            )
        record = call.stream.last_record
        self.state.log.info(
            'request ended',
            request=call.request_id,
            route=call.admitted.route.name,
            account=call.admitted.account and call.admitted.account.id,
            rank=call.admitted.rank,
            units=int(call.admitted.units),
            configuration=call.admitted.version,
            status=call.status,
            outcome=outcome,
            complete=call.reply.complete,
            server=record.entry.id if record else None,
            slowness=round(record.slowness(now), 2) if record else None,
            longest_gap_ms=int(call.stream.longest_gap_s * 1e3),
            unreachable=call.unreachable,
            waited_ms=int(call.waited_s * 1e3),
            first_ms=int((call.first_at - arrived_at) * 1e3)
            if call.first_at
            else None,
            total_ms=int((now - arrived_at) * 1e3),
            **call.progress(now),
        )


def _host(request: http_server.CallerRequest) -> str:
    hosts = [
        value for name, value in request.headers if name.lower() == b'host'
    ]
    if len(hosts) != 1:
        return ''
    return hosts[0].decode('latin-1').partition(':')[0].strip().lower()
