"""The text format of Prometheus, in pieces that do not block the loop."""

from collections.abc import Iterator, Sequence
from typing import Final

from msgspec import Struct
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.samples import Sample

# Rendering this many samples takes less time than the library needs to collect
# one family.
SAMPLES_PER_PIECE: Final = 32
COMMENT: Final = b'#'
# Types whose samples are independent; those of a histogram stay together.
SEPARABLE: Final = frozenset(('counter', 'gauge'))


class _OneFamily(Struct, frozen=True):
    """Pass a single family to the renderer of the library."""

    family: Metric

    def collect(self) -> tuple[Metric, ...]:
        """Return the family."""
        return (self.family,)


def render_pieces(registry: CollectorRegistry) -> Iterator[bytes]:
    """Yield the metrics; joined, they equal the output of the library."""
    for family in registry.collect():
        yield from _render_family(family)


def _render_family(family: Metric) -> Iterator[bytes]:
    samples = family.samples
    if family.type not in SEPARABLE:
        yield _render(family, samples)
        return
    yield _render(family, samples[:SAMPLES_PER_PIECE])
    for start in range(SAMPLES_PER_PIECE, len(samples), SAMPLES_PER_PIECE):
        later = samples[start : start + SAMPLES_PER_PIECE]
        yield _drop_comments(_render(family, later))


def _render(family: Metric, samples: Sequence[Sample]) -> bytes:
    part = Metric(family.name, family.documentation, family.type)
    part.samples = list(samples)
    return generate_latest(_OneFamily(part))


def _drop_comments(text: bytes) -> bytes:
    lines = text.splitlines(keepends=True)
    return b''.join(line for line in lines if not line.startswith(COMMENT))
