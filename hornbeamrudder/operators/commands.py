"""Operator commands; each takes parsed arguments and returns an exit code."""

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


class _Stop(Exception):
    """Internal: ends a command with an exit code."""

    def __init__(self, code: output.ExitCode) -> None:
        super().__init__(code)
        self.code = code


def add_parsers(
    subparsers: Any, check_settings: SettingsCheck | None = None
) -> None:
    """Add the operator commands; the function to call is `args.run`.

    Parameters
    ----------
    subparsers : result of argparse's add_subparsers
    check_settings : callable, optional
        Finds the problems of a settings file for `check --settings`.
    """
    inventory = subparsers.add_parser(
        'inventory', help='inventory from the asset register'
    ).add_subparsers(required=True, metavar='import|diff|show')
    for name, function, text in (
        ('import', inventory_import, 'put the register in force'),
        ('diff', inventory_diff, 'compare the register with the inventory'),
    ):
        parser = _add(inventory, name, function, text)
        parsers.add_path(parser, 'mapping', 'mapping file of the register')
        parsers.add_node(parser)
        if function is inventory_import:
            parsers.add_made_from(parser)
    parsers.add_node(
        _add(inventory, 'show', inventory_show, 'print the configuration')
    )

    rules = subparsers.add_parser(
        'rules', help='rules on top of the inventory'
    ).add_subparsers(required=True, metavar='check|apply|history')
    parser = _add(rules, 'check', rules_check, 'check a rules file')
    parsers.add_path(parser, 'rules', 'rules file')
    parsers.add_path(
        parser,
        '--mapping',
        'check against this register (default: the inventory in force)',
    )
    parsers.add_node(parser)
    parser = _add(rules, 'apply', rules_apply, 'put a rules file in force')
    parsers.add_path(parser, 'rules', 'rules file')
    parsers.add_made_from(parser)
    parsers.add_node(parser)
    parser = _add(rules, 'history', rules_history, 'who changed what')
    parsers.add_history(parser)
    parsers.add_node(parser)

    parsers.add_node(_add(subparsers, 'status', status, 'state of the nodes'))
    parser = _add(subparsers, 'drain', drain, 'give a host no new work')
    parser.add_argument('host', metavar='HOST', help='id of the host')
    parsers.add_node(parser)
    parser = _add(subparsers, 'watch', watch, 'print changes of the state')
    parsers.add_watch(parser)
    parsers.add_node(parser)
    parser = _add(subparsers, 'check', check_all, 'check files')
    if check_settings is not None:
        parsers.add_path(parser, '--settings', 'settings file')
    parsers.add_path(parser, '--mapping', 'mapping file of the register')
    parsers.add_path(parser, '--rules', 'rules file')
    parsers.add_output(parser)
    parser.set_defaults(check_settings=check_settings)


def inventory_import(args: argparse.Namespace) -> int:
    """Put the register in force."""
    return _apply(args, args.mapping, None)


def rules_apply(args: argparse.Namespace) -> int:
    """Put a rules file in force."""
    return _apply(args, None, args.rules)


def inventory_diff(args: argparse.Namespace) -> int:
    """Print what an import would change."""
    out = output.Output(args.output)
    with _connected(args, out) as operator_client:
        current = _need(out, operator_client.configuration())
        document = _checked(
            out, check.check_change(current.document, args.mapping, None)
        )
        found = difference.between(current.document, document)
        out.show(
            difference.to_text(found),
            {
                'version': current.version,
                'difference': difference.to_json(found),
            },
        )
        return output.ExitCode.DONE


def inventory_show(args: argparse.Namespace) -> int:
    """Print the configuration in force."""
    out = output.Output(args.output)
    with _connected(args, out) as operator_client:
        current = _need(out, operator_client.configuration())
        lines = [
            f'{key}: {difference.flat_text(value)}'
            for key, value in sorted(
                difference.values_by_key(current.document).items()
            )
        ]
        out.show(
            '\n'.join([f'version {current.version}', *lines]),
            {
                'version': current.version,
                'document': schema.to_json(current.document),
            },
        )
        return output.ExitCode.DONE


def rules_check(args: argparse.Namespace) -> int:
    """Check a rules file with a register or the inventory in force."""
    out = output.Output(args.output)
    if args.mapping is not None:
        checked = check.check_files(args.mapping, args.rules)
        document = _checked_or_code(out, checked)
        if isinstance(document, output.ExitCode):
            return document
        return _valid(out, document)
    with _connected(args, out) as operator_client:
        current = _need(out, operator_client.configuration())
        return _valid(
            out,
            _checked(
                out, check.check_change(current.document, None, args.rules)
            ),
        )


def rules_history(args: argparse.Namespace) -> int:
    """Print versions that changed rules, with author and keys."""
    out = output.Output(args.output)
    with _connected(args, out) as operator_client:
        # Versions that changed only the inventory are left out, so that more
        # of them are read than are printed.
        history = _need(out, operator_client.history(messages.MAX_HISTORY))
        entries = [
            entry.model_copy(update={'keys': keys})
            for entry in history.versions
            if (keys := tuple(filter(_is_rule, entry.keys)))
        ][: args.limit]
        out.show(
            '\n'.join(map(_history_line, entries)) or 'no change of rules',
            {'versions': [entry.model_dump(mode='json') for entry in entries]},
        )
        return output.ExitCode.DONE


def status(args: argparse.Namespace) -> int:
    """Print the state of the nodes."""
    out = output.Output(args.output)
    with _connected(args, out) as operator_client:
        value = _need(out, operator_client.status())
        out.show('\n'.join(_status_lines(value)), value)
        return output.ExitCode.DONE


def drain(args: argparse.Namespace) -> int:
    """Mark a host as leaving."""
    out = output.Output(args.output)
    with _connected(args, out) as operator_client:
        with output.progress(f'draining {args.host}'):
            answer = operator_client.drain(ids.HostId(args.host))
        drained = _need(out, answer)
        out.show(
            f'host {drained.host} is {drained.state}',
            drained.model_dump(mode='json'),
        )
        return output.ExitCode.DONE


def watch(args: argparse.Namespace) -> int:
    """Print the state whenever it changes, until interrupted."""
    out = output.Output(args.output)
    code = output.ExitCode.DONE
    shown: Any = None
    left = args.count
    with _connected(args, out) as operator_client:
        while left is None or left > 0:
            read = operator_client.status()
            if isinstance(read, result.Failure):
                if shown != read.failure():
                    shown = read.failure()
                    code = out.failure(shown)
            elif read.unwrap() != shown:
                shown = read.unwrap()
                code = output.ExitCode.DONE
                out.show('\n'.join(_status_lines(shown)), shown)
            if left is not None:
                left -= 1
            if left != 0:
                time.sleep(args.interval)
    return code


def check_all(args: argparse.Namespace) -> int:
    """Check settings, register and rules files without a node."""
    out = output.Output(args.output)
    settings = getattr(args, 'settings', None)
    if settings is None and args.mapping is None and args.rules is None:
        return out.fail(
            'give at least one file to check',
            {'error': 'no file given'},
            output.ExitCode.USAGE,
        )
    found: files.Problems = ()
    if settings is not None:
        found = tuple(args.check_settings(settings))
    checked = check.check_files(args.mapping, args.rules)
    if isinstance(checked, result.Failure):
        found += checked.failure()
    if found:
        return out.problems(found)
    return _valid(out, checked.unwrap())


def _add(
    subparsers: Any,
    name: str,
    function: Callable[[argparse.Namespace], int],
    text: str,
) -> argparse.ArgumentParser:
    parser = subparsers.add_parser(name, help=text, description=text)
    parser.set_defaults(run=_run(function))
    return parser


def _run(
    function: Callable[[argparse.Namespace], int],
) -> Callable[[argparse.Namespace], int]:
    def run(args: argparse.Namespace) -> int:
        try:
            return int(function(args))
        except _Stop as stop:
            return int(stop.code)
        except KeyboardInterrupt:
            return int(output.ExitCode.DONE)

    return run


def _apply(
    args: argparse.Namespace,
    mapping: pathlib.Path | None,
    rules: pathlib.Path | None,
) -> int:
    out = output.Output(args.output)
    made_from = None if args.made_from is None else ids.Version(args.made_from)
    with _connected(args, out) as operator_client:
        return changes.apply_files(
            operator_client, out, mapping, rules, made_from
        )


@contextlib.contextmanager
def _connected(
    args: argparse.Namespace, out: output.Output
) -> Iterator[client.OperatorClient]:
    if not args.nodes or args.token_file is None:
        text = 'give --node and --token-file'
        raise _Stop(out.fail(text, {'error': text}, output.ExitCode.USAGE))
    token = _need(out, client.read_token(pathlib.Path(args.token_file)))
    http_client = http.HttpClient('operator')
    try:
        yield client.OperatorClient(
            http_client, args.nodes, token, 'https' if args.tls else 'http'
        )
    finally:
        http_client.close()


def _need(
    out: output.Output, answer: result.Result[Any, errors.Failure]
) -> Any:
    if isinstance(answer, result.Failure):
        raise _Stop(out.failure(answer.failure()))
    return answer.unwrap()


def _checked_or_code(
    out: output.Output, checked: check.CheckResult
) -> schema.Document | output.ExitCode:
    if isinstance(checked, result.Failure):
        return out.problems(checked.failure())
    return checked.unwrap()


def _checked(
    out: output.Output, checked: check.CheckResult
) -> schema.Document:
    document = _checked_or_code(out, checked)
    if isinstance(document, output.ExitCode):
        raise _Stop(document)
    return document


def _valid(out: output.Output, document: schema.Document) -> output.ExitCode:
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
    out.show(f'no problems: {text}', {'problems': [], 'counts': count_by_name})
    return output.ExitCode.DONE


def _is_rule(key: str) -> bool:
    return key.startswith(difference.RULES_PREFIX)


def _history_line(entry: messages.HistoryEntry) -> str:
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
                yield f'  {key}: {difference.flat_text(part)}'
        elif isinstance(item, list) and item:
            yield f'{name}:'
            yield from (f'  {difference.flat_text(part)}' for part in item)
        else:
            yield f'{name}: {difference.flat_text(item)}'
