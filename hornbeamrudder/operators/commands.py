"""Operator commands.

Each command takes the parsed arguments and returns an exit code.
"""

import argparse
import contextlib
import datetime
import pathlib
import time
from typing import Any, Callable, Iterator

from returns import result

from ..core import errors
from ..core import ids
from ..infrastructure import http
from ..inventory import check
from ..inventory import difference
from ..inventory import files
from ..inventory import schema

from . import changes
from . import client
from . import messages
from . import output
from . import parsers

SettingsCheck = Callable[[pathlib.Path], files.Problems]


class _CommandExit(Exception):
    """Terminates a command with an exit code."""

    def __init__(self, code: output.ExitCode) -> None:
        super().__init__(code)
        self.code = code


def add_parsers(
    subparsers: Any, check_settings: SettingsCheck | None = None
) -> None:
    """Add the operator commands; `args.run` is set to the command function.

    Parameters
    ----------
    subparsers : result of argparse's add_subparsers
    check_settings : callable, optional
        Returns the problems in a settings file, for `check --settings`.
    """
    inventory = subparsers.add_parser(
        'inventory', help='inventory from the asset register'
    ).add_subparsers(required=True, metavar='import|diff|show')
    for name, function, text in (
        ('import', inventory_import, 'import the register'),
        ('diff', inventory_diff, 'compare the register with the inventory'),
    ):
        parser = _add_command(inventory, name, function, text)
        parsers.add_file(parser, 'mapping', 'mapping file of the register')
        parsers.add_node_options(parser)
        if function is inventory_import:
            parsers.add_base_version(parser)
    parsers.add_node_options(
        _add_command(
            inventory, 'show', inventory_show, 'print the configuration'
        )
    )

    rules = subparsers.add_parser(
        'rules', help='rules on top of the inventory'
    ).add_subparsers(required=True, metavar='check|apply|history')
    parser = _add_command(rules, 'check', rules_check, 'check a rules file')
    parsers.add_file(parser, 'rules', 'rules file')
    parsers.add_file(
        parser,
        '--mapping',
        'check against this register (default: the inventory in force)',
    )
    parsers.add_node_options(parser)
    parser = _add_command(rules, 'apply', rules_apply, 'apply a rules file')
    parsers.add_file(parser, 'rules', 'rules file')
    parsers.add_base_version(parser)
    parsers.add_node_options(parser)
    parser = _add_command(
        rules,
        'history',
        rules_history,
        'list changes of rules with their authors',
    )
    parsers.add_history_options(parser)
    parsers.add_node_options(parser)

    parsers.add_node_options(
        _add_command(subparsers, 'status', status, 'state of the nodes')
    )
    parser = _add_command(
        subparsers, 'drain', drain, 'stop sending new work to a host'
    )
    parser.add_argument('host', metavar='HOST', help='id of the host')
    parsers.add_node_options(parser)
    parser = _add_command(
        subparsers, 'watch', watch, 'print the state whenever it changes'
    )
    parsers.add_watch_options(parser)
    parsers.add_node_options(parser)
    parser = _add_command(subparsers, 'check', check_all, 'check files')
    if check_settings is not None:
        parsers.add_file(parser, '--settings', 'settings file')
    parsers.add_file(parser, '--mapping', 'mapping file of the register')
    parsers.add_file(parser, '--rules', 'rules file')
    parsers.add_output_option(parser)
    parser.set_defaults(check_settings=check_settings)


def inventory_import(args: argparse.Namespace) -> int:
    """Apply the register."""
    return _apply_files(args, args.mapping, None)


def rules_apply(args: argparse.Namespace) -> int:
    """Apply a rules file."""
    return _apply_files(args, None, args.rules)


def inventory_diff(args: argparse.Namespace) -> int:
    """Print the changes that an import would make."""
    out = output.Output(args.output)
    with _operator_client(args, out) as operator_client:
        current = _unwrap_or_exit(out, operator_client.configuration())
        document = _document_or_exit(
            out, check.check_change(current.document, args.mapping, None)
        )
        differences = difference.between(current.document, document)
        out.print_result(
            difference.format_changes(differences),
            {
                'version': current.version,
                'difference': difference.to_json(differences),
            },
        )
        return output.ExitCode.SUCCESS


def inventory_show(args: argparse.Namespace) -> int:
    """Print the configuration in force."""
    out = output.Output(args.output)
    with _operator_client(args, out) as operator_client:
        current = _unwrap_or_exit(out, operator_client.configuration())
        lines = [
            f'{key}: {difference.format_value(value)}'
            for key, value in sorted(
                difference.values_by_key(current.document).items()
            )
        ]
        out.print_result(
            '\n'.join([f'version {current.version}', *lines]),
            {
                'version': current.version,
                'document': schema.to_json(current.document),
            },
        )
        return output.ExitCode.SUCCESS


def rules_check(args: argparse.Namespace) -> int:
    """Check a rules file against a register or the current inventory."""
    out = output.Output(args.output)
    if args.mapping is not None:
        check_result = check.check_files(args.mapping, args.rules)
        document = _document_or_exit_code(out, check_result)
        if isinstance(document, output.ExitCode):
            return document
        return _show_counts(out, document)
    with _operator_client(args, out) as operator_client:
        current = _unwrap_or_exit(out, operator_client.configuration())
        return _show_counts(
            out,
            _document_or_exit(
                out, check.check_change(current.document, None, args.rules)
            ),
        )


def rules_history(args: argparse.Namespace) -> int:
    """Print the versions that changed rules, with authors and keys."""
    out = output.Output(args.output)
    with _operator_client(args, out) as operator_client:
        # Versions that changed only the inventory are filtered out, so that
        # more versions have to be read than are printed.
        history = _unwrap_or_exit(
            out, operator_client.history(messages.MAX_HISTORY_LIMIT)
        )
        entries = [
            entry.model_copy(update={'keys': keys})
            for entry in history.versions
            if (keys := tuple(filter(_is_rule_key, entry.keys)))
        ][: args.limit]
        out.print_result(
            '\n'.join(map(_format_history_entry, entries))
            or 'no change of rules',
            {'versions': [entry.model_dump(mode='json') for entry in entries]},
        )
        return output.ExitCode.SUCCESS


def status(args: argparse.Namespace) -> int:
    """Print the state of the nodes."""
    out = output.Output(args.output)
    with _operator_client(args, out) as operator_client:
        value = _unwrap_or_exit(out, operator_client.status())
        out.print_result('\n'.join(_status_lines(value)), value)
        return output.ExitCode.SUCCESS


def drain(args: argparse.Namespace) -> int:
    """Mark a host as leaving."""
    out = output.Output(args.output)
    with _operator_client(args, out) as operator_client:
        with output.progress(f'draining {args.host}'):
            answer = operator_client.drain(ids.HostId(args.host))
        drained = _unwrap_or_exit(out, answer)
        out.print_result(
            f'host {drained.host} is {drained.state}',
            drained.model_dump(mode='json'),
        )
        return output.ExitCode.SUCCESS


def watch(args: argparse.Namespace) -> int:
    """Print the state whenever it changes, until interrupted."""
    out = output.Output(args.output)
    code = output.ExitCode.SUCCESS
    last_status: Any = None
    remaining = args.count
    with _operator_client(args, out) as operator_client:
        while remaining is None or remaining > 0:
            read = operator_client.status()
            if isinstance(read, result.Failure):
                if last_status != read.failure():
                    last_status = read.failure()
                    code = out.print_failure(last_status)
            elif read.unwrap() != last_status:
                last_status = read.unwrap()
                code = output.ExitCode.SUCCESS
                out.print_result(
                    '\n'.join(_status_lines(last_status)), last_status
                )
            if remaining is not None:
                remaining -= 1
            if remaining != 0:
                time.sleep(args.interval)
    return code


def check_all(args: argparse.Namespace) -> int:
    """Check settings, register and rules files without contacting a node."""
    out = output.Output(args.output)
    settings = getattr(args, 'settings', None)
    if settings is None and args.mapping is None and args.rules is None:
        return out.print_error(
            'give at least one file to check',
            {'error': 'no file given'},
            output.ExitCode.USAGE,
        )
    input_problems: files.Problems = ()
    if settings is not None:
        input_problems = tuple(args.check_settings(settings))
    check_result = check.check_files(args.mapping, args.rules)
    if isinstance(check_result, result.Failure):
        input_problems += check_result.failure()
    if input_problems:
        return out.print_problems(input_problems)
    return _show_counts(out, check_result.unwrap())


def _add_command(
    subparsers: Any,
    name: str,
    function: Callable[[argparse.Namespace], int],
    text: str,
) -> argparse.ArgumentParser:
    parser = subparsers.add_parser(name, help=text, description=text)
    parser.set_defaults(run=_wrap_command(function))
    return parser


def _wrap_command(
    function: Callable[[argparse.Namespace], int],
) -> Callable[[argparse.Namespace], int]:
    def run(args: argparse.Namespace) -> int:
        try:
            return int(function(args))
        except _CommandExit as command_exit:
            return int(command_exit.code)
        except KeyboardInterrupt:
            return int(output.ExitCode.SUCCESS)

    return run


def _apply_files(
    args: argparse.Namespace,
    mapping: pathlib.Path | None,
    rules: pathlib.Path | None,
) -> int:
    out = output.Output(args.output)
    made_from = None if args.made_from is None else ids.Version(args.made_from)
    with _operator_client(args, out) as operator_client:
        return changes.apply_files(
            operator_client, out, mapping, rules, made_from
        )


@contextlib.contextmanager
def _operator_client(
    args: argparse.Namespace, out: output.Output
) -> Iterator[client.OperatorClient]:
    if not args.nodes or args.token_file is None:
        text = 'give --node and --token-file'
        raise _CommandExit(
            out.print_error(text, {'error': text}, output.ExitCode.USAGE)
        )
    token = _unwrap_or_exit(
        out, client.read_token(pathlib.Path(args.token_file))
    )
    http_client = http.HttpClient('operator')
    try:
        yield client.OperatorClient(
            http_client, args.nodes, token, 'https' if args.tls else 'http'
        )
    finally:
        http_client.close()


def _unwrap_or_exit(
    out: output.Output, answer: result.Result[Any, errors.Failure]
) -> Any:
    if isinstance(answer, result.Failure):
        raise _CommandExit(out.print_failure(answer.failure()))
    return answer.unwrap()


def _document_or_exit_code(
    out: output.Output, check_result: check.CheckResult
) -> schema.Document | output.ExitCode:
    if isinstance(check_result, result.Failure):
        return out.print_problems(check_result.failure())
    return check_result.unwrap()


def _document_or_exit(
    out: output.Output, check_result: check.CheckResult
) -> schema.Document:
    document = _document_or_exit_code(out, check_result)
    if isinstance(document, output.ExitCode):
        raise _CommandExit(document)
    return document


def _show_counts(
    out: output.Output, document: schema.Document
) -> output.ExitCode:
    count_by_name = {
        'services': len(document.services),
        'accounts': len(document.accounts),
        'operators': len(document.operators),
        'hosts': len(document.hosts),
        'workers': len(document.workers_by_id),
        'rank rules': len(document.rules.ranks),
    }
    text = ', '.join(
        f'{count} {name}' for name, count in count_by_name.items()
    )
    out.print_result(
        f'no problems: {text}', {'problems': [], 'counts': count_by_name}
    )
    return output.ExitCode.SUCCESS


def _is_rule_key(key: str) -> bool:
    return key.startswith(difference.RULES_PREFIX)


def _format_history_entry(entry: messages.HistoryEntry) -> str:
    at = datetime.datetime.fromtimestamp(entry.at_wall_s, datetime.UTC)
    return (
        f'{entry.version} {at:%Y-%m-%dT%H:%M:%SZ} {entry.author}:'
        f' {", ".join(entry.keys)}'
    )


def _status_lines(value: dict[str, Any]) -> Iterator[str]:
    for name, item in value.items():
        if isinstance(item, dict) and any(
            isinstance(part, dict) for part in item.values()
        ):
            yield f'{name}:'
            for key, part in item.items():
                yield f'  {key}: {difference.format_value(part)}'
        elif isinstance(item, list) and item:
            yield f'{name}:'
            yield from (f'  {difference.format_value(part)}' for part in item)
        else:
            yield f'{name}: {difference.format_value(item)}'
