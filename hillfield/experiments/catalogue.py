"""All experiments that `hillfield experiment` knows."""

from hillfield.experiments import control, detection, latency
from hillfield.experiments.gray.catalogue import register_gray
from hillfield.experiments.overload.catalogue import register_overload
from hillfield.experiments.registry import Registry
from hillfield.experiments.repair import measure as measure_repair
from hillfield.experiments.sizing.catalogue import register_sizing


def make_registry() -> Registry:
    """Return a registry with every experiment."""
    registry = Registry()
    registry.register(
        'latency',
        'Milliseconds that a node adds to direct calls, and its capacity.',
        latency.measure,
    )
    registry.register(
        'control',
        'Processor and memory of nodes without requests.',
        control.measure,
    )
    registry.register(
        'detection',
        'Seconds that a failing target keeps receiving traffic.',
        detection.measure_detection,
    )
    registry.register(
        'false-ejections',
        'Healthy targets that are taken out of service.',
        detection.measure_false_ejections,
    )
    register_gray(registry)
    register_overload(registry)
    registry.register(
        'repair',
        'What must always hold while things break, and how all comes back.',
        measure_repair,
    )
    register_sizing(registry)
    return registry
