"""Measurements of the request path, with each component in its own process."""

from hillfield.proxy.measurement.latency import (
    AddedLatency,
    LatencyMeasurement,
    LatencyPlan,
    measure_latency,
)
from hillfield.proxy.measurement.streaming import (
    StreamingMeasurement,
    measure_streaming,
)

__all__ = (
    'AddedLatency',
    'LatencyMeasurement',
    'LatencyPlan',
    'StreamingMeasurement',
    'measure_latency',
    'measure_streaming',
)
