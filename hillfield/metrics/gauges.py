"""Gauges that are read from the node at each scrape.

Nothing is stored per series, so services and targets that no longer exist use
no memory.
"""

from collections.abc import Iterator
from typing import Final

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from hillfield.metrics.readings import (
    LimitReading,
    LinkReading,
    NodeReading,
    ReadingSource,
    RepeatsReading,
    TargetCount,
)

# Label of most families.
SERVICE: Final = 'service'
UNLABELLED_GAUGES: Final = (
    ('members', 'Live nodes as seen by this node.'),
    ('configuration_revision', 'Newest revision in force at this node.'),
    ('configuration_age', 'Seconds since that revision was adopted.'),
    (
        'configuration_unconfirmed',
        'Seconds since a reachable node last confirmed the entries in the store.',
    ),
    ('timeline_events', 'Events kept in the time line.'),
    ('connections', 'Open connections of callers.'),
    ('in_flight', 'Requests in flight.'),
    ('queued', 'Requests that wait for a slot.'),
)


class ReadingCollector(Collector):
    """Convert a node's reading to metric families."""

    def __init__(self, source: ReadingSource) -> None:
        """Read from this source at each scrape."""
        self._source = source

    def collect(self) -> Iterator[Metric]:
        """Yield the families of one reading."""
        reading = self._source.read_metrics()
        yield from _make_unlabelled(reading)
        yield _make_targets(reading.targets)
        yield from _make_links(reading.links)
        yield from _make_limits(reading.limits)
        yield _make_repeats(reading.repeats)

    def describe(self) -> list[Metric]:
        """Return nothing; names are checked when metrics are collected."""
        return []


def _make_unlabelled(reading: NodeReading) -> Iterator[Metric]:
    for name, help_text in UNLABELLED_GAUGES:
        number = float(getattr(reading, name))
        yield GaugeMetricFamily(f'hillfield_{name}', help_text, number)


def _make_targets(counts: tuple[TargetCount, ...]) -> Metric:
    family = GaugeMetricFamily(
        'hillfield_targets',
        'Targets by service and state as seen by this node.',
        labels=(SERVICE, 'state'),
    )
    for each in counts:
        family.add_metric((each.service, each.state), each.count)
    return family


def _make_links(links: tuple[LinkReading, ...]) -> Iterator[Metric]:
    states = GaugeMetricFamily(
        'hillfield_link_up',
        'Whether the link to a peer is up (1) or not (0).',
        labels=('peer',),
    )
    queues = GaugeMetricFamily(
        'hillfield_link_queued_bytes',
        'Bytes that wait to be sent to a peer.',
        labels=('peer',),
    )
    for link in links:
        states.add_metric((link.peer,), int(link.is_up))
        queues.add_metric((link.peer,), link.queued)
    yield states
    yield queues


def _make_repeats(readings: tuple[RepeatsReading, ...]) -> Metric:
    family = GaugeMetricFamily(
        'hillfield_repeats_left',
        "What a service's gates have left of the fleet's bound on repeats, on "
        'average and in parts of the slack; at 0 the bound is used up.',
        labels=(SERVICE,),
    )
    for reading in readings:
        family.add_metric((reading.service,), reading.left)
    return family


def _make_limits(limits: tuple[LimitReading, ...]) -> Iterator[Metric]:
    targets = GaugeMetricFamily(
        'hillfield_limited_targets',
        'Targets that name a rate limit.',
        labels=(SERVICE,),
    )
    rates = GaugeMetricFamily(
        'hillfield_limited_rate',
        'Sum of the rate limits of these targets, in requests a second.',
        labels=(SERVICE,),
    )
    for limit in limits:
        targets.add_metric((limit.service,), limit.targets)
        rates.add_metric((limit.service,), limit.rate)
    yield targets
    yield rates
