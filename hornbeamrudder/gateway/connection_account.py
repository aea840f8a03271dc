"""What one connection of a client holds, in the account of its node."""

import asyncio
from typing import Iterable

from . import client_limits
from . import clock
from . import request_reader


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
        self._running_grant = 0

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that the client has not read."""
        return self.holding.bytes_by_part[client_limits.Part.UNREAD]

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
        self._account.set_part(
            self.holding, client_limits.Part.READING, held_bytes
        )
        self._account.settle(clock.now())

    def count_unread(self, transport: asyncio.Transport) -> None:
        """Set what the transport holds for the client."""
        before, size = self.unread_bytes, transport.get_write_buffer_size()
        if size == before:
            return
        now = clock.now()
        if size < before or not before:
            self.written_at = self.holding.since = now
        self._account.set_part(self.holding, client_limits.Part.UNREAD, size)
        if size > before:
            self._account.settle(now)

    def queue(
        self, request: request_reader.CallerRequest, granted: int
    ) -> None:
        """Count a request that has been read completely.

        Parameters
        ----------
        granted : int
            Bytes granted for its body, which may be shorter.
        """
        self._account.return_grant(
            self.holding, granted - request.granted_bytes
        )
        self._account.set_part(self.holding, client_limits.Part.READING, 0)
        self._account.charge(
            self.holding, client_limits.Part.QUEUED, request.held_bytes
        )
        self.holding.has_completed = True
        self.holding.since = clock.now()

    def has_room(self) -> bool:
        """Return whether a request fits, after closing others for it."""
        self._account.settle(clock.now())
        return not self._account.is_full

    def start(self, request: request_reader.CallerRequest) -> None:
        """Count a queued request as in progress."""
        self._account.charge(
            self.holding, client_limits.Part.QUEUED, -request.held_bytes
        )
        self._account.charge(
            self.holding, client_limits.Part.RUNNING, request.held_bytes
        )
        self._running_grant = request.granted_bytes

    def finish(self) -> None:
        """Count the request in progress no longer."""
        self._account.set_part(self.holding, client_limits.Part.RUNNING, 0)
        self._account.return_grant(self.holding, self._running_grant)
        self._running_grant = 0

    def drop_queued(
        self, requests: Iterable[request_reader.CallerRequest]
    ) -> None:
        """Count queued requests no longer."""
        for request in requests:
            self._account.return_grant(self.holding, request.granted_bytes)
            self._account.charge(
                self.holding, client_limits.Part.QUEUED, -request.held_bytes
            )

    def drop_reading(self, granted: int) -> None:
        """Count the request that is being read no longer."""
        self._account.withdraw(self._client)
        self._account.return_grant(self.holding, granted)
        self._account.set_part(self.holding, client_limits.Part.READING, 0)

    def drop_unread(self) -> None:
        """Count the responses no longer."""
        self._account.set_part(self.holding, client_limits.Part.UNREAD, 0)

    def close(self) -> None:
        """Remove the connection."""
        self._account.discard(self._client)
