"""Command line of hornbeamrudder."""

import argparse
import pathlib
import sys
from typing import Any, Callable, Sequence

import pydantic
from returns import result

from .bench import capacity
from .bench import demo
from .bench import experiment
from .bench import flood
from .core import errors
from .entry import daemon
from .inventory import mapping
from .inventory import problems
from .inventory import schema as inventory_schema
from .operators import commands as operator_commands
from .platform import roll_out_status
from .platform import settings as platform_settings
from .settings import client_limits
from .settings import load
from .settings import reference
from .settings import schema
from .standins import cloud
from .standins import engine
from .standins import hosts
from .standins import objects
from .standins import relay
from .standins import service
from .standins import table
from .standins import weights

EXIT_INVALID_SETTINGS = 1

MODEL_BY_TITLE: dict[str, type[pydantic.BaseModel]] = {
    'Node settings': schema.NodeSettings,
    'Configuration document with its rules': inventory_schema.Document,
    'Mapping file of a register': mapping.RegisterMapping,
    'Limits on clients of a node on the platform': client_limits.ClientLimits,
}

# Settings model of a command and the function that runs it.
Runner = tuple[type[pydantic.BaseModel], Callable[[Any], int]]

STANDINS_BY_ROLE: dict[str, Runner] = {
    'cloud': (cloud.Settings, cloud.run),
    'engine': (engine.Settings, engine.run),
    'hosts': (hosts.Settings, hosts.run),
    'objects': (objects.Settings, objects.run),
    'relay': (relay.Settings, relay.run),
    'service': (service.Settings, service.run),
    'table': (table.Settings, table.run),
    'weights': (weights.Settings, weights.run),
}


def _run_with_settings(path: str, runner: Runner) -> int:
    model, run = runner
    match load.load(path, model):
        case result.Success(settings):
            return run(settings)
        case result.Failure(reported):
            print('\n'.join(map(str, reported)), file=sys.stderr)
            return EXIT_INVALID_SETTINGS
    raise AssertionError


def _node(arguments: argparse.Namespace) -> int:
    return _run_with_settings(
        arguments.settings, (schema.NodeSettings, daemon.run)
    )


def _standin(arguments: argparse.Namespace) -> int:
    return _run_with_settings(
        arguments.settings, STANDINS_BY_ROLE[arguments.role]
    )


def settings_reference() -> str:
    """Return the expected content of docs/settings.md."""
    return reference.render(
        MODEL_BY_TITLE
        | {
            f'Stand-in `{role}`': model
            for role, (model, _) in STANDINS_BY_ROLE.items()
        }
    )


def _reference(arguments: argparse.Namespace) -> int:
    print(settings_reference(), end='')
    return 0


def _settings_problems(path: pathlib.Path) -> tuple[problems.Problem, ...]:
    """Validate a settings file in the project's or the platform's format."""
    if platform_settings.is_platform_file(str(path)):
        loaded = platform_settings.load(str(path))
        if isinstance(loaded, errors.Failure):
            return (problems.Problem(str(path), 1, 'file', loaded.detail),)
        return ()
    match load.load(str(path), schema.NodeSettings):
        case result.Failure(reported):
            return reported
        case _:
            return ()


def create_parser() -> argparse.ArgumentParser:
    """Create the command-line parser."""
    parser = argparse.ArgumentParser(
        prog='hornbeamrudder',
        description='Serving system on reclaimable hosts.',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    node = commands.add_parser('node', help='run a node on an entry host')
    node.add_argument('--settings', required=True, metavar='FILE')
    node.set_defaults(run=_node)
    standin = commands.add_parser(
        'standin', help='run a stand-in for an external system, for tests'
    )
    standin.add_argument('role', choices=sorted(STANDINS_BY_ROLE))
    standin.add_argument('--settings', required=True, metavar='FILE')
    standin.set_defaults(run=_standin)
    operator_commands.add_parsers(commands, _settings_problems)
    demo_command = commands.add_parser(
        'demo', help='run a whole deployment on this machine'
    )
    demo_command.add_argument(
        '--folder', help='folder for settings and logs of the processes'
    )
    demo_command.set_defaults(run=demo.main)
    flood.add_parser(commands)
    roll_out_status.add_parser(commands)
    commands.add_parser(
        'reference', help='print the settings reference (docs/settings.md)'
    ).set_defaults(run=_reference)
    commands.add_parser('bench', help='measure the policy in virtual time')
    capacity_command = commands.add_parser(
        'capacity',
        help='measure resource use per unit of load for docs/CAPACITY.md',
    )
    capacity_command.add_argument(
        '--quick', action='store_true', help='fewer and smaller sizes'
    )
    capacity_command.add_argument(
        '--out', metavar='DIR', help='folder for results and logs'
    )
    capacity_command.set_defaults(run=capacity.main)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return its exit status."""
    args = sys.argv[1:] if argv is None else list(argv)
    if args[:1] == ['bench']:
        return experiment.main(args[1:])
    arguments = create_parser().parse_args(args)
    status: int = arguments.run(arguments)
    return status


if __name__ == '__main__':
    sys.exit(main())
