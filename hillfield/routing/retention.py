"""Comparison of policies for how long to keep an idle connection.

This is the ski-rental problem: keeping a connection is renting, opening a new
one is buying. `python -m hillfield.routing.retention` prints the cost of each
policy over seeded gaps between uses of a connection, relative to the optimum of
a policy that knows each gap in advance. A fixed timeout is in use; see
docs/design/routing.md.
"""

from collections.abc import Callable
from math import e as EULER
from math import log1p
from random import Random
from sys import stdout
from typing import Final

OPENING: Final = 0.001
FIXED_TIMEOUT: Final = 15.0
GAPS: Final = 20000
SEED: Final = 1
BREAK_EVENS: Final = (5.0, 15.0, 60.0)
MEAN_GAPS: Final = (1.0, 15.0, 120.0)
BURST_SHARE: Final = 0.8
BURST_FACTOR: Final = 0.05
TAIL: Final = 1.5

Keeping = Callable[[Random, float], float]


def keep_fixed(random: Random, break_even: float) -> float:
    """Return a fixed timeout in seconds."""
    return FIXED_TIMEOUT


def keep_to_break_even(random: Random, break_even: float) -> float:
    """Return the time after which keeping has cost as much as opening.

    The cost is at most twice the optimum (Karlin, Manasse, Rudolph and
    Sleator, "Competitive snoopy caching", 1988).
    """
    return break_even


def keep_at_random(random: Random, break_even: float) -> float:
    """Draw a timeout with density exp(t/b) / (b (e - 1)) up to b.

    The mean cost is at most e / (e - 1) times the optimum for any gaps; the
    paper on retention-aware container caching uses the same distribution.
    """
    return break_even * log1p(random.random() * (EULER - 1))


def draw_even_gap(random: Random, mean: float) -> float:
    """Draw a gap between independent uses (exponential)."""
    return random.expovariate(1 / mean)


def draw_burst_gap(random: Random, mean: float) -> float:
    """Draw a gap between uses that mostly occur in bursts."""
    if random.random() < BURST_SHARE:
        return random.expovariate(1 / (BURST_FACTOR * mean))
    rest = (1 - BURST_SHARE * BURST_FACTOR) / (1 - BURST_SHARE)
    return random.expovariate(1 / (rest * mean))


def draw_tail_gap(random: Random, mean: float) -> float:
    """Draw a gap from a heavy-tailed distribution (Pareto)."""
    return mean * (1 - 1 / TAIL) * random.paretovariate(TAIL)


def measure_keeping(
    keeping: Keeping,
    drawing: Keeping,
    break_even: float,
    mean: float,
) -> float:
    """Return the cost relative to the optimum with known gaps."""
    gaps = Random(SEED)
    choices = Random(SEED)
    price = OPENING / break_even
    paid: float = 0
    least: float = 0
    for _ in range(GAPS):
        gap = drawing(gaps, mean)
        kept = keeping(choices, break_even)
        paid += price * min(gap, kept)
        if gap > kept:
            paid += OPENING
        least += min(price * gap, OPENING)
    return paid / least


def print_costs() -> None:
    """Print the cost of each policy for each kind of gaps."""
    for drawing in (draw_even_gap, draw_burst_gap, draw_tail_gap):
        for break_even in BREAK_EVENS:
            for mean in MEAN_GAPS:
                _print_case(drawing, break_even, mean)


def _print_case(drawing: Keeping, break_even: float, mean: float) -> None:
    costs = ' '.join(
        f'{cost:.2f}'
        for cost in (
            measure_keeping(keep_fixed, drawing, break_even, mean),
            measure_keeping(keep_to_break_even, drawing, break_even, mean),
            measure_keeping(keep_at_random, drawing, break_even, mean),
        )
    )
    name = drawing.__name__
    stdout.write(f'{name} break_even={break_even} mean={mean} {costs}\n')


if __name__ == '__main__':
    print_costs()
