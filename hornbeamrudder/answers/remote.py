"""Reads an answer that another node has, as if it were here."""

import time

from returns import result

from . import buffer
from ..core import errors
from ..core import ids
from ..core import types
from . import handover
from ..peers import messages

POLL_S = 0.03
# An owner that has not answered for this long is given up; a peer counts as
# dead after 2 s without heartbeats.
SILENT_LIMIT_S = 5.0


class RemoteAnswer:
    """The part of an answer buffer that a reader needs, over the network."""

    def __init__(
        self,
        exchange: handover.Exchange,
        owner: ids.NodeId,
        request_id: ids.RequestId,
        account: ids.AccountId,
    ) -> None:
        self.request_id = request_id
        self.state = buffer.AnswerState.RUNNING
        self.failure: errors.Failure | None = None
        self._exchange = exchange
        self._owner = owner
        self._account = account
        self._heard_at = time.monotonic()

    def exists(self) -> bool:
        """Whether the owner has the answer."""
        match self._fetch(0):
            case result.Success(messages.AnswerPiece(found=found)):
                return found
            case _:
                return False

    def wait(self, offset: int, timeout_s: float) -> tuple[bytes, int, bool]:
        """Wait for events from `offset` on; as `AnswerBuffer.wait`."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            match self._fetch(offset):
                case result.Success(messages.AnswerPiece() as piece):
                    self._heard_at = time.monotonic()
                    if piece.pieces or piece.last:
                        return self._take(piece, offset)
            if time.monotonic() > self._heard_at + SILENT_LIMIT_S:
                break
            time.sleep(POLL_S)
        if time.monotonic() > self._heard_at + SILENT_LIMIT_S:
            # Without the end mark the caller comes back and asks anew.
            self.state = buffer.AnswerState.MOVED
            return b'', offset, True
        return b'', offset, False

    def _take(
        self, piece: messages.AnswerPiece, offset: int
    ) -> tuple[bytes, int, bool]:
        if piece.last:
            self.state = self._end_state(piece)
        return (
            b''.join(piece.pieces),
            offset + len(piece.pieces),
            piece.last,
        )

    def _end_state(self, piece: messages.AnswerPiece) -> buffer.AnswerState:
        if not piece.found:
            return buffer.AnswerState.MOVED
        if piece.detail:
            self.failure = errors.Failure(
                errors.FailureKind.INTERRUPTED,
                errors.Step.READ_ANSWER,
                self._owner,
                piece.detail,
                types.Outcome.FAILED,
            )
            return buffer.AnswerState.FAILED
        return buffer.AnswerState.COMPLETE

    def _fetch(
        self, offset: int
    ) -> result.Result[messages.Message, errors.Failure]:
        return self._exchange.request(
            self._owner,
            messages.FetchAnswer(self.request_id, self._account, offset),
        ).result()
