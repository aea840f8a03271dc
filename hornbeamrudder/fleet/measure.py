"""Simulates placement policies; reports cost and latency of urgent requests.

Usage: python -m hornbeamrudder.fleet.measure --seeds 5 --hours 6
"""

import argparse
from concurrent import futures
import dataclasses
import math
import pathlib
import statistics
import sys
from typing import Sequence

import orjson

from . import scenario
from . import simulation

PRICE_BY_ZONE = {
    'kingston-a': 1.0,
    'kingston-b': 1.08,
    'portmore': 0.95,
    'spanish-town': 1.15,
}
POLICIES = (
    simulation.Policy('placement', lambda _: True, True),
    simulation.Policy('no on-demand', lambda key: key.reclaimable, True),
    simulation.Policy('cheapest only', lambda key: key.reclaimable, False),
    simulation.Policy('on-demand', lambda key: not key.reclaimable, True),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one policy: mean over the seeds, and the worst seed.

    Attributes
    ----------
    in_time, in_time_worst : float
        Share of urgent requests with the first token within 1.1 s.
    in_time_after_loss : float
        The same for requests that arrive within 900 s of a zone loss.
    slots_after_loss_worst : float
        Serving slots outside the lost zone, divided by the urgent slots
        required.
    recovery_s, recovery_s_worst : float
        Time from a zone loss until the serving slots cover the total again.
    """

    policy: str
    cost_per_hour: float
    in_time: float
    in_time_worst: float
    in_time_after_loss: float
    in_time_after_loss_worst: float
    slots_after_loss_worst: float
    recovery_s: float
    recovery_s_worst: float
    recomputed: float
    dropped: float
    starts_refused: float
    reclaimed_hosts: float


def run_policy(
    policy_index: int, seed: int, hours: float
) -> simulation.Metrics:
    """Simulate one policy with one seed."""
    generated = scenario.generate_scenario(seed, hours, PRICE_BY_ZONE)
    return simulation.Simulation(generated, POLICIES[policy_index], seed).run()


def summarise(
    policy: simulation.Policy, hours: float, runs: Sequence[simulation.Metrics]
) -> Row:
    """Combine the runs of one policy with different seeds."""
    in_time = [
        run.urgent_in_time / max(1, run.urgent_requests) for run in runs
    ]
    after_loss = [
        run.urgent_after_loss_in_time / max(1, run.urgent_after_loss)
        for run in runs
    ]
    recovery = [run.recovery_s for run in runs]
    mean = statistics.fmean
    return Row(
        policy.name,
        mean(run.cost for run in runs) / hours,
        mean(in_time),
        min(in_time),
        mean(after_loss),
        min(after_loss),
        min(
            run.slots_after_loss / max(1, run.urgent_slots_required_at_loss)
            for run in runs
        ),
        mean(recovery),
        max(recovery),
        mean(run.recomputed_s / max(1.0, run.served_s) for run in runs),
        mean(run.dropped for run in runs),
        mean(run.starts_refused for run in runs),
        mean(run.reclaimed_hosts for run in runs),
    )


def format_table(rows: Sequence[Row]) -> str:
    """Format the rows as a table."""
    column_names = [field.name for field in dataclasses.fields(Row)]
    cells = [column_names]
    cells += [
        [
            value if isinstance(value, str) else f'{value:.4g}'
            for value in dataclasses.astuple(row)
        ]
        for row in rows
    ]
    width = max(map(len, column_names))
    columns = list(zip(*cells, strict=True))
    return '\n'.join(
        f'{column[0]:<{width}} '
        + ' '.join(f'{cell:>14}' for cell in column[1:])
        for column in columns
    )


def main(argv: Sequence[str]) -> int:
    """Simulate all policies, print a table and optionally write JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--hours', type=float, default=6.0)
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument('--json', type=pathlib.Path)
    options = parser.parse_args(argv)
    with futures.ProcessPoolExecutor(options.processes) as pool:
        runs_by_policy = [
            [
                pool.submit(run_policy, index, seed, options.hours)
                for seed in range(1, options.seeds + 1)
            ]
            for index in range(len(POLICIES))
        ]
        rows = [
            summarise(policy, options.hours, [run.result() for run in runs])
            for policy, runs in zip(POLICIES, runs_by_policy, strict=True)
        ]
    print(f'{options.seeds} seeds, {options.hours:g} hours each')
    print(format_table(rows))
    if options.json is not None:
        options.json.write_bytes(
            orjson.dumps(
                [
                    {
                        name: None if value == math.inf else value
                        for name, value in dataclasses.asdict(row).items()
                    }
                    for row in rows
                ],
                option=orjson.OPT_INDENT_2,
            )
        )
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
