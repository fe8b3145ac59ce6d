"""Measurements of the request path, with each component in its own process."""

from hillfield.proxy.measurement.latency import (
    AddedLatency,
    LatencyFindings,
    LatencyPlan,
    measure_latency,
)
from hillfield.proxy.measurement.streaming import (
    StreamingFindings,
    measure_streaming,
)

__all__ = (
    'AddedLatency',
    'LatencyFindings',
    'LatencyPlan',
    'StreamingFindings',
    'measure_latency',
    'measure_streaming',
)
