"""Back-pressure on a connection of a client."""

import asyncio
import enum
import select

from . import client_limits
from . import clock


class PauseReason(enum.Enum):
    """Why a connection is not read."""

    GRANT = 'the body has not been granted'
    PIPELINE = 'many requests are pending'
    PACE = 'its pieces are very small'


# Reasons for which what has been received is kept unparsed.
_KEEPING = frozenset({PauseReason.GRANT, PauseReason.PIPELINE})


class ReadingPauses:
    """Reasons for which one connection is not read.

    Attributes
    ----------
    paused_s : float
        Time of the pauses since the latest complete request.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        account: client_limits.ClientBytes,
        holding: client_limits.Holding,
        pacer: client_limits.Pacer,
    ) -> None:
        self._transport = transport
        self._account = account
        self._holding = holding
        self._pacer = pacer
        self._reasons: set[PauseReason] = set()
        self._shortfall = 0
        self._paused_at = 0.0
        self.paused_s = 0.0

    def __bool__(self) -> bool:
        return bool(self._reasons)

    def __contains__(self, reason: PauseReason) -> bool:
        return reason in self._reasons

    @property
    def keeps_unparsed(self) -> bool:
        """Whether received bytes are kept until a pause ends."""
        return not _KEEPING.isdisjoint(self._reasons)

    def pause(self, reason: PauseReason) -> None:
        """Stop reading."""
        self._transport.pause_reading()
        if not self._reasons:
            self._paused_at = clock.now()
        self._reasons.add(reason)
        self._count_unreceived()

    def end(self, reason: PauseReason) -> None:
        """End one pause; `read_on` resumes reading."""
        self._reasons.discard(reason)
        if not self._reasons:
            self.paused_s += clock.now() - self._paused_at
        self._count_unreceived()

    def read_on(self) -> None:
        """Resume reading if there is no reason against it."""
        if not self._reasons:
            self._transport.resume_reading()

    def end_all(self) -> None:
        """Read on, to discard what the client still sends."""
        self._reasons.clear()
        self._count_unreceived()
        self.read_on()

    def pace_s(self, pieces: int, count: int) -> float:
        """Return how long to pause after a read, for very small pieces.

        Parameters
        ----------
        pieces, count : int
            Parsed pieces, and their bytes.
        """
        self._shortfall = max(
            0, self._shortfall + pieces * client_limits.PIECE_BYTES - count
        )
        if self._shortfall <= client_limits.MAX_SHORTFALL_BYTES:
            return 0.0
        shortfall, self._shortfall = self._shortfall, 0
        return self._pacer.delay_s(shortfall, clock.now())

    def restart(self) -> None:
        """Start anew after a complete request."""
        self._shortfall = 0
        self.paused_s = 0.0

    def _count_unreceived(self) -> None:
        self._account.set_part(
            self._holding,
            client_limits.Part.UNRECEIVED,
            client_limits.RECEIVE_BUFFER_BYTES if self.keeps_unparsed else 0,
        )


def has_input(transport: asyncio.Transport) -> bool:
    """Whether input waits in the socket that the loop has not read yet."""
    return _polls(transport, select.POLLIN)


def has_hung_up(transport: asyncio.Transport) -> bool:
    """Whether the client has closed a connection that is not read."""
    return _polls(transport, select.POLLRDHUP)


def _polls(transport: asyncio.Transport, event: int) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info('socket'), event)
    return bool(poll.poll(0))
