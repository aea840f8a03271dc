"""What an answer tells of the software version of its backend server."""

from . import calls
from . import clock
from . import relay
from ..rollouts import evidence
from ..rollouts import judgement
from ..rollouts import tracker

# Events after which the time between them is judged, and from which it is
# judged if the answer ends before.
GAP_EVENTS = 6
MIN_GAP_EVENTS = 3


class Observer:
    """Follows one answer, and counts it as soon as it tells something."""

    def __init__(
        self,
        rollouts: tracker.RollOuts,
        call: calls.Call,
        attempt: calls.Attempt,
    ) -> None:
        self._rollouts = rollouts
        self._call = call
        self._attempt = attempt
        self._events_before = call.stream.splitter.count
        self._first_at: float | None = None
        self._is_counted = False
        self._is_bad = False
        self._has_gap = False

    def on_events(self) -> None:
        """Count the first event, and the time between the first few."""
        now = clock.now()
        if self._first_at is None:
            self._first_at = now
            # A stream that goes on is read in again.
            is_resumed = self._call.stream.is_resumed
            self._record(
                evidence.Quality.GOOD,
                evidence.Times(
                    None if is_resumed else now - self._attempt.sent_at
                ),
            )
        elif not self._has_gap and self._events() >= GAP_EVENTS:
            self._record_gap(now)

    def on_result(self, result: relay.ExchangeResult) -> None:
        """Count the end of the exchange.

        Refusals, moved runs and connections that were not made tell nothing:
        the server did not work on the request, or was not done with it.
        """
        match result.result:
            case calls.Result.DONE:
                self._record_done()
            case calls.Result.FAILED:
                self._record(self._failed_quality(result), evidence.Times())
            case calls.Result.DEADLINE_EXCEEDED | calls.Result.FAILED_OVER:
                self._record_silence()

    def on_disconnected(self) -> None:
        """Count an answer that its client has not waited for."""
        self._record_silence()

    def _events(self) -> int:
        return self._call.stream.splitter.count - self._events_before

    def _record_done(self) -> None:
        now = clock.now()
        if self._first_at is None:
            is_success = self._call.status < 400
            self._record(
                evidence.Quality.GOOD,
                evidence.Times(
                    now - self._attempt.sent_at if is_success else None
                ),
            )
        elif not self._has_gap and self._events() >= MIN_GAP_EVENTS:
            self._record_gap(now)

    def _record_gap(self, now: float) -> None:
        assert self._first_at is not None
        self._has_gap = True
        gap_s = (now - self._first_at) / (self._events() - 1)
        self._record(evidence.Quality.GOOD, evidence.Times(None, gap_s))

    def _record_silence(self) -> None:
        now = clock.now()
        if self._first_at is None:
            times = evidence.Times(now - self._attempt.sent_at)
        else:
            last_at = self._call.stream.last_event_at or self._first_at
            times = evidence.Times(None, now - last_at)
        self._record(evidence.Quality.SLOW, times)

    def _failed_quality(
        self, result: relay.ExchangeResult
    ) -> evidence.Quality:
        if result.spoilt or not result.ended_early:
            return evidence.Quality.FAILED
        if self._attempt.reused and not result.answered:
            # The idle connection was closed before the request arrived.
            return evidence.Quality.IGNORED
        return evidence.Quality.BROKEN

    def _record(
        self, quality: evidence.Quality, times: evidence.Times
    ) -> None:
        found = self._rollouts.record_answer(
            self._attempt.placement.record,
            judgement.Answer(
                self._call.admitted.route.name,
                quality,
                times,
                self._attempt.sent_at,
                self._is_counted,
                self._is_bad,
            ),
        )
        self._is_counted |= found is not evidence.Quality.IGNORED
        self._is_bad |= found.is_bad
