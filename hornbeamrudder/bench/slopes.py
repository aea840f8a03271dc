"""Line fits, medians and tables of capacity figures; performs no I/O."""

import dataclasses
from typing import Any, Iterable, Sequence

import numpy as np


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Median, minimum and maximum of repeated runs, in the values' unit."""

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
        Change of the value per unit of size.
    residual : float
        Largest absolute deviation from the line, as a fraction of the
        largest value. A high residual means that the relation is not linear.
    largest_size : float
        Largest fitted size; the line is an extrapolation above it.
    """

    slope: float
    constant: float
    residual: float
    largest_size: float

    def at(self, size: float) -> float:
        """Evaluate the line at a size."""
        return self.constant + self.slope * size


def spread(values: Iterable[float]) -> Spread:
    """Calculate the median and range of repeated runs.

    Raises
    ------
    ValueError
        `values` is empty.
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
    """Fit a line by the method of least squares.

    Parameters
    ----------
    sizes, values : sequence of float, shape (n,)

    Raises
    ------
    ValueError
        There are fewer than two distinct sizes, or a value is not finite.
    """
    x = np.asarray(sizes, dtype=float)
    y = np.asarray(values, dtype=float)
    if x.shape != y.shape or np.unique(x).size < 2:
        raise ValueError('a line fit needs values at two distinct sizes')
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise ValueError('a size or a value is not finite')
    slope, constant = np.polyfit(x, y, 1)
    largest = float(np.abs(y).max())
    largest_error = float(np.abs(y - (constant + slope * x)).max())
    return Fit(
        float(slope),
        float(constant),
        largest_error / largest if largest else 0.0,
        float(x.max()),
    )


def growth_exponent(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Fit the exponent `k` of values that grow as `size ** k`.

    Raises
    ------
    ValueError
        A size or a value is not positive.
    """
    if min(*sizes, *values) <= 0:
        raise ValueError('sizes and values must be positive')
    return fit_line(
        [float(item) for item in np.log(sizes)],
        [float(item) for item in np.log(values)],
    ).slope


def solve_costs(
    counts: Sequence[Sequence[float]], totals: Sequence[float]
) -> tuple[float, ...]:
    """Estimate the cost of each kind of item by least squares.

    Parameters
    ----------
    counts : sequence, shape (runs, kinds)
        Number of items of each kind in each run.
    totals : sequence of float, shape (runs,)

    Raises
    ------
    ValueError
        The counts of the kinds are linearly dependent.
    """
    matrix = np.asarray(counts, dtype=float)
    costs, _, rank, _ = np.linalg.lstsq(matrix, np.asarray(totals), rcond=None)
    if rank < matrix.shape[1]:
        raise ValueError('the item counts of the runs are linearly dependent')
    return tuple(float(cost) for cost in costs)


def markdown_table(
    headers: Sequence[str], rows: Iterable[Sequence[Any]]
) -> str:
    """Render a Markdown table; numbers have three significant digits.

    Raises
    ------
    ValueError
        The length of a row differs from that of the headers.
    """
    lines = [headers, ['---'] * len(headers)]
    for row in rows:
        if len(row) != len(headers):
            raise ValueError(
                f'row has {len(row)} cells for {len(headers)} headers'
            )
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
