"""Moves running streams off backend servers that are about to terminate.

Keeps streams alive when hosts are reclaimed, up to a whole data centre. A
stream that must not be retried continues at another engine from a copy of its
KV cache. A resumable one is prefilled again there, which costs less than
copying the cache of a long prompt.
"""

import asyncio
from typing import Awaitable, Callable

from . import calls
from . import clock
from ..core import errors
from ..core import ids
from ..core import types
from . import forward
from . import messages
from . import records
from . import server_registry

# Time before the termination of a backend server at which its streams are
# moved, or resumed elsewhere.
MOVE_LEAD_TIME_S = 1.1
RESUME_LEAD_TIME_S = 0.35
# Share of the drain time after which streams are moved off a server that has
# not announced when it terminates.
DEFAULT_MOVE_DRAIN_SHARE = 0.6
# Limits for copying a run that goes on meanwhile, and for stopping it and
# copying the rest.
COPY_TIMEOUT_S = 0.6
STOP_TIMEOUT_S = 0.4
# Time for an engine to go on with a run that was moved off it, before the run
# is moved again.
RETURN_S = 0.1

MoveRun = Callable[
    [types.Address, ids.RequestId, types.Address, float, bool],
    Awaitable['str | messages.StoppedRun | errors.Failure'],
]


class Mover:
    """Schedules and runs the moves of streams off leaving backend servers."""

    def __init__(
        self, forwarder: forward.Forwarder, move_run: MoveRun
    ) -> None:
        self._forwarder = forwarder
        self._move_run = move_run
        self._tasks: set[asyncio.Task[None]] = set()
        forwarder.on_run_returned = self._move_again

    def set_move_run(self, move_run: MoveRun) -> None:
        """Replace the call that copies a run; for tests."""
        self._move_run = move_run

    def leaving(self, record: server_registry.ServerRecord) -> None:
        """Schedule the move of all streams of a leaving backend server."""
        now = clock.now()
        terminates_at = record.leaves_at
        if terminates_at is None:
            terminates_at = (
                now
                + DEFAULT_MOVE_DRAIN_SHARE
                * self._forwarder.state.settings.bounds.drain_s
                + MOVE_LEAD_TIME_S
            )
        self.move_off(record, terminates_at)

    def move_off(
        self, record: server_registry.ServerRecord, terminates_at: float
    ) -> None:
        """Schedule the move of all streams of a backend server.

        Parameters
        ----------
        terminates_at : float
            Time on `clock.now` at which it ends.
        """
        for call in list(self._forwarder.calls):
            if (
                call.placement is None
                or call.placement.record is not record
                or call.service.engine is None
            ):
                continue
            if call.admitted.route.resumable:
                call.stream.resume_elsewhere_at = (
                    terminates_at - RESUME_LEAD_TIME_S
                )
            elif call.service.engine.can_move:
                self._schedule(
                    call, call.placement, terminates_at - MOVE_LEAD_TIME_S
                )

    def returned(self, record: server_registry.ServerRecord) -> None:
        """Leave the streams of a backend server that does not leave there."""
        for call in self._forwarder.calls:
            if call.placement is not None and call.placement.record is record:
                call.stream.resume_elsewhere_at = None

    def _must_move(self, record: server_registry.ServerRecord) -> bool:
        rollouts = self._forwarder.state.rollouts
        return record.leaving_since is not None or rollouts.is_ending(
            record.entry
        )

    def _move_again(
        self, call: calls.Call, placement: server_registry.Placement
    ) -> None:
        self._schedule(call, placement, clock.now() + RETURN_S)

    def _schedule(
        self,
        call: calls.Call,
        placement: server_registry.Placement,
        at: float,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._move_at(call, placement, at)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _move_at(
        self,
        call: calls.Call,
        placement: server_registry.Placement,
        at: float,
    ) -> None:
        await asyncio.sleep(max(0.0, at - clock.now()))
        if (
            call.placement is not placement
            or not self._must_move(placement.record)
            or call.admitted.route.retry_safety
            is not records.RetrySafety.STREAM
        ):
            return
        call.stream.moving = asyncio.get_running_loop().create_task(
            self._move(call, placement)
        )

    async def _move(
        self, call: calls.Call, placement: server_registry.Placement
    ) -> calls.Moved | None:
        forwarder = self._forwarder
        source = placement.record.entry
        destination = forwarder.reserve(
            call, {source.id, *call.stream.lost_at}, source
        )
        if destination is None:
            forwarder.state.log.info(
                'run is not moved: no engine has room',
                request=call.request_id,
                server=source.id,
            )
            return None
        # The copied KV cache includes the whole prompt: nothing to prefill.
        forwarder.state.servers.mark_prefilled(destination)
        moved = None
        try:
            moved = await self._copy_and_stop(
                call, placement.record, destination
            )
        finally:
            if moved is None:
                forwarder.state.servers.release(destination)
        return moved

    async def _copy_and_stop(
        self,
        call: calls.Call,
        source: server_registry.ServerRecord,
        destination: server_registry.Placement,
    ) -> calls.Moved | None:
        """Copy a run, then stop it; None if it goes on, without a copy.

        Without a copy elsewhere the run is not stopped, as it could go on
        nowhere.
        """
        fields = {
            'request': call.request_id,
            'server': source.entry.id,
            'destination': destination.record.entry.id,
        }
        log = self._forwarder.state.log

        async def copy_run(
            timeout_s: float, last: bool
        ) -> str | messages.StoppedRun | errors.Failure:
            return await self._move_run(
                source.entry.address,
                call.request_id,
                destination.record.entry.address,
                timeout_s,
                last,
            )

        copied = await copy_run(COPY_TIMEOUT_S, last=False)
        if not isinstance(copied, str):
            log.info('run is not moved', **fields, failure=str(copied))
            return None
        stopped = await copy_run(STOP_TIMEOUT_S, last=True)
        failure = None
        # If the engine has stopped the run all the same, the destination
        # computes again what its copy lacks.
        copy = kept = copied
        match stopped:
            case str():
                copy = kept = stopped
            case messages.StoppedRun():
                kept = stopped.copy
                failure = stopped.detail
            case errors.Failure():
                failure = str(stopped)
        log.info(
            'run is moved',
            **fields,
            events=call.stream.splitter.count,
            failure=failure,
        )
        return calls.Moved(copy, destination, calls.KeptRun(kept, source))
