"""Command that prints the states of the roll-outs."""

import argparse
import asyncio
import sys
from typing import Any, Iterable

from ..core import errors
from . import roll_out_rows
from . import settings
from . import store

EXIT_FAILED = 1


def add_parser(commands: Any) -> None:
    """Add the command to a command line."""
    parser = commands.add_parser(
        'rollouts', help='print the roll-outs of nodes on the platform'
    )
    parser.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help="settings file of a node, which names the platform's store",
    )
    parser.set_defaults(run=main)


def main(arguments: argparse.Namespace) -> int:
    """Print one line for each roll-out."""
    loaded = settings.load(arguments.settings)
    if isinstance(loaded, errors.Failure):
        return _fail(loaded)
    source = store.Store(loaded.store)
    rows = asyncio.run(source.read_all(roll_out_rows.TABLE))
    if isinstance(rows, errors.Failure):
        return _fail(rows)
    for line in lines(rows.rows):
        print(line)
    return 0


def lines(rows: Iterable[store.Row]) -> list[str]:
    """Return a line for each state of a roll-out."""
    return [
        _line(row)
        for row in rows
        if roll_out_rows.service_of(row.key) is not None
    ]


def _line(row: store.Row) -> str:
    found = roll_out_rows.decode_state(row.key, row.value)
    if isinstance(found, errors.Failure):
        return f'{row.key}: {found.detail}'
    counts = found.counts
    share = counts.sent / counts.requests if counts.requests else 0.0
    phase = found.phase.value
    if not found.phase.is_over:
        phase = f'running ({phase})'
    return (
        f'{found.service} to {found.target}: {phase}, {found.reason or "-"};'
        f' share {share:.3f}'
        f' ({counts.sent} of {counts.requests} requests);'
        f' {_answers("new", counts.new_answers, counts.new_bad)},'
        f' {_answers("old", counts.old_answers, counts.old_bad)}'
    )


def _answers(side: str, answers: int, bad: int) -> str:
    return f'{side} version {bad} bad of {answers} answers'


def _fail(failure: errors.Failure) -> int:
    print(failure, file=sys.stderr)
    return EXIT_FAILED
