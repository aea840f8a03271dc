"""Checks the history of a run against the guarantees of the design page."""

import dataclasses

from hornbeamrudder.bench import callers
from hornbeamrudder.core import types
from hornbeamrudder.orders import record
from hornbeamrudder.standins import engine_batch

CALL_END = callers.CallEnd
ORDER_RANK = types.Rank.STANDARD


@dataclasses.dataclass(frozen=True)
class History:
    """Observations of callers, plain services, the table and the nodes.

    Attributes
    ----------
    records : tuple of CallRecord
        Calls of rank standard are orders, all others are streams.
    runs_by_key : mapping
        Number of executions by the plain services, by order key.
    states_by_key : mapping
        State of the order record in the table, by order key.
    versions_by_process : mapping
        Configuration versions of each node process, in chronological order.
    """

    records: tuple
    runs_by_key: dict
    states_by_key: dict
    versions_by_process: dict
    tokens: int


def expected_text(prompt, tokens):
    """Return the complete answer that every engine gives to a prompt."""
    return ''.join(
        engine_batch.token_text(f'user: {prompt}', offset)
        for offset in range(tokens)
    )


def find_violations(history, unknown_allowed, restarts_allowed=False):
    """Return the violations found in a history; empty if it is valid.

    Parameters
    ----------
    unknown_allowed : bool
        Whether the failure may leave the outcome of orders unknown.
    restarts_allowed : bool
        Whether streams may restart, because the node that kept their answer
        was killed.
    """
    violations = [
        f'{key} ran {count} times'
        for key, count in history.runs_by_key.items()
        if count > 1
    ]
    for call in history.records:
        if call.rank is ORDER_RANK:
            violations += _order_violations(call, history, unknown_allowed)
        else:
            violations += _stream_violations(
                call, history.tokens, restarts_allowed
            )
    for process, versions in history.versions_by_process.items():
        if list(versions) != sorted(versions):
            violations.append(
                f'{process} returned to a lower version: {versions}'
            )
    return violations


def _stream_violations(call, tokens, restarts_allowed):
    if call.restarts and not restarts_allowed:
        return [f'{call.key}: restarted, because no node kept its answer']
    complete_text = expected_text(call.key, tokens)
    if call.end is CALL_END.ANSWERED and call.text != complete_text:
        return [f'{call.key}: the answer is incomplete or has wrong tokens']
    if not complete_text.startswith(call.text):
        return [f'{call.key}: the partial answer has wrong tokens']
    if call.end is CALL_END.NOT_RUN and not call.text:
        return []
    if call.end is not CALL_END.ANSWERED:
        return [f'{call.key}: {call.end.value}, {call.detail}']
    return []


def _order_violations(call, history, unknown_allowed):
    runs = history.runs_by_key.get(call.key, 0)
    state = history.states_by_key.get(call.key)
    violations = []
    match call.end:
        case CALL_END.ANSWERED:
            if runs != 1:
                violations.append(f'answered, but ran {runs} times')
            if f'/{call.key}"' not in call.text:
                violations.append('received the answer of another order')
        case CALL_END.NOT_RUN if runs:
            violations.append('ran, although the caller received "not run"')
        case CALL_END.UNKNOWN if not unknown_allowed:
            violations.append(f'outcome unknown: {call.detail}')
        case CALL_END.LOST | CALL_END.FAILED:
            violations.append(f'{call.end.value}: {call.detail}')
    if state is record.OrderState.NOT_RUN and runs:
        violations.append('ran, although its record says "not run"')
    if runs and state is None:
        violations.append('ran without a record')
    if state is not None and state not in record.FINAL_STATES:
        violations.append(f'record remained in state {state.value}')
    return [f'{call.key}: {text}' for text in violations]
