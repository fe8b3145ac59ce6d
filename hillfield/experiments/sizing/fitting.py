"""Show fitted lines in reports."""

from typing import Final

from hillfield.experiments.report_texts import show_cell
from hillfield.experiments.reports import Cell
from hillfield.experiments.sizing.fits import Fit

SLOPE_COLUMNS: Final = (
    'figure',
    'unit',
    'over',
    'base',
    'slope',
    'residual',
    'sizes',
)


def show_fit(line: Fit) -> tuple[Cell, ...]:
    """Return the row of a slope."""
    sizes = ' '.join(show_cell(size) for size, _ in line.points)
    names = (line.name, line.unit, line.over)
    amounts = (line.base, line.slope, line.residual)
    return (*names, *amounts, sizes)
