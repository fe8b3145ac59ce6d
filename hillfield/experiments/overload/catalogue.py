"""Experiments on overload, on real nodes and on the decisions alone."""

from hillfield.experiments import decisions
from hillfield.experiments.calling import measure as calling
from hillfield.experiments.calling import needs
from hillfield.experiments.overload import (
    amplification,
    choice,
    goodput,
)
from hillfield.experiments.registry import Registry


def register_overload(registry: Registry) -> None:
    """Add all experiments on overload, retries and the cost of decisions."""
    registry.register(
        'overload',
        'Answers in time of real nodes up to three times the capacity.',
        goodput.measure,
    )
    registry.register(
        'overload-modelled',
        'The same of the decisions alone, in modelled time.',
        decisions.measure_goodput,
    )
    registry.register(
        'calling',
        'What callers get of services that call each other, in modelled time.',
        calling.measure,
    )
    registry.register(
        'limits',
        'What callers get while targets name how many requests they take.',
        needs.measure,
    )
    registry.register(
        'retries',
        'Requests that real nodes send when a whole service fails.',
        amplification.measure_retries,
    )
    registry.register(
        'retries-modelled',
        'The same of the decisions alone, in modelled time.',
        decisions.measure_retries,
    )
    registry.register(
        'decisions',
        "Microseconds of one request's decisions by number of targets.",
        choice.measure,
    )
