"""Experiments: one registry and one report format."""

from hillfield.experiments.plots import draw_report
from hillfield.experiments.processes import Processes, Program
from hillfield.experiments.registry import (
    Experiment,
    Options,
    Registry,
    conduct,
)
from hillfield.experiments.report_texts import encode_report, show_report
from hillfield.experiments.reports import (
    Chart,
    Check,
    Condition,
    Report,
    Series,
    Table,
)

__all__ = (
    'Chart',
    'Check',
    'Condition',
    'Experiment',
    'Options',
    'Processes',
    'Program',
    'Registry',
    'Report',
    'Series',
    'Table',
    'conduct',
    'draw_report',
    'encode_report',
    'show_report',
)
