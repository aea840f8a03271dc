"""Decisions for one non-idempotent request: events in, effects out."""

import dataclasses

from returns import result

from . import committer
from ..core import errors
from ..core import types
from ..infrastructure import table
from . import messages
from . import record

SEND_WINDOW_S = 2.0
# The write that decides a refusal ends this long before the caller's
# deadline, so that its outcome is known when the deadline arrives.
REPLY_MARGIN_S = 0.05
# Final states are written for this long after the request, past the
# caller's deadline where needed: a later call with the key then finds them.
FINAL_WRITE_LIMIT_S = 10.0
MAX_POLL_S = 0.5
POLL_GROWTH = 1.5
# A larger answer is given to the caller and its record becomes `unknown`:
# later calls with the key learn that it has no stored answer.
MAX_RESULT_BYTES = 256 * 1024

Decision = tuple[messages.Execution, tuple[messages.Effect, ...]]


def step(
    state: messages.Execution, event: messages.Event, now: float, wall: float
) -> Decision:
    """Advance one execution.

    Parameters
    ----------
    now, wall : float
        Monotonic seconds and seconds since the epoch.
    """
    match state.phase, event:
        case messages.Phase.ENDED, _:
            return state, ()
        case messages.Phase.NEW, messages.Begin():
            return _begin(state, wall)
        case _, messages.Timer():
            return _on_timer(state, now, wall)
        case _, messages.Capacity(True):
            state = dataclasses.replace(state, has_capacity=True)
            if state.phase is messages.Phase.QUEUED:
                return _claim(state, now, wall)
            return state, ()
        case messages.Phase.QUEUED, messages.Capacity(False):
            return _reject(state, now, wall, 'no capacity')
        case (
            messages.Phase.CREATING | messages.Phase.CLAIMING,
            messages.WriteSettled(commit),
        ):
            return _on_claim_settled(state, commit, now, wall)
        case messages.Phase.FINISHING, messages.WriteSettled(commit):
            return _on_final_settled(state, commit, now)
        case messages.Phase.SENDING, messages.SendSettled(answer):
            return _on_sent(state, answer, now, wall)
        case messages.Phase.WAITING, messages.RowRead(rows):
            return _on_row_read(state, rows, now)
    return state, ()


def may_send(not_after: float, now: float) -> bool:
    """Whether the send window is still open; checked right before sending."""
    return now <= not_after


def window_closed(peer: str) -> messages.SendResult:
    """Outcome of a send that was not made since its window had closed."""
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
    """Whether a failed send certainly did not reach the backend server."""
    return failure.outcome is types.Outcome.NOT_RUN


def same_request(own: record.OrderRecord, found: record.OrderRecord) -> bool:
    """Whether a record found under the key is for the same request."""
    return own.digest == found.digest


def _begin(state: messages.Execution, wall: float) -> Decision:
    draft = state.draft
    if state.has_capacity and draft.state is record.OrderState.ACCEPTED:
        draft = _must(
            record.transition(
                draft, record.Dispatch(draft.holder.attempt), wall
            )
        )
    state = dataclasses.replace(
        state, phase=messages.Phase.CREATING, draft=draft
    )
    return state, (
        messages.SetTimer(state.deadline),
        _write(state, state.deadline - REPLY_MARGIN_S),
    )


def _claim(state: messages.Execution, now: float, wall: float) -> Decision:
    if now >= state.deadline - REPLY_MARGIN_S:
        return _reject(state, now, wall, 'deadline passed in the queue')
    draft = _must(
        record.transition(
            state.draft, record.Dispatch(state.draft.holder.attempt), wall
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
    wall: float,
) -> Decision:
    match commit:
        case result.Success(committer.Committed(row)):
            state = dataclasses.replace(state, version=row.version)
            if state.draft.state is record.OrderState.DISPATCHING:
                return _send(state, now, wall)
            state = dataclasses.replace(state, phase=messages.Phase.QUEUED)
            if state.has_capacity:
                return _claim(state, now, wall)
            if now >= state.deadline:
                return _reject(state, now, wall, 'deadline passed')
            return state, ()
        case result.Success(committer.Conflict(row)):
            return _follow(state, row, now)
        case result.Failure(failure):
            # Once an accepted record exists it may be taken over, so only a
            # failed first write proves that the request will not run.
            if state.phase is messages.Phase.CLAIMING:
                failure = dataclasses.replace(
                    failure, outcome=types.Outcome.UNKNOWN
                )
            return _end(state, messages.Reply(result.Failure(failure), False))
    raise TypeError(commit)


def _send(state: messages.Execution, now: float, wall: float) -> Decision:
    not_after = min(now + SEND_WINDOW_S, state.deadline)
    request = state.draft.request
    if request is None or not may_send(not_after, now):
        return _reject(state, now, wall, 'deadline passed before the send')
    state = dataclasses.replace(state, phase=messages.Phase.SENDING)
    return state, (messages.Send(request, not_after),)


def _on_sent(
    state: messages.Execution,
    answer: messages.SendResult,
    now: float,
    wall: float,
) -> Decision:
    attempt = state.draft.holder.attempt
    match answer:
        case result.Success(stored):
            storable = len(stored.body) <= MAX_RESULT_BYTES
            return _finish(
                state,
                record.Finish(attempt, stored)
                if storable
                else record.GiveUp(),
                messages.Reply(answer, storable),
                now,
                wall,
            )
        case result.Failure(failure):
            if proves_not_sent(failure):
                return _finish(
                    state,
                    record.Reject(attempt),
                    messages.Reply(answer, True),
                    now,
                    wall,
                )
            failure = dataclasses.replace(
                failure, outcome=types.Outcome.UNKNOWN
            )
            reply = messages.Reply(result.Failure(failure), False)
            state, effects = _reply(state, reply)
            state, more = _finish(state, record.GiveUp(), reply, now, wall)
            return state, effects + more
    raise TypeError(answer)


def _reject(
    state: messages.Execution, now: float, wall: float, detail: str
) -> Decision:
    """Write `not_run`; the caller is told so only once it is confirmed."""
    failure = _failure(
        errors.FailureKind.DEADLINE, detail, types.Outcome.NOT_RUN
    )
    return _finish(
        state,
        record.Reject(state.draft.holder.attempt),
        messages.Reply(result.Failure(failure), True),
        now,
        wall,
    )


def _finish(
    state: messages.Execution,
    change: record.Transition,
    outcome: messages.Reply,
    now: float,
    wall: float,
) -> Decision:
    state = dataclasses.replace(
        state,
        phase=messages.Phase.FINISHING,
        outcome=outcome,
        draft=_must(record.transition(state.draft, change, wall)),
    )
    limit = max(state.deadline, now + FINAL_WRITE_LIMIT_S)
    return state, (_write(state, limit),)


def _on_final_settled(
    state: messages.Execution, commit: committer.CommitResult, now: float
) -> Decision:
    match state.outcome, commit:
        case messages.Reply() as outcome, result.Success(
            committer.Committed()
        ):
            return _end(state, outcome)
        case messages.Reply(result.Success() as answer), _:
            # The answer is that of the only send, whatever the record says.
            return _end(state, messages.Reply(answer, False))
        case _, result.Success(committer.Conflict(row)):
            return _follow(state, row, now)
        case _:
            return _end(state, _unknown('final state not confirmed'))


def _follow(state: messages.Execution, row: table.Row, now: float) -> Decision:
    """Answer from a record that another attempt holds, or wait for it."""
    reply = _reply_from_row(state, row)
    if reply is not None:
        return _end(state, reply)
    if state.replied or now >= state.deadline:
        return _end(state, _unknown('no answer of the holder'))
    at = min(now + state.poll_delay_s, state.deadline)
    state = dataclasses.replace(
        state,
        phase=messages.Phase.WAITING,
        poll_at=at,
        poll_delay_s=min(MAX_POLL_S, state.poll_delay_s * POLL_GROWTH),
    )
    return state, (messages.SetTimer(at),)


def _on_row_read(
    state: messages.Execution,
    rows: result.Result[tuple[table.Row, ...], errors.Failure],
    now: float,
) -> Decision:
    match rows:
        case result.Success((row,)):
            return _follow(state, row, now)
    at = min(now + state.poll_delay_s, state.deadline)
    return dataclasses.replace(state, poll_at=at), (messages.SetTimer(at),)


def _on_timer(state: messages.Execution, now: float, wall: float) -> Decision:
    if now < state.deadline:
        if state.phase is not messages.Phase.WAITING or state.poll_at is None:
            return state, ()
        if now < state.poll_at:
            return state, (messages.SetTimer(state.poll_at),)
        return dataclasses.replace(state, poll_at=None), (
            messages.Poll(state.key),
        )
    match state.phase, state.outcome:
        case messages.Phase.QUEUED, _:
            return _reject(state, now, wall, 'deadline passed in the queue')
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
    """Answer that a row gives, None while the order is in progress."""
    if row.value is None:
        return _unknown('order record was deleted')
    match record.from_row(row.value):
        case result.Failure(failure):
            return _unknown(failure.detail)
        case result.Success(found):
            if not same_request(state.draft, found):
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
    return dataclasses.replace(state, replied=True), (messages.Answer(reply),)


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


def _must(change: record.RecordResult) -> record.OrderRecord:
    """Record after a transition that the phase makes legal."""
    return change.unwrap()
