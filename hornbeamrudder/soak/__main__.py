"""Command line of the soak test: `python3 -m hornbeamrudder.soak`."""

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

EXIT_VIOLATIONS = 1
RANDOM_SEED_RANGE = 1_000_000


def run_plan(fault_plan: plan.Plan, folder: pathlib.Path) -> dict[str, object]:
    """Execute one plan; keep logs and report if an invariant is violated."""
    run_folder = folder / f'seed-{fault_plan.seed}'
    shutil.rmtree(run_folder, ignore_errors=True)
    run_folder.mkdir(parents=True)
    observations = asyncio.run(run.SoakRun(fault_plan, run_folder).execute())
    violations = checks.find_violations(observations)
    report: dict[str, object] = {
        'seed': fault_plan.seed,
        'nodes': fault_plan.nodes,
        'faults': collections.Counter(
            fault.kind.value for fault in fault_plan.faults
        ),
        'requests': checks.summary(observations),
        'roll_outs': [
            {
                'service': item.service,
                'is_bad': item.is_bad,
                'state': item.states[-1][0] if item.states else None,
            }
            for item in observations.roll_outs
        ],
        'duty_calls': len(observations.duty_calls),
        'problems': violations,
    }
    if violations:
        (run_folder / 'report.json').write_text(
            json.dumps(report | {'seen': observations}, default=repr, indent=1)
        )
    else:
        shutil.rmtree(run_folder)
    return report


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='hornbeamrudder.soak')
    parser.add_argument('--seed', type=int, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of runs')
    parser.add_argument(
        '--seconds',
        type=float,
        default=15.0,
        help='time during which faults are started',
    )
    parser.add_argument(
        '--minutes', type=float, help='start runs until this time has passed'
    )
    parser.add_argument('--nodes', type=int, help='nodes of each run')
    parser.add_argument(
        '--fault',
        action='append',
        choices=[kind.name for kind in plan.FaultKind],
        help='only faults of this kind; may be repeated',
    )
    parser.add_argument('--out', type=pathlib.Path, default='run/soak')
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Print a line for each run; return 1 if an invariant was violated."""
    # Exit through SystemExit, so that the node processes are killed too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_VIOLATIONS))
    options = parse_arguments(sys.argv[1:] if arguments is None else arguments)
    first = options.seed
    if first is None:
        first = time.time_ns() % RANDOM_SEED_RANGE
    kinds = (
        tuple(plan.FaultKind[name] for name in options.fault)
        if options.fault
        else tuple(plan.FaultKind)
    )
    until = time.monotonic() + 60 * (options.minutes or 0.0)
    reports = []
    seed = first
    while seed < first + options.seeds or time.monotonic() < until:
        fault_plan = plan.generate_plan(
            seed, options.seconds, kinds, options.nodes
        )
        report = run_plan(fault_plan, options.out)
        reports.append(report)
        print(json.dumps(report), flush=True)
        seed += 1
    failed_seeds = [report['seed'] for report in reports if report['problems']]
    print(
        f'{len(reports)} runs, {len(failed_seeds)} with violated invariants'
        f'{f": seeds {failed_seeds}" if failed_seeds else ""}'
    )
    return EXIT_VIOLATIONS if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main())
