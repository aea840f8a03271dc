"""Runs scenarios with several seeds and baselines, and writes reports."""

import argparse
from concurrent import futures
import itertools
import pathlib
import sys
from typing import Sequence

import pydantic
import yaml

from . import baselines
from . import figures
from . import report
from . import scenario as scenarios
from . import simulation

DEFAULT_SEEDS = 5
DEFAULT_OUT = pathlib.Path('results/bench')
MAX_PROCESSES = 16


def run_once(
    scenario: scenarios.Scenario, policy: baselines.Policy, seed: int
) -> dict[str, float]:
    """Run a scenario with one seed and return its figures by name."""
    return figures.all_figures(
        simulation.Simulation(scenario, policy, seed).execute()
    )


def run_scenario(
    scenario: scenarios.Scenario,
    seeds: int,
    executor: futures.Executor,
) -> dict[str, dict[str, list[float]]]:
    """Run the policy and all baselines with the same arrivals.

    Returns
    -------
    dict
        Values by label of the run and name of the figure, one per seed.
    """
    cases = [(baselines.POLICY, scenario, baselines.POLICIES['policy'])]
    if scenario.without_accounts:
        label = without_label(scenario)
        other = scenario.without(scenario.without_accounts)
        cases.append((label, other, baselines.POLICIES['policy']))
    cases += [
        (name, scenario, baselines.POLICIES[name])
        for name in scenario.baselines
    ]
    pending = {
        label: [
            executor.submit(run_once, case, policy, seed)
            for seed in range(1, seeds + 1)
        ]
        for label, case, policy in cases
    }
    values: dict[str, dict[str, list[float]]] = {}
    for label, results in pending.items():
        runs = [result.result() for result in results]
        names = dict.fromkeys(itertools.chain.from_iterable(runs))
        values[label] = {
            name: [run[name] for run in runs if name in run] for name in names
        }
    return values


def without_label(scenario: scenarios.Scenario) -> str:
    """Label of the run without `without_accounts`."""
    return 'policy without ' + ', '.join(scenario.without_accounts)


def main(argv: Sequence[str]) -> int:
    """Run `hornbeamrudder bench`.

    Returns
    -------
    int
        0 if all targets are met, 1 if one is missed, 2 if a scenario is
        invalid.
    """
    parser = argparse.ArgumentParser(
        prog='hornbeamrudder bench',
        description='Compare the policy with baselines in virtual time.',
    )
    parser.add_argument('scenarios', nargs='+', type=pathlib.Path)
    parser.add_argument('--seeds', type=int, default=DEFAULT_SEEDS)
    parser.add_argument('--out', type=pathlib.Path, default=DEFAULT_OUT)
    parser.add_argument(
        '--processes', type=int, default=1, choices=range(1, MAX_PROCESSES + 1)
    )
    arguments = parser.parse_args(argv)
    loaded = []
    for path in arguments.scenarios:
        try:
            scenario = scenarios.load_scenario(path)
        except (OSError, yaml.YAMLError, pydantic.ValidationError) as error:
            print(f'{path}: {error}', file=sys.stderr)
            return 2
        if unknown := set(scenario.baselines) - set(baselines.POLICIES):
            print(f'{path}: unknown baselines {unknown}', file=sys.stderr)
            return 2
        loaded.append(scenario)
    arguments.out.mkdir(parents=True, exist_ok=True)
    missed = 0
    with futures.ProcessPoolExecutor(arguments.processes) as executor:
        for scenario in loaded:
            values = run_scenario(scenario, arguments.seeds, executor)
            missed += _report(scenario, values, arguments.seeds, arguments.out)
    return 1 if missed else 0


def _report(
    scenario: scenarios.Scenario,
    values: report.Values,
    seeds: int,
    out: pathlib.Path,
) -> int:
    results = report.check_targets(scenario.targets, values, baselines.POLICY)
    names = scenario.figures or tuple(values[baselines.POLICY])
    print(f'\n## {scenario.name}: {scenario.about}')
    print(f'Median [lowest, highest] over {seeds} seeds.\n')
    print(report.table(values, names))
    print()
    print(report.target_lines(results), flush=True)
    report.write_json(out / f'{scenario.name}.json', scenario, values, results)
    report.write_plot(
        out / f'{scenario.name}.png', scenario.name, values, names
    )
    return sum(not result.met for result in results)
