"""Moves streams away from backend servers that are about to end.

Answers reclaims of a whole data centre: a stream that may not be repeated
goes on at another engine from a copy of its memory; one that may be resumed
is read in again there, which costs less than copying a long prompt.
"""

import asyncio
from typing import Awaitable, Callable

from . import calls
from . import clock
from ..core import errors
from ..core import ids
from ..core import types
from . import forward
from . import records
from . import server_registry

# Time before the end of a backend server at which its streams leave it.
LEAVE_BEFORE_S = 1.1
RESUME_BEFORE_S = 0.35
# Part of the drain time after which streams leave a server that has not
# said when it ends.
UNKNOWN_END_SHARE = 0.6
MOVE_TIMEOUT_S = 1.0

MoveRun = Callable[
    [types.Address, ids.RequestId, types.Address, float],
    Awaitable['str | errors.Failure'],
]


class Mover:
    """Moves the streams of leaving backend servers."""

    def __init__(
        self, forwarder: forward.Forwarder, move_run: MoveRun
    ) -> None:
        self._forwarder = forwarder
        self._move_run = move_run
        self._tasks: set[asyncio.Task[None]] = set()

    def set_move_run(self, move_run: MoveRun) -> None:
        """Replace the call that copies a run, in tests."""
        self._move_run = move_run

    def leaving(self, record: server_registry.ServerRecord) -> None:
        """Plan the move of all streams of a backend server."""
        now = clock.now()
        ends_at = record.leaves_at
        if ends_at is None:
            ends_at = (
                now
                + UNKNOWN_END_SHARE
                * self._forwarder.state.settings.bounds.drain_s
                + LEAVE_BEFORE_S
            )
        for call in list(self._forwarder.calls):
            if (
                call.placement is None
                or call.placement.record is not record
                or call.service.engine is None
            ):
                continue
            if call.admitted.route.resumable:
                call.stream.leave_at = ends_at - RESUME_BEFORE_S
            elif call.service.engine.can_move:
                task = asyncio.get_running_loop().create_task(
                    self._move_at(
                        call, call.placement, ends_at - LEAVE_BEFORE_S
                    )
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
            or call.admitted.route.repetition is not records.Repetition.STREAM
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
        destination = forwarder.reserve(call, {source.id})
        if destination is None:
            forwarder.state.log.info(
                'run is not moved: no engine has room',
                request=call.request_id,
                server=source.id,
            )
            return None
        # The copy holds all that was read.
        forwarder.state.servers.mark_prompt_read(destination)
        target = destination.record.entry
        copied = await self._move_run(
            source.address,
            call.request_id,
            target.address,
            MOVE_TIMEOUT_S,
        )
        if isinstance(copied, errors.Failure):
            forwarder.state.servers.release(destination)
            forwarder.state.log.info(
                'run is not moved',
                request=call.request_id,
                server=source.id,
                destination=target.id,
                failure=str(copied),
            )
            return None
        forwarder.state.log.info(
            'run is moved',
            request=call.request_id,
            server=source.id,
            destination=target.id,
            events=call.stream.splitter.count,
        )
        return calls.Moved(copied, destination)
