"""Command line of the soak: `python3 -m hornbeamrudder.soak`."""

import argparse
import asyncio
import collections
import json
import pathlib
import shutil
import signal
import sys
import time

from . import checks
from . import plan
from . import run

EXIT_PROBLEMS = 1
FRESH_SEEDS = 1_000_000


def play(drawn: plan.Plan, folder: pathlib.Path) -> dict[str, object]:
    """Play one plan; logs stay in the folder where a promise broke."""
    place = folder / f'seed-{drawn.seed}'
    shutil.rmtree(place, ignore_errors=True)
    place.mkdir(parents=True)
    seen = asyncio.run(run.Soak(drawn, place).play())
    found = checks.problems(seen)
    report: dict[str, object] = {
        'seed': drawn.seed,
        'nodes': drawn.nodes,
        'faults': collections.Counter(
            fault.kind.value for fault in drawn.faults
        ),
        'requests': checks.summary(seen),
        'duty_calls': len(seen.duty_calls),
        'problems': found,
    }
    if found:
        (place / 'report.json').write_text(
            json.dumps(report | {'seen': seen}, default=repr, indent=1)
        )
    else:
        shutil.rmtree(place)
    return report


def parse(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='hornbeamrudder.soak')
    parser.add_argument('--seed', type=int, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of runs')
    parser.add_argument(
        '--seconds', type=float, default=15.0, help='time of faults in a run'
    )
    parser.add_argument('--minutes', type=float, help='run until then')
    parser.add_argument('--nodes', type=int, help='nodes of each run')
    parser.add_argument(
        '--fault',
        action='append',
        choices=[kind.name for kind in plan.Kind],
        help='only faults of this kind; may be repeated',
    )
    parser.add_argument('--out', type=pathlib.Path, default='run/soak')
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Play the runs and print a line for each; 1 if a promise broke."""
    # The processes of a run must end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_PROBLEMS))
    options = parse(sys.argv[1:] if arguments is None else arguments)
    first = options.seed
    if first is None:
        first = time.time_ns() % FRESH_SEEDS
    kinds = (
        tuple(plan.Kind[name] for name in options.fault)
        if options.fault
        else tuple(plan.Kind)
    )
    until = time.monotonic() + 60 * (options.minutes or 0.0)
    reports = []
    seed = first
    while seed < first + options.seeds or time.monotonic() < until:
        drawn = plan.make_plan(seed, options.seconds, kinds, options.nodes)
        report = play(drawn, options.out)
        reports.append(report)
        print(json.dumps(report), flush=True)
        seed += 1
    broken = [report['seed'] for report in reports if report['problems']]
    print(
        f'{len(reports)} runs, {len(broken)} with a broken promise'
        f'{f": seeds {broken}" if broken else ""}'
    )
    return EXIT_PROBLEMS if broken else 0


if __name__ == '__main__':
    sys.exit(main())
