"""Measure what the configuration costs a node."""

import gc
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial
from itertools import chain, repeat
from statistics import median
from time import perf_counter
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.configuration.samples import Sample, SampleSize
from hillfield.configuration.serving.directory import DEFAULT_LIMIT
from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.serving.view import ConfigurationView

MICROSECONDS: Final = 1e6
REPEATS: Final = 10
CALLS: Final = 200
MANY: Final = 2000
# A step through the accounts such that none comes twice while it is decoded.
STRIDE: Final = 29


class ConfigurationSize(Struct, frozen=True):
    """Hold sizes in bytes.

    `stored` is the sum of all payloads, `held` what is allocated for the
    replica (payloads, templates, routes), `decoded` what the decoded
    accounts of a view add at most, `bucket` the mean payload of a bucket:
    what the change of one account moves.
    """

    stored: int
    held: int
    decoded: int
    bucket: int


class ConfigurationTimes(Struct, frozen=True):
    """Hold microseconds, each the median of some repeats.

    `resolve` is for an account that was used lately, `resolve_first` for
    one that is still compressed.
    """

    adopt_template: float
    adopt_bucket: float
    resolve: float
    resolve_first: float
    digest: float


def fill(replica: Replica, sample: Sample) -> None:
    """Adopt all entries of a sample."""
    for entry in chain(sample.make_templates(), sample.make_buckets()):
        replica.adopt(entry)
    replica.mark_complete()


def measure_size(size: SampleSize) -> ConfigurationSize:
    """Fill a replica and count what is allocated; takes some ten seconds."""
    sample = Sample(size)
    replica = Replica('sample')
    view = ConfigurationView(replica)
    tracemalloc.start()
    start = _read_allocated()
    fill(replica, sample)
    filled = _read_allocated()
    for number in range(DEFAULT_LIMIT):
        view.resolve(sample.make_head(number * STRIDE))
    decoded = _read_allocated()
    tracemalloc.stop()
    stored = sum(len(entry.payload) for entry in replica.entries())
    buckets = [len(entry.payload) for entry in sample.make_buckets()]
    return ConfigurationSize(
        stored=stored,
        held=filled - start,
        decoded=decoded - filled,
        bucket=sum(buckets) // len(buckets),
    )


def measure_times(size: SampleSize) -> ConfigurationTimes:
    """Fill a replica and time its calls."""
    sample = Sample(size)
    replica = Replica('sample')
    fill(replica, sample)
    view = ConfigurationView(replica)
    few = [sample.make_head(number) for number in range(CALLS)]
    many = [sample.make_head(number * STRIDE) for number in range(CALLS, MANY)]
    templates = list(sample.make_templates())
    buckets = list(sample.make_buckets())
    resolve_first = _time_each(partial(view.resolve, head) for head in many)
    return ConfigurationTimes(
        adopt_template=_time_adoption(replica, templates),
        adopt_bucket=_time_adoption(replica, buckets),
        resolve_first=resolve_first,
        resolve=_time_each(
            partial(view.resolve, head)
            for head in chain.from_iterable(repeat(few, REPEATS))
        ),
        digest=_time_each(repeat(replica.digest, CALLS)),
    )


def _time_adoption(replica: Replica, entries: list[Entry]) -> float:
    later = replica.digest().newest + 1
    newer = [replace(entry, revision=later) for entry in entries[:CALLS]]
    return _time_each(partial(replica.adopt, entry) for entry in newer)


def _time_each(calls: Iterable[Callable[[], object]]) -> float:
    """Return the median time of the calls in microseconds."""
    times: list[float] = []
    for call in calls:
        start = perf_counter()
        call()
        times.append(perf_counter() - start)
    return median(times) * MICROSECONDS


def _read_allocated() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]
