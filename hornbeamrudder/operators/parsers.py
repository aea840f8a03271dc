"""Command-line arguments of the operator commands."""

import argparse
import os
import pathlib
import re

from . import output

NODES_VARIABLE = 'HORNBEAMRUDDER_NODES'
TOKEN_FILE_VARIABLE = 'HORNBEAMRUDDER_TOKEN_FILE'
DEFAULT_WATCH_INTERVAL_S = 2.0
MIN_WATCH_INTERVAL_S = 0.1
_PEER = re.compile(r'[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}')


def add_output(parser: argparse.ArgumentParser) -> None:
    """Add `--output`."""
    parser.add_argument(
        '--output',
        type=output.Format,
        choices=tuple(output.Format),
        default=output.Format.TEXT,
        metavar='text|json',
        help='form of the output',
    )


def add_node(parser: argparse.ArgumentParser) -> None:
    """Add the addresses of nodes, the token file and `--output`."""
    parser.add_argument(
        '--node',
        dest='nodes',
        type=_peers,
        default=os.environ.get(NODES_VARIABLE, ''),
        metavar='IP:PORT[,IP:PORT]',
        help=f'nodes, tried in order (default: ${NODES_VARIABLE})',
    )
    parser.add_argument(
        '--token-file',
        type=pathlib.Path,
        default=os.environ.get(TOKEN_FILE_VARIABLE),
        metavar='FILE',
        help=f'operator token (default: ${TOKEN_FILE_VARIABLE})',
    )
    parser.add_argument(
        '--tls', action='store_true', help='call the nodes over TLS'
    )
    add_output(parser)


def add_path(parser: argparse.ArgumentParser, name: str, text: str) -> None:
    """Add a file argument; an option where `name` starts with `--`."""
    parser.add_argument(name, type=pathlib.Path, metavar='FILE', help=text)


def add_made_from(parser: argparse.ArgumentParser) -> None:
    """Add the version that edited files were made from."""
    parser.add_argument(
        '--made-from',
        type=_count,
        metavar='VERSION',
        help='version that the files were made from; a conflict is reported'
        ' where another one is in force',
    )


def add_history(parser: argparse.ArgumentParser) -> None:
    """Add `--limit`."""
    parser.add_argument(
        '--limit',
        type=_count,
        default=20,
        metavar='N',
        help='versions to print, newest first',
    )


def add_watch(parser: argparse.ArgumentParser) -> None:
    """Add `--interval` and `--count`."""
    parser.add_argument(
        '--interval',
        type=_interval,
        default=DEFAULT_WATCH_INTERVAL_S,
        metavar='SECONDS',
        help='time between two readings',
    )
    parser.add_argument(
        '--count',
        type=_count,
        metavar='N',
        help='readings before the command ends (default: no end)',
    )


def _peers(text: str) -> tuple[str, ...]:
    peers = tuple(part.strip() for part in text.split(',') if part.strip())
    for peer in peers:
        if not _PEER.fullmatch(peer):
            raise argparse.ArgumentTypeError(f'{peer!r} is not IP:PORT')
    return peers


def _count(text: str) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) <= 15):
        raise argparse.ArgumentTypeError(f'{text!r} is not a whole number')
    return int(text)


def _interval(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not MIN_WATCH_INTERVAL_S <= seconds <= 3600:
        raise argparse.ArgumentTypeError(
            f'expected {MIN_WATCH_INTERVAL_S} to 3600 seconds'
        )
    return seconds
