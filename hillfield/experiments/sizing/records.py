"""Measured figures as they are kept in `slopes.toml`, and read from there."""

import tomllib
from collections.abc import Iterator, Mapping
from importlib.resources import files
from itertools import chain, islice

import msgspec

from hillfield.experiments.report_texts import show_cell
from hillfield.experiments.reports import Cell, Report, Table

HEAD = (
    '# Measured figures; bin/record_slopes.py writes them from the reports of'
    ' experiments.'
)
# Its rows are the points that `slopes` are laid through.
POINTS = 'windows'


class Record(msgspec.Struct, frozen=True):
    """Hold the figures of one experiment's run; `started` is UTC."""

    command: str
    started: str
    conditions: tuple[str, ...]
    figures: Mapping[str, float]


class Records(msgspec.Struct, frozen=True):
    """Hold the latest run of each experiment."""

    runs: Mapping[str, Record]

    def find(self, experiment: str, figure: str) -> float:
        """Return a figure; a `KeyError` names one that isn't recorded."""
        return self.runs[experiment].figures[figure]

    def at(self, experiment: str, line: str, size: float) -> float:
        """Return the height of a recorded line."""
        base = self.find(experiment, f'{line}: base')
        return base + size * self.slope(experiment, line)

    def slope(self, experiment: str, line: str) -> float:
        """Return the slope of a recorded line."""
        return self.find(experiment, f'{line}: slope')


def read_records() -> Records:
    """Return the figures that this version of the code was measured with."""
    place = files('hillfield.experiments.sizing').joinpath('slopes.toml')
    tables = tomllib.loads(place.read_text('utf-8'))
    return Records(msgspec.convert(tables, dict[str, Record]))


def record_report(report: Report) -> Record:
    """Return the figures of a report."""
    tables = (table for table in report.tables if table.title != POINTS)
    return Record(
        f'hillfield experiment {report.experiment} --json',
        report.started,
        tuple(f'{each.name}: {each.setting}' for each in report.conditions),
        dict(chain.from_iterable(map(_list_figures, tables))),
    )


def render_records(records: Records) -> str:
    """Return the text of `slopes.toml`."""
    parts = (
        _render_record(name, record)
        for name, record in sorted(records.runs.items())
    )
    return '\n'.join((HEAD, *chain.from_iterable(parts), ''))


def _list_figures(table: Table) -> Iterator[tuple[str, float]]:
    for row in table.rows:
        yield from _name_cells(table.columns, row)


def _name_cells(
    columns: tuple[str, ...],
    row: tuple[Cell, ...],
) -> Iterator[tuple[str, float]]:
    named = zip(columns, row, strict=True)
    for column, cell in islice(named, 1, None):
        if not isinstance(cell, str):
            yield (f'{row[0]}: {column}', float(show_cell(cell)))


def _render_record(name: str, record: Record) -> tuple[str, ...]:
    conditions = (f'  "{each}",' for each in record.conditions)
    figures = record.figures.items()
    head = (
        f'\n[{name}]',
        f"command = '{record.command}'",
        f"started = '{record.started}'",
    )
    listed = (f'"{figure}" = {amount}' for figure, amount in figures)
    return (
        *head,
        'conditions = [',
        *conditions,
        f']\n\n[{name}.figures]',
        *listed,
    )
