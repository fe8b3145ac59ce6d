"""Print what the configuration costs a node, as one JSON object a size.

The sizes are whole, half, a quarter and a tenth of the design's.
"""

import sys

from msgspec.json import encode
from msgspec.structs import asdict

from hillfield.configuration.measurement import measure_size, measure_times
from hillfield.configuration.samples import SampleSize

PARTS = (10, 4, 2, 1)


def measure() -> None:
    """Measure each size."""
    whole = SampleSize()
    for part in PARTS:
        size = SampleSize(
            whole.accounts // part,
            whole.templates // part,
            whole.routes // part,
        )
        cost = {
            'size': asdict(size),
            'bytes': asdict(measure_size(size)),
            'microseconds': asdict(measure_times(size)),
        }
        line = encode(cost).decode()
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    measure()
