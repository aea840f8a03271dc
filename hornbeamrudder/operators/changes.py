"""Sends a change of the configuration and reports what became of it."""

import pathlib

from returns import result

from ..core import errors
from ..core import ids
from ..core import types
from ..inventory import check
from ..inventory import difference

from . import client
from . import messages
from . import output


def apply_files(
    operator_client: client.OperatorClient,
    out: output.Output,
    mapping_path: pathlib.Path | None,
    rules_path: pathlib.Path | None,
    made_from: ids.Version | None,
) -> output.ExitCode:
    """Replace the parts of the configuration that the files give.

    Parameters
    ----------
    made_from : Version or None
        Version that the files were edited from; the one in force if None.
    """
    read = operator_client.configuration()
    if isinstance(read, result.Failure):
        return out.failure(read.failure())
    current = read.unwrap()
    checked = check.check_change(current.document, mapping_path, rules_path)
    if isinstance(checked, result.Failure):
        return out.problems(checked.failure())
    document = checked.unwrap()
    changes = difference.between(current.document, document)
    base_version = current.version if made_from is None else made_from
    out.note(difference.to_text(changes))
    if not changes:
        out.show(
            f'version {current.version} stays in force',
            {'version': current.version, 'difference': []},
        )
        return output.ExitCode.DONE
    with output.progress('waiting until the change is in force'):
        sent = operator_client.apply(base_version, document)
    shown = {'difference': difference.to_json(changes)}
    if isinstance(sent, result.Failure):
        return _failed(operator_client, out, sent.failure(), changes, current)
    match sent.unwrap():
        case messages.Applied() as applied:
            return _applied(out, applied, shown)
        case messages.Conflict() as conflict:
            return _conflict(out, conflict, base_version, shown)


def _applied(
    out: output.Output,
    applied: messages.Applied,
    shown: dict[str, list[dict[str, object]]],
) -> output.ExitCode:
    seconds = max((node.seconds for node in applied.nodes), default=0.0)
    out.show(
        f'version {applied.version} is in force on {len(applied.nodes)} nodes'
        f' after {seconds:.2f} s',
        applied.model_dump(mode='json') | {'seconds': seconds} | shown,
    )
    return output.ExitCode.DONE


def _conflict(
    out: output.Output,
    conflict: messages.Conflict,
    base_version: ids.Version,
    shown: dict[str, list[dict[str, object]]],
) -> output.ExitCode:
    lines = [
        f'conflict: {item.key} was changed by {item.author}'
        for item in conflict.conflicts
    ]
    return out.fail(
        '\n'.join(
            [
                f'not applied: made from version {base_version}, version'
                f' {conflict.version} is in force',
                *lines,
            ]
        ),
        conflict.model_dump(mode='json')
        | {'error': 'conflict', 'base_version': base_version}
        | shown,
        output.ExitCode.CONFLICT,
    )


def _failed(
    operator_client: client.OperatorClient,
    out: output.Output,
    failure: errors.Failure,
    changes: tuple[difference.Change, ...],
    before: messages.Configuration,
) -> output.ExitCode:
    shown = difference.to_json(changes)
    if failure.outcome is not types.Outcome.UNKNOWN:
        return out.failure(failure, difference=shown)
    found = _read_back(operator_client, changes, before)
    out.note(found)
    return out.failure(failure, difference=shown, read_back=found)


def _read_back(
    operator_client: client.OperatorClient,
    changes: tuple[difference.Change, ...],
    before: messages.Configuration,
) -> str:
    """Say whether a change without an answer is in the configuration."""
    read = operator_client.configuration()
    if isinstance(read, result.Failure):
        return 'it is unknown whether the change was written'
    current = read.unwrap()
    if difference.between(before.document, current.document) == changes:
        return (
            f'the change is written as version {current.version}, but not'
            ' confirmed to be in force everywhere'
        )
    if current.version == before.version:
        return f'version {current.version} is still in force on that node'
    return f'version {current.version} has other changes; see rules history'
