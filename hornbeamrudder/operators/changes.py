"""Applies configuration changes from files and reports the result."""

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
    """Replace the parts of the configuration that the files define.

    Parameters
    ----------
    made_from : Version or None
        Version that the files were edited from; None for the current one.
    """
    configuration_result = operator_client.configuration()
    if isinstance(configuration_result, result.Failure):
        return out.print_failure(configuration_result.failure())
    current = configuration_result.unwrap()
    check_result = check.check_change(
        current.document, mapping_path, rules_path
    )
    if isinstance(check_result, result.Failure):
        return out.print_problems(check_result.failure())
    document = check_result.unwrap()
    changes = difference.between(current.document, document)
    base_version = current.version if made_from is None else made_from
    out.print_note(difference.format_changes(changes))
    if not changes:
        out.print_result(
            f'version {current.version} stays in force',
            {'version': current.version, 'difference': []},
        )
        return output.ExitCode.SUCCESS
    with output.progress('waiting until the change is in force'):
        change_result = operator_client.apply(base_version, document)
    difference_json = {'difference': difference.to_json(changes)}
    if isinstance(change_result, result.Failure):
        return _show_failure(
            operator_client, out, change_result.failure(), changes, current
        )
    match change_result.unwrap():
        case messages.Applied() as applied:
            return _show_applied(out, applied, difference_json)
        case messages.Conflict() as conflict:
            return _show_conflict(out, conflict, base_version, difference_json)


def _show_applied(
    out: output.Output,
    applied: messages.Applied,
    difference_json: dict[str, list[dict[str, object]]],
) -> output.ExitCode:
    seconds = max((node.seconds for node in applied.nodes), default=0.0)
    out.print_result(
        f'version {applied.version} is in force on {len(applied.nodes)} nodes'
        f' after {seconds:.2f} s',
        applied.model_dump(mode='json')
        | {'seconds': seconds}
        | difference_json,
    )
    return output.ExitCode.SUCCESS


def _show_conflict(
    out: output.Output,
    conflict: messages.Conflict,
    base_version: ids.Version,
    difference_json: dict[str, list[dict[str, object]]],
) -> output.ExitCode:
    lines = [
        f'conflict: {item.key} was changed by {item.author}'
        for item in conflict.conflicts
    ]
    return out.print_error(
        '\n'.join(
            [
                f'not applied: made from version {base_version}, version'
                f' {conflict.version} is in force',
                *lines,
            ]
        ),
        conflict.model_dump(mode='json')
        | {'error': 'conflict', 'base_version': base_version}
        | difference_json,
        output.ExitCode.CONFLICT,
    )


def _show_failure(
    operator_client: client.OperatorClient,
    out: output.Output,
    failure: errors.Failure,
    changes: tuple[difference.Change, ...],
    before: messages.Configuration,
) -> output.ExitCode:
    difference_json = difference.to_json(changes)
    if failure.outcome is not types.Outcome.UNKNOWN:
        return out.print_failure(failure, difference=difference_json)
    read_back = _read_back_change(operator_client, changes, before)
    out.print_note(read_back)
    return out.print_failure(
        failure, difference=difference_json, read_back=read_back
    )


def _read_back_change(
    operator_client: client.OperatorClient,
    changes: tuple[difference.Change, ...],
    before: messages.Configuration,
) -> str:
    """Read back whether a change with unknown outcome was written."""
    configuration_result = operator_client.configuration()
    if isinstance(configuration_result, result.Failure):
        return 'it is unknown whether the change was written'
    current = configuration_result.unwrap()
    if difference.between(before.document, current.document) == changes:
        return (
            f'the change is written as version {current.version}, but not'
            ' confirmed to be in force everywhere'
        )
    if current.version == before.version:
        return f'version {current.version} is still in force on that node'
    return f'version {current.version} has other changes; see rules history'
