"""Counters and gauges as Prometheus reads them."""

from typing import Any

from prometheus_client import generate_latest

from hillfield.metrics import (
    LimitReading,
    LinkReading,
    NodeMetrics,
    NodeReading,
    TargetCount,
)
from hillfield.model import Outcome

READING = NodeReading(
    targets=(TargetCount('search', 'ready', 3),),
    links=(LinkReading('n2', is_up=True, queued=7),),
    limits=(LimitReading('search', 2, 5.4),),
    members=4,
    configuration_revision=12,
    configuration_age=1.5,
)


class FixedSource:
    def read_metrics(self) -> NodeReading:
        return READING


def read_sample(metrics: NodeMetrics, name: str, **labels: Any) -> float | None:
    return metrics.registry.get_sample_value(name, labels)


def test_counts_by_labels():
    metrics = NodeMetrics()
    for outcome in (Outcome.ANSWERED, Outcome.ANSWERED, Outcome.NOT_RUN):
        metrics.record_request('search', outcome)
    metrics.record_retry('shed')
    metrics.record_refusal('queue-full')
    metrics.record_decision('search', 'ejected')
    metrics.record_store_calls('swap', 'ok', 1)
    metrics.record_sent(10)
    metrics.record_received(20)
    for name, labels, expected in (
        ('requests', {'service': 'search', 'outcome': 'answered'}, 2),
        ('requests', {'service': 'search', 'outcome': 'not-run'}, 1),
        ('retries', {'reason': 'shed'}, 1),
        ('refusals', {'reason': 'queue-full'}, 1),
        ('decisions', {'service': 'search', 'kind': 'ejected'}, 1),
        ('store_calls', {'kind': 'swap', 'end': 'ok'}, 1),
        ('link_bytes', {'direction': 'sent'}, 10),
        ('link_bytes', {'direction': 'received'}, 20),
    ):
        found = read_sample(metrics, f'hillfield_{name}_total', **labels)
        assert found == expected, name


def test_added_latency_is_counted_in_the_bucket_of_its_limit():
    metrics = NodeMetrics()
    for seconds in (0.0015, 0.0017):
        metrics.record_added_latency(seconds)
    assert (
        read_sample(metrics, 'hillfield_added_seconds_bucket', le='0.0016') == 1
    )
    assert read_sample(metrics, 'hillfield_added_seconds_count') == 2


def test_reads_gauges_at_each_scrape():
    metrics = NodeMetrics()
    metrics.watch(FixedSource())
    text = b''.join(metrics.render()).decode()
    for line in (
        'hillfield_targets{service="search",state="ready"} 3.0',
        'hillfield_link_up{peer="n2"} 1.0',
        'hillfield_link_queued_bytes{peer="n2"} 7.0',
        'hillfield_members 4.0',
        'hillfield_configuration_revision 12.0',
        'hillfield_configuration_age 1.5',
    ):
        assert f'\n{line}\n' in text


def test_two_nodes_in_one_process_do_not_share_counts():
    one, other = NodeMetrics(), NodeMetrics()
    one.record_retry('shed')
    assert read_sample(other, 'hillfield_retries_total', reason='shed') is None


def test_joined_pieces_equal_the_output_of_the_library():
    metrics = NodeMetrics()
    for number in range(100):
        metrics.record_decision(f'service-{number}', 'ejected')
    metrics.record_added_latency(0.001)
    metrics.watch(FixedSource())
    pieces = [piece for piece in metrics.render() if b'process_' not in piece]
    whole = generate_latest(metrics.registry).splitlines()
    plain = [line for line in whole if b'process_' not in line]
    assert b''.join(pieces).splitlines() == plain
    assert max(piece.count(b'\n') for piece in pieces) <= 34


def test_limits_that_targets_name_are_gauges():
    metrics = NodeMetrics()
    metrics.watch(FixedSource())
    for name, expected in (('limited_targets', 2), ('limited_rate', 5.4)):
        found = read_sample(metrics, f'hillfield_{name}', service='search')
        assert found == expected
