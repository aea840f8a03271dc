"""Command-line options of the operator commands."""

import argparse
import os
import pathlib
import re

from . import output

NODES_ENV_VAR = 'HORNBEAMRUDDER_NODES'
TOKEN_FILE_ENV_VAR = 'HORNBEAMRUDDER_TOKEN_FILE'
DEFAULT_WATCH_INTERVAL_S = 2.0
MIN_WATCH_INTERVAL_S = 0.1
_ADDRESS = re.compile(r'[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}')


def add_output_option(parser: argparse.ArgumentParser) -> None:
    """Add `--output`."""
    parser.add_argument(
        '--output',
        type=output.Format,
        choices=tuple(output.Format),
        default=output.Format.TEXT,
        metavar='text|json',
        help='output format',
    )


def add_node_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for node addresses, token, TLS and output."""
    parser.add_argument(
        '--node',
        dest='nodes',
        type=_addresses,
        default=os.environ.get(NODES_ENV_VAR, ''),
        metavar='IP:PORT[,IP:PORT]',
        help=f'nodes, tried in order (default: ${NODES_ENV_VAR})',
    )
    parser.add_argument(
        '--token-file',
        type=pathlib.Path,
        default=os.environ.get(TOKEN_FILE_ENV_VAR),
        metavar='FILE',
        help=f'operator token (default: ${TOKEN_FILE_ENV_VAR})',
    )
    parser.add_argument(
        '--tls', action='store_true', help='call the nodes over TLS'
    )
    add_output_option(parser)


def add_file(parser: argparse.ArgumentParser, name: str, text: str) -> None:
    """Add a file argument, or an option if `name` starts with `--`."""
    parser.add_argument(name, type=pathlib.Path, metavar='FILE', help=text)


def add_base_version(parser: argparse.ArgumentParser) -> None:
    """Add `--made-from`, the base version of the edited files."""
    parser.add_argument(
        '--made-from',
        type=_whole_number,
        metavar='VERSION',
        help='version that the files were edited from; a conflict is reported'
        ' if another one is in force',
    )


def add_history_options(parser: argparse.ArgumentParser) -> None:
    """Add `--limit`."""
    parser.add_argument(
        '--limit',
        type=_whole_number,
        default=20,
        metavar='N',
        help='number of versions to print, newest first',
    )


def add_watch_options(parser: argparse.ArgumentParser) -> None:
    """Add `--interval` and `--count`."""
    parser.add_argument(
        '--interval',
        type=_interval_s,
        default=DEFAULT_WATCH_INTERVAL_S,
        metavar='SECONDS',
        help='seconds between two reads of the state',
    )
    parser.add_argument(
        '--count',
        type=_whole_number,
        metavar='N',
        help='number of reads of the state (default: unlimited)',
    )


def _addresses(text: str) -> tuple[str, ...]:
    addresses = tuple(part.strip() for part in text.split(',') if part.strip())
    for address in addresses:
        if not _ADDRESS.fullmatch(address):
            raise argparse.ArgumentTypeError(f'{address!r} is not IP:PORT')
    return addresses


def _whole_number(text: str) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) <= 15):
        raise argparse.ArgumentTypeError(f'{text!r} is not a whole number')
    return int(text)


def _interval_s(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not MIN_WATCH_INTERVAL_S <= seconds <= 3600:
        raise argparse.ArgumentTypeError(
            f'expected {MIN_WATCH_INTERVAL_S} to 3600 seconds'
        )
    return seconds
