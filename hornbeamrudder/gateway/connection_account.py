"""What one connection of a client holds, in the account of its node."""

import asyncio
from typing import Iterable

from . import client_limits
from . import clock
from . import request_reader

# Looked up several times for each request.
_READING = client_limits.Part.READING
_QUEUED = client_limits.Part.QUEUED
_RUNNING = client_limits.Part.RUNNING
_UNREAD = client_limits.Part.UNREAD


class ConnectionAccount:
    """Counts the requests and responses of one connection.

    Attributes
    ----------
    written_at : float
        Time at which the client has last read of a response, on `clock.now`.
    """

    def __init__(
        self, account: client_limits.ClientBytes, client: client_limits.Client
    ) -> None:
        self._account = account
        self._client = client
        self.holding = account.open(client, clock.now())
        self.written_at = 0.0
        self._progress_bytes = 0
        # Bytes written to the transport, and sent by it when last counted.
        self._written_bytes = 0
        self._sent_bytes = 0
        self._running_grant = 0

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that the client has not read."""
        return self.holding.bytes_by_part[_UNREAD]

    @property
    def is_stalled(self) -> bool:
        """Whether there has been no progress for a while."""
        return clock.now() - self.holding.since >= client_limits.MIN_STALL_S

    def update_phase(self, phase: client_limits.Phase) -> None:
        """Record what the client does."""
        if phase is not self.holding.phase or (
            self._progress_bytes >= client_limits.PROGRESS_BYTES
        ):
            self._progress_bytes = 0
            self.holding.since = clock.now()
        self.holding.phase = phase

    def count_received(self, count: int) -> None:
        """Count received bytes as progress."""
        self._progress_bytes += count

    def count_reading(self, held_bytes: int) -> None:
        """Set what the request takes that is being read."""
        if held_bytes or self.holding.bytes_by_part[_READING]:
            self._account.set_part(self.holding, _READING, held_bytes)
            self.settle()

    def count_written(self, count: int, transport: asyncio.Transport) -> None:
        """Count bytes that were written to the transport."""
        self._written_bytes += count
        self.count_unread(transport)

    def count_unread(self, transport: asyncio.Transport) -> None:
        """Set what the transport holds for the client."""
        before = self.holding.bytes_by_part[_UNREAD]
        size = transport.get_write_buffer_size()
        if not before and not size:
            return
        now = clock.now()
        sent = self._written_bytes - size
        if sent > self._sent_bytes or not before:
            self.written_at = now
            self._progress_bytes += sent - self._sent_bytes
            self._sent_bytes = sent
        if not before or (
            self._progress_bytes >= client_limits.PROGRESS_BYTES
        ):
            self._progress_bytes = 0
            self.holding.since = now
        self._account.set_part(self.holding, _UNREAD, size)
        if size > before:
            self.settle()

    def queue(self, request: request_reader.CallerRequest) -> None:
        """Count a request that has been read completely."""
        holding = self.holding
        if request.granted_bytes:
            self._account.return_grant(
                holding, request.granted_bytes - _kept_grant(request)
            )
        if holding.bytes_by_part[_READING]:
            self._account.set_part(holding, _READING, 0)
        self._account.charge(holding, _QUEUED, request.held_bytes)
        holding.has_completed = True
        holding.since = clock.now()

    def settle(self) -> bool:
        """Close others if the limit is exceeded; return whether it is not."""
        account = self._account
        if account.is_full:
            account.settle(clock.now())
        return not account.is_full

    def start(self, request: request_reader.CallerRequest) -> None:
        """Count a queued request as in progress."""
        size = request.held_bytes
        self.holding.bytes_by_part[_QUEUED] -= size
        self.holding.bytes_by_part[_RUNNING] += size
        if request.granted_bytes:
            self._running_grant = _kept_grant(request)

    def finish(self) -> None:
        """Count the request in progress no longer."""
        self._account.set_part(self.holding, _RUNNING, 0)
        if self._running_grant:
            self._account.return_grant(self.holding, self._running_grant)
            self._running_grant = 0

    def drop_queued(
        self, requests: Iterable[request_reader.CallerRequest]
    ) -> None:
        """Count queued requests no longer."""
        for request in requests:
            self._account.return_grant(self.holding, _kept_grant(request))
            self._account.charge(self.holding, _QUEUED, -request.held_bytes)

    def drop_reading(self, granted: int) -> None:
        """Count the request that is being read no longer."""
        self._account.withdraw(self._client)
        self._account.return_grant(self.holding, granted)
        self._account.set_part(self.holding, _READING, 0)

    def drop_unread(self) -> None:
        """Count the responses no longer."""
        self._account.set_part(self.holding, _UNREAD, 0)

    def close(self) -> None:
        """Remove the connection."""
        self._account.discard(self._client)


def _kept_grant(request: request_reader.CallerRequest) -> int:
    """Return what a body keeps of its grant."""
    return min(request.granted_bytes, len(request.body))
