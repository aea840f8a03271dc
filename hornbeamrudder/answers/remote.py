"""Reads an answer that is at another node."""

import time

from returns import result

from . import buffer
from ..core import errors
from ..core import ids
from ..core import types
from . import handover
from ..peers import messages

POLL_INTERVAL_S = 0.03
# Time without a response after which the owner of an answer counts as failed.
# Exceeds the 2 s without heartbeats after which a peer counts as dead.
OWNER_TIMEOUT_S = 5.0


class RemoteAnswer:
    """Read access to the answer buffer of another node."""

    def __init__(
        self,
        exchange: handover.PeerClient,
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
        self._last_response_at = time.monotonic()

    def exists(self) -> bool:
        """Return whether the owner has the answer."""
        match self._fetch(0):
            case result.Success(messages.AnswerPiece(found=found)):
                return found
            case _:
                return False

    def wait(self, offset: int, timeout_s: float) -> tuple[bytes, int, bool]:
        """Wait for events from `offset` on, like `AnswerBuffer.wait`."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            match self._fetch(offset):
                case result.Success(messages.AnswerPiece() as piece):
                    self._last_response_at = time.monotonic()
                    if piece.pieces or piece.last:
                        return self._apply_piece(piece, offset)
            if time.monotonic() > self._last_response_at + OWNER_TIMEOUT_S:
                break
            time.sleep(POLL_INTERVAL_S)
        if time.monotonic() > self._last_response_at + OWNER_TIMEOUT_S:
            # Without the end marker the caller reconnects and resumes.
            self.state = buffer.AnswerState.MOVED
            return b'', offset, True
        return b'', offset, False

    def _apply_piece(
        self, piece: messages.AnswerPiece, offset: int
    ) -> tuple[bytes, int, bool]:
        if piece.last:
            self.state = self._final_state(piece)
        return (
            b''.join(piece.pieces),
            offset + len(piece.pieces),
            piece.last,
        )

    def _final_state(self, piece: messages.AnswerPiece) -> buffer.AnswerState:
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
