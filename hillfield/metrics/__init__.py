"""Metrics of a node, for Prometheus."""

from hillfield.metrics.node import NodeMetrics
from hillfield.metrics.readings import (
    LimitReading,
    LinkReading,
    NodeReading,
    ReadingSource,
    TargetCount,
)

__all__ = (
    'LimitReading',
    'LinkReading',
    'NodeMetrics',
    'NodeReading',
    'ReadingSource',
    'TargetCount',
)
