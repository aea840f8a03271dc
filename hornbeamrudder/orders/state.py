"""State machine that executes one non-idempotent request.

A pure step function maps a state and an event to a new state and effects.
"""

import dataclasses

from returns import result

from . import committer
from ..core import errors
from ..core import types
from ..infrastructure import table
from . import messages
from . import record

SEND_WINDOW_S = 2.0
# Writes that can end in a refusal end this long before the caller's deadline,
# so that their outcome is known when the deadline is reached.
REPLY_MARGIN_S = 0.05
# Time for writing a final state. It may exceed the caller's deadline, so that
# later calls with the same key find the final state.
FINAL_WRITE_TIMEOUT_S = 10.0
MAX_POLL_DELAY_S = 0.5
POLL_BACKOFF_FACTOR = 1.5
# A larger answer is returned to the caller but not stored: the record becomes
# `unknown`, which is what later calls with the same key receive.
MAX_RESULT_BYTES = 256 * 1024

Decision = tuple[messages.Execution, tuple[messages.Effect, ...]]


def step(
    state: messages.Execution,
    event: messages.Event,
    now: float,
    wall_now: float,
) -> Decision:
    """Apply an event to an execution.

    Parameters
    ----------
    now, wall_now : float
        Monotonic time and time since the epoch, in seconds.
    """
    match state.phase, event:
        case messages.Phase.ENDED, _:
            return state, ()
        case messages.Phase.NEW, messages.Begin():
            return _create_record(state, wall_now)
        case _, messages.TimerFired():
            return _on_timer(state, now, wall_now)
        case _, messages.CapacityDecided(True):
            state = dataclasses.replace(state, has_capacity=True)
            if state.phase is messages.Phase.QUEUED:
                return _claim(state, now, wall_now)
            return state, ()
        case messages.Phase.QUEUED, messages.CapacityDecided(False):
            return _reject(state, now, wall_now, 'no capacity')
        case (
            messages.Phase.CREATING | messages.Phase.CLAIMING,
            messages.WriteSettled(commit),
        ):
            return _on_claim_settled(state, commit, now, wall_now)
        case messages.Phase.FINISHING, messages.WriteSettled(commit):
            return _on_final_settled(state, commit, now)
        case messages.Phase.SENDING, messages.SendSettled(answer):
            return _on_sent(state, answer, now, wall_now)
        case messages.Phase.WAITING, messages.RowRead(rows):
            return _on_row_read(state, rows, now)
    return state, ()


def may_send(not_after: float, now: float) -> bool:
    """Return whether the send window is open; checked just before a send."""
    return now <= not_after


def send_window_expired(peer: str) -> messages.SendResult:
    """Return the outcome of a send skipped after the send window."""
    return result.Failure(
        errors.Failure(
            errors.FailureKind.DEADLINE,
            errors.Step.DISPATCH,
            peer,
            'send window closed, nothing was sent',
            types.Outcome.NOT_RUN,
        )
    )


def proves_not_sent(failure: errors.Failure) -> bool:
    """Return whether a failed send did not reach the backend server."""
    return failure.outcome is types.Outcome.NOT_RUN


def is_same_request(
    draft: record.OrderRecord, found: record.OrderRecord
) -> bool:
    """Return whether the record found under the key is for the request."""
    return draft.digest == found.digest


def _create_record(state: messages.Execution, wall_now: float) -> Decision:
    draft = state.draft
    if state.has_capacity and draft.state is record.OrderState.ACCEPTED:
        draft = _unwrap_legal(
            record.transition(
                draft, record.Dispatch(draft.holder.attempt), wall_now
            )
        )
    state = dataclasses.replace(
        state, phase=messages.Phase.CREATING, draft=draft
    )
    return state, (
        messages.SetTimer(state.deadline),
        _write(state, state.deadline - REPLY_MARGIN_S),
    )


def _claim(state: messages.Execution, now: float, wall_now: float) -> Decision:
    if now >= state.deadline - REPLY_MARGIN_S:
        return _reject(state, now, wall_now, 'deadline passed in the queue')
    draft = _unwrap_legal(
        record.transition(
            state.draft, record.Dispatch(state.draft.holder.attempt), wall_now
        )
    )
    state = dataclasses.replace(
        state, phase=messages.Phase.CLAIMING, draft=draft
    )
    return state, (_write(state, state.deadline - REPLY_MARGIN_S),)


def _on_claim_settled(
    state: messages.Execution,
    commit: committer.CommitResult,
    now: float,
    wall_now: float,
) -> Decision:
    match commit:
        case result.Success(committer.Committed(row)):
            state = dataclasses.replace(state, version=row.version)
            if state.draft.state is record.OrderState.DISPATCHING:
                return _send(state, now, wall_now)
            state = dataclasses.replace(state, phase=messages.Phase.QUEUED)
            if state.has_capacity:
                return _claim(state, now, wall_now)
            if now >= state.deadline:
                return _reject(state, now, wall_now, 'deadline passed')
            return state, ()
        case result.Success(committer.Conflict(row)):
            return _reply_or_poll(state, row, now)
        case result.Failure(failure):
            # An existing accepted record may be taken over, so only a failed
            # first write proves that the request will not run.
            if state.phase is messages.Phase.CLAIMING:
                failure = dataclasses.replace(
                    failure, outcome=types.Outcome.UNKNOWN
                )
            return _end(state, messages.Reply(result.Failure(failure), False))
    raise TypeError(commit)


def _send(state: messages.Execution, now: float, wall_now: float) -> Decision:
    not_after = min(now + SEND_WINDOW_S, state.deadline)
    request = state.draft.request
    if request is None or not may_send(not_after, now):
        return _reject(state, now, wall_now, 'deadline passed before the send')
    state = dataclasses.replace(state, phase=messages.Phase.SENDING)
    return state, (messages.Send(request, not_after),)


def _on_sent(
    state: messages.Execution,
    answer: messages.SendResult,
    now: float,
    wall_now: float,
) -> Decision:
    attempt = state.draft.holder.attempt
    match answer:
        case result.Success(stored):
            fits_record = len(stored.body) <= MAX_RESULT_BYTES
            return _finish(
                state,
                record.Finish(attempt, stored)
                if fits_record
                else record.MarkUnknown(),
                messages.Reply(answer, fits_record),
                now,
                wall_now,
            )
        case result.Failure(failure):
            if proves_not_sent(failure):
                return _finish(
                    state,
                    record.Reject(attempt),
                    messages.Reply(answer, True),
                    now,
                    wall_now,
                )
            failure = dataclasses.replace(
                failure, outcome=types.Outcome.UNKNOWN
            )
            reply = messages.Reply(result.Failure(failure), False)
            state, effects = _reply(state, reply)
            state, write_effects = _finish(
                state, record.MarkUnknown(), reply, now, wall_now
            )
            return state, effects + write_effects
    raise TypeError(answer)


def _reject(
    state: messages.Execution, now: float, wall_now: float, detail: str
) -> Decision:
    """Write `not_run`, and reply once the write is confirmed."""
    failure = _failure(
        errors.FailureKind.DEADLINE, detail, types.Outcome.NOT_RUN
    )
    return _finish(
        state,
        record.Reject(state.draft.holder.attempt),
        messages.Reply(result.Failure(failure), True),
        now,
        wall_now,
    )


def _finish(
    state: messages.Execution,
    change: record.Transition,
    pending_reply: messages.Reply,
    now: float,
    wall_now: float,
) -> Decision:
    state = dataclasses.replace(
        state,
        phase=messages.Phase.FINISHING,
        pending_reply=pending_reply,
        draft=_unwrap_legal(record.transition(state.draft, change, wall_now)),
    )
    write_deadline = max(state.deadline, now + FINAL_WRITE_TIMEOUT_S)
    return state, (_write(state, write_deadline),)


def _on_final_settled(
    state: messages.Execution, commit: committer.CommitResult, now: float
) -> Decision:
    match state.pending_reply, commit:
        case messages.Reply() as reply, result.Success(committer.Committed()):
            return _end(state, reply)
        case messages.Reply(result.Success() as answer), _:
            # The order is sent at most once, so this answer is the real one
            # even if the record has another state.
            return _end(state, messages.Reply(answer, False))
        case _, result.Success(committer.Conflict(row)):
            return _reply_or_poll(state, row, now)
        case _:
            return _end(state, _unknown('final state not confirmed'))


def _reply_or_poll(
    state: messages.Execution, row: table.Row, now: float
) -> Decision:
    """Reply from another attempt's record, or poll until it is final."""
    reply = _reply_from_row(state, row)
    if reply is not None:
        return _end(state, reply)
    if state.replied or now >= state.deadline:
        return _end(state, _unknown('no answer of the holder'))
    poll_at = min(now + state.poll_delay_s, state.deadline)
    state = dataclasses.replace(
        state,
        phase=messages.Phase.WAITING,
        poll_at=poll_at,
        poll_delay_s=min(
            MAX_POLL_DELAY_S, state.poll_delay_s * POLL_BACKOFF_FACTOR
        ),
    )
    return state, (messages.SetTimer(poll_at),)


def _on_row_read(
    state: messages.Execution,
    rows: result.Result[tuple[table.Row, ...], errors.Failure],
    now: float,
) -> Decision:
    match rows:
        case result.Success((row,)):
            return _reply_or_poll(state, row, now)
    poll_at = min(now + state.poll_delay_s, state.deadline)
    return dataclasses.replace(state, poll_at=poll_at), (
        messages.SetTimer(poll_at),
    )


def _on_timer(
    state: messages.Execution, now: float, wall_now: float
) -> Decision:
    if now < state.deadline:
        if state.phase is not messages.Phase.WAITING or state.poll_at is None:
            return state, ()
        if now < state.poll_at:
            return state, (messages.SetTimer(state.poll_at),)
        return dataclasses.replace(state, poll_at=None), (
            messages.Poll(state.key),
        )
    match state.phase, state.pending_reply:
        case messages.Phase.QUEUED, _:
            return _reject(
                state, now, wall_now, 'deadline passed in the queue'
            )
        case messages.Phase.WAITING, _:
            return _end(state, _unknown('no answer of the holder'))
        case messages.Phase.FINISHING, messages.Reply(
            result.Success() as answer
        ):
            return _reply(state, messages.Reply(answer, False))
        case _:
            return _reply(state, _unknown('deadline passed'))


def _reply_from_row(
    state: messages.Execution, row: table.Row
) -> messages.Reply | None:
    """Return the reply that a row implies, None if the order is pending."""
    if row.value is None:
        return _unknown('order record was deleted')
    match record.from_row(row.value):
        case result.Failure(failure):
            return _unknown(failure.detail)
        case result.Success(found):
            if not is_same_request(state.draft, found):
                failure = _failure(
                    errors.FailureKind.INVALID,
                    'idempotency key was used for another request',
                    types.Outcome.NOT_RUN,
                )
                return messages.Reply(result.Failure(failure), False)
            match found.state:
                case record.OrderState.DONE:
                    return messages.Reply(result.Success(found.result), True)
                case record.OrderState.NOT_RUN:
                    failure = _failure(
                        errors.FailureKind.REFUSED,
                        'order was not run',
                        types.Outcome.NOT_RUN,
                    )
                    return messages.Reply(result.Failure(failure), True)
                case record.OrderState.UNKNOWN:
                    return _unknown('order has no known outcome')
    return None


def _reply(state: messages.Execution, reply: messages.Reply) -> Decision:
    if state.replied:
        return state, ()
    return dataclasses.replace(state, replied=True), (messages.Respond(reply),)


def _end(state: messages.Execution, reply: messages.Reply) -> Decision:
    state, effects = _reply(state, reply)
    return dataclasses.replace(state, phase=messages.Phase.ENDED), effects


def _write(state: messages.Execution, deadline: float) -> messages.Write:
    return messages.Write(
        table.Put(state.key, state.version, record.to_row(state.draft)),
        deadline,
    )


def _failure(
    kind: errors.FailureKind, detail: str, outcome: types.Outcome
) -> errors.Failure:
    return errors.Failure(kind, errors.Step.RECORD_ORDER, '', detail, outcome)


def _unknown(detail: str) -> messages.Reply:
    failure = _failure(
        errors.FailureKind.DEADLINE, detail, types.Outcome.UNKNOWN
    )
    return messages.Reply(result.Failure(failure), False)


def _unwrap_legal(change: record.RecordResult) -> record.OrderRecord:
    """Return the record after a transition that the phase makes legal."""
    return change.unwrap()
