"""Fits, spreads and tables for capacity figures; pure."""

import dataclasses
from typing import Any, Iterable, Sequence

import numpy as np


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Median and extremes of repeated runs, in the unit of the values."""

    median: float
    low: float
    high: float
    runs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Straight line `constant + slope * size`.

    Attributes
    ----------
    slope : float
        Unit of the value for each unit of the size.
    residual : float
        Largest distance of a value from the line, as a share of the largest
        value. A high one says that the line does not describe the values.
    largest_size : float
        Above it, the line is an extrapolation.
    """

    slope: float
    constant: float
    residual: float
    largest_size: float

    def at(self, size: float) -> float:
        """Value of the line at a size."""
        return self.constant + self.slope * size


def spread(values: Iterable[float]) -> Spread:
    """Summarize repeated runs.

    Raises
    ------
    ValueError
        There are no values.
    """
    ordered = np.sort(np.asarray(list(values), dtype=float))
    if not ordered.size:
        raise ValueError('no runs to summarize')
    return Spread(
        float(np.median(ordered)),
        float(ordered[0]),
        float(ordered[-1]),
        int(ordered.size),
    )


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes, values : sequence of float, shape (n,)

    Raises
    ------
    ValueError
        There are fewer than two different sizes, or a value is not finite.
    """
    x = np.asarray(sizes, dtype=float)
    y = np.asarray(values, dtype=float)
    if x.shape != y.shape or np.unique(x).size < 2:
        raise ValueError('a line needs values at two different sizes')
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise ValueError('a size or a value is not finite')
    slope, constant = np.polyfit(x, y, 1)
    largest = float(np.abs(y).max())
    off = float(np.abs(y - (constant + slope * x)).max())
    return Fit(
        float(slope),
        float(constant),
        off / largest if largest else 0.0,
        float(x.max()),
    )


def growth_exponent(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Exponent `k` where the values grow as `size ** k`.

    Raises
    ------
    ValueError
        A size or a value is not above 0.
    """
    if min(*sizes, *values) <= 0:
        raise ValueError('sizes and values have to be above 0')
    return fit_line(
        [float(item) for item in np.log(sizes)],
        [float(item) for item in np.log(values)],
    ).slope


def solve_costs(
    counts: Sequence[Sequence[float]], totals: Sequence[float]
) -> tuple[float, ...]:
    """Split totals into costs of each kind of item by least squares.

    Parameters
    ----------
    counts : sequence, shape (runs, kinds)
        Items of each kind in each run.
    totals : sequence of float, shape (runs,)

    Raises
    ------
    ValueError
        The runs do not separate the kinds.
    """
    matrix = np.asarray(counts, dtype=float)
    costs, _, rank, _ = np.linalg.lstsq(matrix, np.asarray(totals), rcond=None)
    if rank < matrix.shape[1]:
        raise ValueError('the runs do not separate the kinds of item')
    return tuple(float(cost) for cost in costs)


def markdown_table(
    headers: Sequence[str], rows: Iterable[Sequence[Any]]
) -> str:
    """Render rows as a Markdown table; numbers get three digits.

    Raises
    ------
    ValueError
        A row has another length than the headers.
    """
    lines = [headers, ['---'] * len(headers)]
    for row in rows:
        if len(row) != len(headers):
            raise ValueError(f'{len(row)} cells under {len(headers)} headers')
        lines.append([_cell(value) for value in row])
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def _cell(value: Any) -> str:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return str(value).replace('|', '\\|')
    if value == int(value) and abs(value) < 1e15:
        return f'{int(value):,}'
    if abs(value) >= 1000:
        return f'{value:,.0f}'
    return f'{value:.3g}'
