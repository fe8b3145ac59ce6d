"""Experiment `capacity`: the capacity page's tables, from recorded figures."""

from typing import Final

from hillfield.experiments.registry import Options
from hillfield.experiments.report_texts import show_cell
from hillfield.experiments.reports import Check, Condition, Report, Table
from hillfield.experiments.sizing import design
from hillfield.experiments.sizing.amounts import COLUMNS, Budget
from hillfield.experiments.sizing.budgets import (
    budget_bytes,
    budget_memory,
    budget_processor,
)
from hillfield.experiments.sizing.occurrences import (
    budget_events,
    budget_times,
)
from hillfield.experiments.sizing.pages import (
    render_bounds,
    render_budget,
    render_runs,
)
from hillfield.experiments.sizing.records import Records, read_records
from hillfield.experiments.sizing.storebudget import READS, WRITES, budget_store

BEGIN: Final = '<!-- tables: written by bin/record_slopes.py -->'
END: Final = '<!-- end of tables -->'
TENFOLD: Final = 10


def measure(options: Options) -> Report:
    """Work the tables out; nothing is run."""
    records = read_records()
    budgets = list_budgets(records)
    return Report(
        'capacity',
        conditions=tuple(
            Condition(run.command, run.started) for run in records.runs.values()
        ),
        tables=tuple(map(_make_table, budgets)),
        checks=tuple(_judge(budget) for budget in budgets if budget.bounded),
    )


def list_budgets(records: Records) -> tuple[Budget, ...]:
    """Return all tables in the page's order."""
    makers = (
        budget_processor,
        budget_memory,
        budget_bytes,
        budget_events,
        budget_times,
    )
    sizes = (design.NODES, design.NODES * TENFOLD)
    return (
        *(make(records) for make in makers),
        *(
            budget_store(records, nodes, kind)
            for nodes in sizes
            for kind in (WRITES, READS)
        ),
    )


def render_tables(records: Records) -> str:
    """Return the tables in Markdown, the bounds first."""
    budgets = list_budgets(records)
    return '\n\n'.join(
        (
            render_bounds(budgets),
            *map(render_budget, budgets),
            render_runs(records),
        ),
    )


def replace_tables(page: str, records: Records) -> str:
    """Return the page with its tables written anew."""
    head, _, rest = page.partition(BEGIN)
    tail = rest.partition(END)[2]
    tables = render_tables(records)
    return f'{head}{BEGIN}\n\n{tables}\n\n{END}{tail}'


def _make_table(budget: Budget) -> Table:
    rows = tuple(each.as_row() for each in budget.amounts)
    return Table(budget.title, COLUMNS, rows)


def _judge(budget: Budget) -> Check:
    worst = max(each.amount for each in budget.bounded)
    bound = show_cell(budget.bound)
    name = f'{budget.title}: at most {bound}'
    return Check(name, budget.held, show_cell(worst))
