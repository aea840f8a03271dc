"""Checks histories of orders, independently of the code under test."""

import dataclasses

SEND_WINDOW_S = 2.0
RETENTION_S = 86400.0
FINAL = ('done', 'not_run', 'unknown')
NEXT_STATES = {
    None: ('accepted', 'dispatching'),
    'accepted': ('accepted', 'dispatching', 'not_run'),
    'dispatching': FINAL,
}


@dataclasses.dataclass(frozen=True)
class Invocation:
    """A call by a caller."""

    number: int
    key: str
    attempt: str
    digest: str


@dataclasses.dataclass(frozen=True)
class Completion:
    """The end of a call; `answer` is the body, None after a failure."""

    number: int
    answer: bytes | None
    outcome: str
    recorded: bool


@dataclasses.dataclass(frozen=True)
class RowVersion:
    """A row version that the table applied."""

    time: float
    key: str
    version: int
    value: dict | None


@dataclasses.dataclass(frozen=True)
class BackendRun:
    """A request that reached the backend server."""

    key: str
    attempt: str
    checked_at: float
    body: bytes


@dataclasses.dataclass(frozen=True)
class Operation:
    """A committed, conflicting or failed write, or a read, of a node."""

    kind: str
    key: str
    value: dict | None
    version: int
    started: float
    ended: float


@dataclasses.dataclass
class History:
    """All that callers, the table and the backend server observed."""

    invocations: list = dataclasses.field(default_factory=list)
    completions: list = dataclasses.field(default_factory=list)
    versions: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    operations: list = dataclasses.field(default_factory=list)


def violations(history):
    """Return the violations of the guarantees, none for a valid history."""
    return [
        *_check_runs(history),
        *_check_answers(history),
        *_check_transitions(history),
        *_check_operations(history),
        *_check_send_window(history),
    ]


def _check_runs(history):
    keys = [run.key for run in history.runs]
    for key in {key for key in keys if keys.count(key) > 1}:
        yield f'{key}: executed twice'


def _check_answers(history):
    attempts_in_rows = {
        version.value['attempt']
        for version in history.versions
        if version.value is not None
    }
    call_by_number = {call.number: call for call in history.invocations}
    bodies_by_key = {}
    for done in history.completions:
        call = call_by_number[done.number]
        runs = [run for run in history.runs if run.key == call.key]
        if done.answer is not None:
            bodies_by_key.setdefault(call.key, set()).add(done.answer)
            if done.answer not in [run.body for run in runs]:
                yield f'call {done.number}: answer of no execution'
            digests = {
                version.value['digest']
                for version in history.versions
                if version.key == call.key and version.value is not None
            }
            if call.digest not in digests:
                yield f'call {done.number}: answer to another request'
        elif done.outcome == 'not_run' and done.recorded and runs:
            yield f'call {done.number}: reported not run, but executed'
        elif (
            done.outcome == 'not_run'
            and not done.recorded
            and (
                call.attempt in attempts_in_rows
                or call.attempt in [run.attempt for run in runs]
            )
        ):
            yield f'call {done.number}: reported not run, but recorded'
    for key, bodies in bodies_by_key.items():
        if len(bodies) > 1:
            yield f'{key}: answers differ'


def _check_transitions(history):
    previous_by_key = {}
    for version in history.versions:
        previous = previous_by_key.get(version.key)
        previous_by_key[version.key] = version
        old = previous.value if previous is not None else None
        new = version.value
        if version.version != (previous.version if previous else 0) + 1:
            yield f'{version.key}: version {version.version} out of order'
        if new is None:
            if (
                old is None
                or old['state'] not in FINAL
                or (version.time < old['changed'] + RETENTION_S - 10)
            ):
                yield f'{version.key}: deleted too early'
            continue
        state = old['state'] if old is not None else None
        if new['state'] not in NEXT_STATES.get(state, ()):
            yield f'{version.key}: {state} -> {new["state"]}'
        elif state == 'dispatching' and (
            new['state'] != 'unknown' and new['attempt'] != old['attempt']
        ):
            yield f'{version.key}: {new["state"]} by another attempt'
        if old is not None and new['digest'] != old['digest']:
            yield f'{version.key}: digest changed'


def _check_operations(history):
    """Check that operations are linearizable.

    The linearization is the order in which the table applied row versions.
    Each outcome must be consistent with it at a time between the start and the
    end of the operation.
    """
    rows_by_key = {}
    for row in history.versions:
        rows_by_key.setdefault(row.key, []).append(row)
    for operation in history.operations:
        rows = rows_by_key.get(operation.key, [])
        own = [
            row
            for row in rows
            if operation.value is not None and row.value == operation.value
        ]
        match operation.kind:
            case 'committed':
                is_linearizable = any(
                    row.version == operation.version
                    and operation.started <= row.time <= operation.ended
                    for row in own
                )
            case 'failed':
                is_linearizable = not own
            case _:
                # An in-doubt write may have been applied and overwritten by
                # another one before its row was read back.
                is_linearizable = _was_current(rows, operation) and all(
                    row.version < operation.version for row in own
                )
        if not is_linearizable:
            yield f'{operation.key}: {operation.kind} not linearizable'


def _was_current(rows, operation):
    begins = [0.0, *(row.time for row in rows)]
    ends = [*(row.time for row in rows), float('inf')]
    versions = [0, *(row.version for row in rows)]
    return any(
        version == operation.version
        and begin <= operation.ended
        and end >= operation.started
        for version, begin, end in zip(versions, begins, ends)
    )


def _check_send_window(history):
    for run in history.runs:
        confirmed_at = [
            operation.ended
            for operation in history.operations
            if operation.kind == 'committed'
            and operation.value is not None
            and operation.value['attempt'] == run.attempt
            and operation.value['state'] == 'dispatching'
        ]
        if not confirmed_at:
            yield f'{run.key}: sent without a confirmed write'
        elif run.checked_at > confirmed_at[0] + SEND_WINDOW_S + 1e-6:
            yield f'{run.key}: sent after the send window'
