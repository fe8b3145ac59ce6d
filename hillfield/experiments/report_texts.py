"""Reports as text for people and as JSON for programs."""

from itertools import chain
from typing import Final

import msgspec
from msgspec.structs import replace

from hillfield.experiments.reports import Cell, Check, Report, Table

PRECISION: Final = '.4g'
GAP: Final = '  '


def show_report(report: Report) -> str:
    """Return the report as text for people."""
    head = f'{report.experiment}: {report.started}, {report.seconds:.0f} s'
    sections = (
        (head,),
        (f'{each.name}: {each.setting}' for each in report.conditions),
        chain.from_iterable(map(show_table, report.tables)),
        map(_show_check, report.checks),
        report.notes,
        (f'drawn: {plot}' for plot in report.plots),
    )
    return '\n'.join(chain.from_iterable(sections))


def show_table(table: Table) -> tuple[str, ...]:
    """Return a title and aligned lines.

    >>> show_table(Table('t', ('kind', 'p50 ms'), (('slow', 1.25),)))
    ('', 't', 'kind  p50 ms', 'slow  1.25  ')
    """
    shown = [tuple(map(show_cell, row)) for row in table.rows]
    lines = (table.columns, *shown)
    widths = _find_widths(lines)
    return ('', table.title, *(_align(line, widths) for line in lines))


def show_cell(cell: Cell) -> str:
    """Return a cell with four significant digits.

    >>> show_cell(1.23456), show_cell(3), show_cell('a')
    ('1.235', '3', 'a')
    """
    if isinstance(cell, float):
        return format(cell, PRECISION)
    return str(cell)


def encode_report(report: Report) -> str:
    """Return the report as JSON, without the charts' points."""
    return msgspec.json.encode(replace(report, charts=())).decode()


def _find_widths(lines: tuple[tuple[str, ...], ...]) -> list[int]:
    columns = zip(*lines, strict=True)
    return [max(map(len, column)) for column in columns]


def _align(line: tuple[str, ...], widths: list[int]) -> str:
    pairs = zip(line, widths, strict=True)
    return GAP.join(text.ljust(width) for text, width in pairs)


def _show_check(check: Check) -> str:
    verdict = 'held  ' if check.held else 'BROKEN'
    return f'{verdict} {check.name}: {check.detail}'
