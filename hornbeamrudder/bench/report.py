"""Reports of medians and ranges over seeds: table, JSON file and plot."""

import dataclasses
import json
import math
import pathlib
from typing import Mapping, Sequence

import numpy

from . import scenario as scenarios

MAX_PLOTTED_FIGURES = 8

# Values by label of the run and name of the figure, one per seed.
Values = Mapping[str, Mapping[str, Sequence[float]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Median, minimum and maximum over the seeds."""

    median: float
    lowest: float
    highest: float

    def __str__(self) -> str:
        if math.isnan(self.median):
            return '-'
        return f'{self.median:.3g} [{self.lowest:.3g}, {self.highest:.3g}]'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetResult:
    """A target and the measured figure of the policy."""

    target: scenarios.Target
    measured: Summary
    met: bool


def summarise(values: Sequence[float]) -> Summary:
    """Summarise the values of one figure, ignoring NaN."""
    present = [value for value in values if not math.isnan(value)]
    if not present:
        return Summary(math.nan, math.nan, math.nan)
    return Summary(float(numpy.median(present)), min(present), max(present))


def check_targets(
    targets: Sequence[scenarios.Target], values: Values, label: str
) -> tuple[TargetResult, ...]:
    """Compare the medians of the run `label` with the targets.

    A target with a missing figure is not met.
    """
    return tuple(_check(target, values, label) for target in targets)


def _check(
    target: scenarios.Target, values: Values, label: str
) -> TargetResult:
    measured = list(values[label].get(target.figure, ()))
    if target.relative_to:
        reference = values[target.relative_to].get(target.figure, ())
        measured = [value / other for value, other in zip(measured, reference)]
    summary = summarise(measured)
    met = target.at_least <= summary.median <= target.at_most
    return TargetResult(target, summary, met)


def table(values: Values, figures: Sequence[str]) -> str:
    """Render a Markdown table with one row per run."""
    rows = [['run', *figures]]
    for label, values_by_figure in values.items():
        cells = [
            str(summarise(values_by_figure.get(figure, ())))
            for figure in figures
        ]
        rows.append([label, *cells])
    widths = [max(map(len, column)) for column in zip(*rows)]
    rows.insert(1, ['-' * width for width in widths])
    return '\n'.join(
        '| '
        + ' | '.join(cell.ljust(width) for cell, width in zip(row, widths))
        + ' |'
        for row in rows
    )


def target_lines(results: Sequence[TargetResult]) -> str:
    """Render a Markdown list with one line per target."""
    lines = []
    for result in results:
        target = result.target
        bounds = []
        if math.isfinite(target.at_least):
            bounds.append(f'at least {target.at_least:g}')
        if math.isfinite(target.at_most):
            bounds.append(f'at most {target.at_most:g}')
        relative = f' relative to {target.relative_to}'
        lines.append(
            f'- {target.figure}{relative if target.relative_to else ""}:'
            f' {" and ".join(bounds)}; measured {result.measured}:'
            f' {"met" if result.met else "MISSED"}'
        )
    return '\n'.join(lines)


def write_json(
    path: pathlib.Path,
    scenario: scenarios.Scenario,
    values: Values,
    results: Sequence[TargetResult],
) -> None:
    """Write the scenario, the values of all seeds and the targets as JSON."""
    content = {
        'scenario': scenario.model_dump(mode='json'),
        'values': {
            label: {
                name: [_finite_or_none(value) for value in values_by_seed]
                for name, values_by_seed in values_by_figure.items()
            }
            for label, values_by_figure in values.items()
        },
        'targets': [
            {
                'figure': result.target.figure,
                'relative_to': result.target.relative_to,
                'at_least': _finite_or_none(result.target.at_least),
                'at_most': _finite_or_none(result.target.at_most),
                'median': _finite_or_none(result.measured.median),
                'met': result.met,
            }
            for result in results
        ],
    }
    path.write_text(json.dumps(content, indent=1) + '\n')


def write_plot(
    path: pathlib.Path, title: str, values: Values, figures: Sequence[str]
) -> None:
    """Draw the medians and ranges over the seeds, one panel per figure."""
    # Importing matplotlib takes about 1 s, which other commands avoid.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    labels = list(values)
    plotted = figures[:MAX_PLOTTED_FIGURES]
    panels, axes = pyplot.subplots(
        1, len(plotted), figsize=(2.4 * len(plotted), 4), squeeze=False
    )
    for axis, figure in zip(axes[0], plotted):
        summaries = [
            summarise(values[label].get(figure, ())) for label in labels
        ]
        medians = [item.median for item in summaries]
        below = [item.median - item.lowest for item in summaries]
        above = [item.highest - item.median for item in summaries]
        axis.errorbar(
            medians, range(len(labels)), xerr=[below, above], fmt='o'
        )
        axis.set_title(figure, fontsize=8)
        axis.set_yticks(range(len(labels)))
        axis.set_yticklabels(labels if axis is axes[0][0] else [])
        axis.invert_yaxis()
        axis.tick_params(labelsize=7)
    panels.suptitle(title)
    panels.tight_layout()
    panels.savefig(path)
    pyplot.close(panels)


def _finite_or_none(value: float) -> float | None:
    return value if math.isfinite(value) else None
