"""Straight lines through measured points, by least squares."""

from statistics import linear_regression

from msgspec import Struct

Point = tuple[float, float]


class Fit(Struct, frozen=True):
    """Hold a line: `base` at zero, `slope` for each one more.

    `residual` is the largest distance of a point from the line, in the unit
    of `base`; `points` are what the line was laid through.
    """

    name: str
    unit: str
    over: str
    base: float
    slope: float
    residual: float
    points: tuple[Point, ...]

    def at(self, size: float) -> float:
        """Return the line's height.

        >>> fit('a', 'B', 'nodes', ((1, 2), (2, 4), (4, 8))).at(10)
        20.0
        """
        return self.base + self.slope * size


def fit(
    name: str,
    unit: str,
    over: str,
    points: tuple[Point, ...],
) -> Fit:
    """Lay a line through the points by least squares."""
    across, up = zip(*points, strict=True)
    line = linear_regression(across, up)
    distances = (
        abs(height - line.intercept - line.slope * place)
        for place, height in points
    )
    return Fit(
        name,
        unit,
        over,
        line.intercept,
        line.slope,
        max(distances),
        points,
    )
