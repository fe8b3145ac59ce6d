"""Tables of the capacity page in Markdown."""

from collections.abc import Iterable, Iterator
from typing import Final

from hillfield.experiments.report_texts import show_cell
from hillfield.experiments.sizing.amounts import COLUMNS, Amount, Budget
from hillfield.experiments.sizing.records import Records

BOUND_COLUMNS: Final = ('what', 'needed', 'bound', 'bound / needed', '')
RUN_COLUMNS: Final = ('command', 'started', 'conditions')
HELD: Final = 'held'
LEAST: Final = 0.001
OVER: Final = '**over**'


def render_bounds(budgets: Iterable[Budget]) -> str:
    """Return one table of all bounds and how far they are."""
    rows = (row for budget in budgets for row in _list_bounds(budget))
    return '\n'.join(('### Bounds', '', *_render_rows(BOUND_COLUMNS, rows)))


def render_budget(budget: Budget) -> str:
    """Return the table of one budget."""
    rows = (each.as_row() for each in budget.amounts)
    return '\n'.join((f'### {budget.title}', '', *_render_rows(COLUMNS, rows)))


def render_runs(records: Records) -> str:
    """Return the table of runs that the figures come from."""
    rows = (
        (f'`{run.command}`', run.started, '; '.join(run.conditions))
        for _, run in sorted(records.runs.items())
    )
    return '\n'.join(('### Runs', '', *_render_rows(RUN_COLUMNS, rows)))


def _list_bounds(budget: Budget) -> Iterator[tuple[str, ...]]:
    for amount in budget.bounded:
        yield _show_bound(budget, amount)


def _show_bound(budget: Budget, amount: Amount) -> tuple[str, ...]:
    part = amount.part.strip('*')
    margin = budget.bound / max(amount.amount, LEAST)
    verdict = HELD if margin >= 1 else OVER
    return (
        f'{budget.title}: {part}',
        show_cell(float(amount.amount)),
        show_cell(float(budget.bound)),
        show_cell(margin),
        verdict,
    )


def _render_rows(
    columns: tuple[str, ...],
    rows: Iterable[tuple[str, ...]],
) -> Iterator[str]:
    yield _render_row(columns)
    yield _render_row(('---',) * len(columns))
    yield from map(_render_row, rows)


def _render_row(cells: tuple[str, ...]) -> str:
    inner = ' | '.join(cells)
    return f'| {inner} |'
