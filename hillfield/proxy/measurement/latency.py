"""Added latency and capacity of the request path."""

from statistics import median
from typing import Final

import msgspec

from hillfield.proxy.measurement.load import LoadSettings
from hillfield.proxy.measurement.processes import MeasurementProcess

BASE_RATE: Final = 122.0
_PER_SECOND: Final = 1000
_CAPACITY_CALLERS: Final = 32
_MEDIAN: Final = 0.5
_HIGH: Final = 0.99


class LatencyPlan(msgspec.Struct, frozen=True):
    """Plan of a measurement: factors of the base rate, seconds, repeats."""

    factors: tuple[float, ...] = (1, 2, 5)
    seconds: float = 6
    repeats: int = 3


class Quantiles(msgspec.Struct, frozen=True):
    """Quantiles in milliseconds."""

    p50: float
    p99: float


class AddedLatency(msgspec.Struct, frozen=True):
    """Latencies in milliseconds; `added` ones are medians over the repeats."""

    rate: float
    requests: int
    direct_p50: float
    direct_p99: float
    added_p50: float
    added_p99: float


class LatencyMeasurement(msgspec.Struct, frozen=True):
    """Added latency per rate, and requests per second and core."""

    added: tuple[AddedLatency, ...]
    capacity_per_core: float
    node_memory: int


def measure_latency(plan: LatencyPlan) -> LatencyMeasurement:
    """Compare the node with direct calls, interleaved in each run."""
    with MeasurementProcess('target') as target:
        target_port = target.read_line()
        with MeasurementProcess('node', target_port) as node:
            ports = int(node.read_line()), int(target_port)
            _run(LoadSettings(ports, BASE_RATE, 1))
            added = tuple(
                _measure_rate(BASE_RATE * factor, ports, plan)
                for factor in plan.factors
            )
            before = node.ask_usage()
            requests = _run(
                LoadSettings(ports, 0, plan.seconds, _CAPACITY_CALLERS),
            )
            after = node.ask_usage()
    used = after.processor - before.processor
    return LatencyMeasurement(added, len(requests[0]) / used, after.memory)


def compute_quantiles(seconds: tuple[float, ...]) -> Quantiles:
    """Return quantiles in milliseconds of latencies in seconds.

    >>> compute_quantiles((0.003, 0.001, 0.002))
    Quantiles(p50=2.0, p99=3.0)
    """
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return Quantiles(
        _PER_SECOND * ordered[round(last * _MEDIAN)],
        _PER_SECOND * ordered[round(last * _HIGH)],
    )


def _measure_rate(
    rate: float,
    ports: tuple[int, int],
    plan: LatencyPlan,
) -> AddedLatency:
    direct: list[Quantiles] = []
    through_node: list[Quantiles] = []
    requests = 0
    for repeat in range(plan.repeats):
        node, target = _run(
            LoadSettings(ports, rate, plan.seconds, seed=repeat),
        )
        requests += len(node)
        through_node.append(compute_quantiles(node))
        direct.append(compute_quantiles(target))
    pairs = tuple(zip(through_node, direct, strict=True))
    return AddedLatency(
        rate,
        requests,
        median(run.p50 for run in direct),
        median(run.p99 for run in direct),
        median(node_run.p50 - direct_run.p50 for node_run, direct_run in pairs),
        median(node_run.p99 - direct_run.p99 for node_run, direct_run in pairs),
    )


def _run(settings: LoadSettings) -> tuple[tuple[float, ...], ...]:
    with MeasurementProcess(
        'load',
        msgspec.json.encode(settings).decode(),
    ) as load:
        return msgspec.json.decode(
            load.read_line(),
            type=tuple[tuple[float, ...], ...],
        )
