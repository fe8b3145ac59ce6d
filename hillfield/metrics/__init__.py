"""Metrics of a node, for Prometheus."""

from hillfield.metrics.node import NodeMetrics
from hillfield.metrics.readings import (
    LimitReading,
    LinkReading,
    NodeReading,
    ReadingSource,
    RepeatsReading,
    TargetCount,
)

__all__ = (
    'LimitReading',
    'LinkReading',
    'NodeMetrics',
    'NodeReading',
    'ReadingSource',
    'RepeatsReading',
    'TargetCount',
)
