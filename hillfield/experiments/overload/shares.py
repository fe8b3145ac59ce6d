"""Small sums over lists of figures."""

from collections.abc import Sequence

HIGH = 0.99


def find_percentile(figures: Sequence[float], share: float = HIGH) -> float:
    """Return the figure that this share of them doesn't exceed.

    >>> find_percentile([3, 1, 2], 0.5), find_percentile([])
    (2, 0)
    """
    ordered = sorted(figures)
    if not ordered:
        return 0
    last = len(ordered) - 1
    return ordered[round(share * last)]
