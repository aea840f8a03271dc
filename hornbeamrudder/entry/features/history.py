"""Checks the history of a run against the promises of the design page."""

import dataclasses

from hornbeamrudder.bench import callers
from hornbeamrudder.core import types
from hornbeamrudder.orders import record
from hornbeamrudder.standins import engine_batch

END = callers.CallEnd
ORDER_RANK = types.Rank.STANDARD


@dataclasses.dataclass(frozen=True)
class History:
    """What callers, plain services, the table and the nodes have seen.

    Attributes
    ----------
    records : tuple of CallRecord
        Calls of rank standard are orders, the others are streams.
    runs_by_key : mapping
        Runs of each order's key at the plain services.
    states_by_key : mapping
        State of each order's record in the table.
    versions_by_process : mapping
        Configuration versions of each node process, in order of time.
    """

    records: tuple
    runs_by_key: dict
    states_by_key: dict
    versions_by_process: dict
    tokens: int


def expected_text(prompt, tokens):
    """Whole answer of every engine to a prompt."""
    return ''.join(
        engine_batch.token_text(f'user: {prompt}', offset)
        for offset in range(tokens)
    )


def broken_promises(history, unknown_allowed, restarts_allowed=False):
    """List what broke; empty for a good history.

    Parameters
    ----------
    unknown_allowed : bool
        Whether a fault without notice may leave an order's outcome open.
    restarts_allowed : bool
        Whether a stream may begin anew, as the node that had it was killed.
    """
    found = [
        f'{key} ran {count} times'
        for key, count in history.runs_by_key.items()
        if count > 1
    ]
    for call in history.records:
        if call.rank is ORDER_RANK:
            found += _order_faults(call, history, unknown_allowed)
        else:
            found += _stream_faults(call, history.tokens, restarts_allowed)
    for process, versions in history.versions_by_process.items():
        if list(versions) != sorted(versions):
            found.append(f'{process} went to a lower version: {versions}')
    return found


def _stream_faults(call, tokens, restarts_allowed):
    if call.restarts and not restarts_allowed:
        return [f'{call.key}: no node had the answer any more']
    whole = expected_text(call.key, tokens)
    if call.end is END.ANSWERED and call.text != whole:
        return [f'{call.key}: the answer is not whole or not its own']
    if not whole.startswith(call.text):
        return [f'{call.key}: a part is not its own']
    if call.end is END.NOT_RUN and not call.text:
        return []
    if call.end is not END.ANSWERED:
        return [f'{call.key}: {call.end.value}, {call.detail}']
    return []


def _order_faults(call, history, unknown_allowed):
    runs = history.runs_by_key.get(call.key, 0)
    state = history.states_by_key.get(call.key)
    found = []
    match call.end:
        case END.ANSWERED:
            if runs != 1:
                found.append(f'answered, but ran {runs} times')
            if f'/{call.key}"' not in call.text:
                found.append('the answer is of another order')
        case END.NOT_RUN if runs:
            found.append('ran, although its caller was told "not run"')
        case END.UNKNOWN if not unknown_allowed:
            found.append(f'outcome unknown: {call.detail}')
        case END.LOST | END.FAILED:
            found.append(f'{call.end.value}: {call.detail}')
    if state is record.OrderState.NOT_RUN and runs:
        found.append('ran, although its record says "not run"')
    if runs and state is None:
        found.append('ran without a record')
    if state is not None and state not in record.FINAL_STATES:
        found.append(f'record stays in state {state.value}')
    return [f'{call.key}: {text}' for text in found]
