"""The one format in which experiments report."""

from msgspec import Struct

Cell = str | float | int


class Condition(Struct, frozen=True):
    """Name a condition that the figures depend on, such as a rate."""

    name: str
    setting: str


class Table(Struct, frozen=True):
    """Hold figures; units stand in the names of the columns."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


class Check(Struct, frozen=True):
    """Say whether a wanted bound held, and by which figure."""

    name: str
    held: bool
    detail: str


class Series(Struct, frozen=True):
    """Hold one line of a chart."""

    name: str
    points: tuple[tuple[float, float], ...]


class Chart(Struct, frozen=True):
    """Hold lines to look at; units stand in the names of the axes."""

    title: str
    across: str
    up: str
    series: tuple[Series, ...]
    logarithmic: bool = False


class Report(Struct, frozen=True):
    """Hold what an experiment measured.

    `started` is the time of day in UTC, `seconds` how long it took, `plots`
    the files that its charts were drawn into.
    """

    experiment: str
    conditions: tuple[Condition, ...] = ()
    tables: tuple[Table, ...] = ()
    checks: tuple[Check, ...] = ()
    charts: tuple[Chart, ...] = ()
    notes: tuple[str, ...] = ()
    started: str = ''
    seconds: float = 0
    plots: tuple[str, ...] = ()

    @property
    def held(self) -> bool:
        """Tell whether all wanted bounds held."""
        return all(check.held for check in self.checks)
