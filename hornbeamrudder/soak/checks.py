"""Checks the invariants of a run against its observations; no I/O."""

import collections
import itertools
from typing import Iterable, Iterator, Mapping, Sequence

from . import observed
from . import plan

# Guaranteed limits; `deployment.NODE_BOUNDS` sets the same values.
REVOKE_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.0
CONTACT_LIMIT_S = 3.0
# Calls that arrive shortly after their sender was resumed or its proxy's
# faults were cleared may have been sent before.
RESUME_SLACK_S = 0.5
GRACE_LIMIT_S = 8.0
# Age range of the requests that a graceful stop must not interrupt.
STOP_CHECK_MIN_S = 0.05
STOP_CHECK_MAX_S = 2.0
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
OutcomeById = Mapping[str, observed.Outcome]
RunsById = Mapping[str, Sequence[observed.Run]]
IDEMPOTENT_ROUTES = frozenset({'look', 'plan'})
ACCOUNT_BY_KEY_PREFIX = {'key-north': 'north', 'key-south': 'south'}
KEY_PREFIX_LENGTH = 9
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
# Steps of a roll-out in order; only the last may be left out.
STEPS = ('waiting', 'trial', 'load', 'transfer', 'completed')
ROUTES_BY_SERVICE = {'engines': ('plan', 'chat'), 'plain': ('book', 'look')}
SERVER_FAULTS = frozenset(
    kind.value for kind in plan.FaultKind if kind.name.startswith('SERVER_')
)
EVENTS_PER_STREAM = 6
COMPLETE_STREAM = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number)
    for number in range(1, EVENTS_PER_STREAM + 1)
)


def find_violations(seen: observed.Observed) -> list[str]:
    """Return a line for each violated invariant."""
    outcome_by_id = {item.request_id: item for item in seen.outcomes}
    runs_by_id: dict[str, list[observed.Run]] = collections.defaultdict(list)
    for run in seen.runs:
        runs_by_id[run.request_id].append(run)
    return [
        *_repeated_executions(outcome_by_id, runs_by_id),
        *_executed_but_refused(outcome_by_id, runs_by_id),
        *_wrong_answers(seen.outcomes),
        *_unexpected_runs(outcome_by_id, seen.runs),
        *_uses_of_revoked_keys(outcome_by_id, seen),
        *_runs_after_drain(outcome_by_id, seen),
        *_interrupted_by_stop(seen),
        *_duty_conflicts(seen),
        *itertools.chain.from_iterable(
            _roll_out_faults(outcome_by_id, seen, item)
            for item in seen.roll_outs
        ),
        *(
            f'node {node} does not serve {route} after the faults'
            for node, route, served in seen.served_after
            if not served
        ),
        *seen.exits,
    ]


def _repeated_executions(
    outcome_by_id: OutcomeById, runs_by_id: RunsById
) -> Iterator[str]:
    for request_id, runs in runs_by_id.items():
        outcome = outcome_by_id.get(request_id)
        ran = [run for run in runs if run.ran]
        if outcome and outcome.route not in IDEMPOTENT_ROUTES and len(ran) > 1:
            servers = [run.server for run in ran]
            yield (
                f'{outcome.route} {request_id} was executed more than once,'
                f' by {servers}'
            )


def _executed_but_refused(
    outcome_by_id: OutcomeById, runs_by_id: RunsById
) -> Iterator[str]:
    for request_id, outcome in outcome_by_id.items():
        ran = [run for run in runs_by_id.get(request_id, ()) if run.ran]
        if (
            outcome.status in NOT_EXECUTED_STATUSES
            and ran
            and outcome.route not in IDEMPOTENT_ROUTES
        ):
            yield (
                f'{outcome.route} {request_id} was rejected with'
                f' {outcome.status} but executed by {ran[0].server}'
            )


def _wrong_answers(outcomes: Iterable[observed.Outcome]) -> Iterator[str]:
    for item in outcomes:
        if item.status and item.echoed_id not in ('', item.request_id):
            yield (
                f'{item.request_id} received the response to {item.echoed_id}'
            )
        if item.status != 200 or item.left:
            continue
        if item.route in ('plan', 'chat'):
            good = (
                item.body == COMPLETE_STREAM
                if item.whole
                else COMPLETE_STREAM.startswith(item.body)
            )
        else:
            good = not item.whole or item.body.startswith(b'answer of ')
        if not good:
            yield (
                f'{item.route} {item.request_id} received the body'
                f' {item.body!r}'
            )


def _unexpected_runs(
    outcome_by_id: OutcomeById, runs: Iterable[observed.Run]
) -> Iterator[str]:
    for run in runs:
        outcome = outcome_by_id.get(run.request_id)
        if outcome is None:
            yield (
                f'{run.server} received {run.request_id}, which no caller sent'
            )
            continue
        account = ACCOUNT_BY_KEY_PREFIX[outcome.key[:KEY_PREFIX_LENGTH]]
        if run.account != account or run.carries_key:
            yield (
                f'{run.request_id} was forwarded for account {run.account!r}'
            )
        if run.ran and run.expected_server != run.server:
            yield (
                f'{run.request_id} was addressed to {run.expected_server!r}'
                f' but executed by {run.server}'
            )


def _uses_of_revoked_keys(
    outcome_by_id: OutcomeById, seen: observed.Observed
) -> Iterator[str]:
    at_by_key = dict(seen.revoked_at)
    for run in seen.runs:
        outcome = outcome_by_id.get(run.request_id)
        if outcome is None or not run.ran:
            continue
        at = at_by_key.get(outcome.key)
        if at is not None and outcome.sent_at > at + REVOKE_LIMIT_S:
            yield (
                f'{run.request_id} was executed although sent'
                f' {outcome.sent_at - at:.2f} s after its key was revoked'
            )


def _is_excused(
    seen: observed.Observed, node: int, begun: float, ended: float
) -> bool:
    """Whether a fault that affects the node overlaps an interval."""
    return any(
        span.node in (None, node)
        and span.begun < ended
        and span.ended > begun - CONTACT_LIMIT_S
        for span in seen.spans
        if span.what != plan.FaultKind.TERMINATE.value
    )


def _runs_after_drain(
    outcome_by_id: OutcomeById, seen: observed.Observed
) -> Iterator[str]:
    at_by_server = {item.server: item.at for item in seen.leavings}
    for run in seen.runs:
        at = at_by_server.get(run.server)
        outcome = outcome_by_id.get(run.request_id)
        if at is None or outcome is None or not run.ran:
            continue
        late = run.at - at
        if late > DRAIN_LIMIT_S and not _is_excused(
            seen, outcome.node, at, run.at
        ):
            yield (
                f'{run.request_id} reached {run.server} {late:.2f} s after'
                ' it started draining'
            )


def _interrupted_by_stop(seen: observed.Observed) -> Iterator[str]:
    """Find requests that a graceful stop interrupted."""
    stops = [
        span
        for span in seen.spans
        if span.what == plan.FaultKind.TERMINATE.value
    ]
    for item in seen.outcomes:
        for stop in stops:
            if (
                stop.node == item.node
                and stop.begun - STOP_CHECK_MAX_S
                < item.sent_at
                < stop.begun - STOP_CHECK_MIN_S
                and item.ended_at > stop.begun
                and item.status == 0
                and not item.left
                and not _is_excused(
                    seen, item.node, item.sent_at, item.ended_at
                )
            ):
                yield (
                    f'{item.route} {item.request_id} was interrupted'
                    f' {item.ended_at - stop.begun:.2f} s after the stop of'
                    f' node {item.node}'
                )


def _duty_conflicts(seen: observed.Observed) -> Iterator[str]:
    counts_by_window: dict[object, object] = {}
    holder_by_number: dict[int, str] = {}
    highest = 0
    for call in seen.duty_calls:
        holder = holder_by_number.setdefault(call.number, call.holder)
        if holder != call.holder:
            yield (
                f'{holder} and {call.holder} both use fencing token'
                f' {call.number}'
            )
        if call.number < highest and not any(
            span.begun < call.at < span.ended + RESUME_SLACK_S
            for span in seen.spans
        ):
            yield (
                f'fencing token {call.number} was used by {call.holder} after'
                f' token {highest}'
            )
        highest = max(highest, call.number)
        if call.path != '/usage' or not isinstance(call.body, dict):
            continue
        window, counts = call.body['window'], call.body['counts']
        if counts_by_window.setdefault(window, counts) != counts:
            yield f'usage window {window} has conflicting reports'


def _roll_out_faults(
    outcome_by_id: OutcomeById, seen: observed.Observed, item: observed.RollOut
) -> Iterator[str]:
    name = f'roll-out of {item.service}'
    states = _changes(state for state, _, _ in item.states)
    if not states or states[-1] == 'running':
        yield f'{name} has no verdict'
    if len(states) > 2 or 'running' in states[1:]:
        yield f'{name} went on after its verdict: {states}'
    steps = _changes(step for _, step, _ in item.states)
    expected = [*STEPS[: len(steps) - 1], *steps[-1:]]
    if steps != expected:
        yield f'{name} skipped or repeated a step: {steps}'
    numbers = [number for *_, number in item.states]
    if numbers != sorted(numbers):
        yield f'{name} was continued by a former holder: {numbers}'
    if item.is_bad:
        if 'completed' in states:
            yield f'{name} was completed though its version is bad'
        yield from _exposure(outcome_by_id, seen, item)
    elif 'rolled_back' in states and not any(
        span.what in SERVER_FAULTS
        and span.begun < item.ended_at
        and span.ended > item.ordered_at
        for span in seen.spans
    ):
        yield f'{name} was rolled back though its version is good'


def _changes(values: Iterable[str]) -> list[str]:
    return [value for value, _ in itertools.groupby(values)]


def _exposure(
    outcome_by_id: OutcomeById, seen: observed.Observed, item: observed.RollOut
) -> Iterator[str]:
    """Find a bad version that nodes in touch have sent too much."""
    requests = sum(
        outcome.route in ROUTES_BY_SERVICE[item.service]
        and item.ordered_at <= outcome.sent_at <= item.due_at
        for outcome in seen.outcomes
    )
    got = sum(
        run.server in item.new_servers
        and run.request_id in outcome_by_id
        and not _is_excused(
            seen, outcome_by_id[run.request_id].node, run.at, run.at
        )
        for run in seen.runs
    )
    limit = EXPOSURE_SHARE * requests + EXPOSURE_SLACK
    if got > limit:
        yield (
            f'the bad version of {item.service} got {got} requests of'
            f' {limit:.0f} allowed'
        )


def summary(seen: observed.Observed) -> dict[str, int]:
    """Count requests by route and status."""
    ordered = sorted(
        (item.route, 'left' if item.left else str(item.status))
        for item in seen.outcomes
    )
    return {
        f'{route} {status}': len(list(group))
        for (route, status), group in itertools.groupby(ordered)
    }
