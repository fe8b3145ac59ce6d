"""State charts that are read from files and interpreted."""

from hillfield.charts.charts import (
    BoundChart,
    Chart,
    parse_chart,
    read_chart,
)
from hillfield.charts.transitions import (
    BoundTransition,
    ChartError,
    MissingTransition,
    Transition,
)

__all__ = (
    'BoundChart',
    'BoundTransition',
    'Chart',
    'ChartError',
    'MissingTransition',
    'Transition',
    'parse_chart',
    'read_chart',
)
