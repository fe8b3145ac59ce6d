"""Sum up what real nodes did, against the baseline run the same way."""

from collections.abc import Iterable, Sequence
from itertools import product
from statistics import median
from typing import Final

from msgspec import Struct

from hillfield.experiments.gray.ground import open_ground
from hillfield.experiments.gray.innocence import Calm, play_innocence
from hillfield.experiments.gray.plans import (
    CERTAIN,
    LONG,
    SHORT,
    SIZES,
    Fault,
    Schedule,
)
from hillfield.experiments.gray.rounds import Sighting, play_faults
from hillfield.experiments.reports import Cell, Check, Table

NEVER: Final = float('inf')
WANTED_MEDIAN: Final = 1.0
WANTED_SLOWEST: Final = 2.0
WANTED_LATE: Final = 0.01
WANTED_FACTOR: Final = 3
COLUMNS: Final = (
    'service',
    'trouble',
    'onsets',
    'median s',
    'slowest s',
    'late %',
    'wrongly out',
    'baseline median s',
)
PERCENT: Final = 100


class Figures(Struct, frozen=True):
    """Hold the onsets of one fault at one service."""

    seconds: tuple[float, ...]
    late: float
    wrong: int

    @property
    def median(self) -> float:
        """Return the median seconds until the target was out."""
        return median(self.seconds) if self.seconds else NEVER

    @property
    def slowest(self) -> float:
        """Return the most seconds until a target was out."""
        return max(self.seconds, default=NEVER)


class Findings(Struct, frozen=True):
    """Hold all that one kind of nodes showed."""

    sightings: tuple[Sighting, ...]
    calms: tuple[Calm, ...]

    def find(self, service: str, fault: Fault) -> Figures:
        """Return the figures of a fault at a service."""
        return sum_up(
            [
                each
                for each in self.sightings
                if each.service == service and each.fault is fault
            ],
        )


def sum_up(sightings: Sequence[Sighting]) -> Figures:
    """Return the figures of onsets alike."""
    return Figures(
        tuple(
            NEVER if each.detected is None else each.detected
            for each in sightings
        ),
        median(each.late for each in sightings) if sightings else 0,
        sum(len(each.false_removals) for each in sightings),
    )


async def watch(schedule: Schedule, *, baseline: bool) -> Findings:
    """Play all troubles on one fleet."""
    onsets = schedule.baseline_onsets if baseline else schedule.onsets
    if not onsets:
        return Findings((), ())
    async with open_ground(baseline=baseline) as ground:
        sightings = await play_faults(ground, schedule, onsets)
        calms = await play_innocence(ground, schedule)
    return Findings(sightings, calms)


def choose_schedule(*, quick: bool) -> Schedule:
    """Return the schedule of a short or a whole run."""
    return SHORT if quick else LONG


def make_fault_table(own: Findings, plain: Findings) -> Table:
    """Return a line per fault and service."""
    return Table(
        'real nodes: until the last request',
        COLUMNS,
        tuple(
            _row(size.name, fault, own, plain)
            for size, fault in product(SIZES, Fault)
        ),
    )


def make_innocence_table(own: Findings, plain: Findings) -> Table:
    """Return a line per innocent trouble and service."""
    baseline = {(each.service, each.kind): each for each in plain.calms}
    return Table(
        'real nodes: taken out',
        ('service', 'trouble', 'false ejections', 'of the baseline'),
        tuple(
            (
                each.service,
                each.kind,
                len(each.removals),
                _count(baseline.get((each.service, each.kind))),
            )
            for each in own.calms
        ),
    )


def check_faults(own: Findings, plain: Findings) -> tuple[Check, ...]:
    """Check what has to be out within a second."""
    return tuple(
        check
        for size, fault in product(SIZES, Fault)
        if fault in CERTAIN
        for check in _check(
            f'{fault} at {size.name} on real nodes',
            own.find(size.name, fault),
            plain.find(size.name, fault),
        )
    )


def check_innocence(own: Findings) -> tuple[Check, ...]:
    """Check that nobody was taken out without fault."""
    return tuple(
        Check(
            f'none out under {each.kind} at {each.service} on real nodes',
            not each.removals,
            '; '.join(removal.detail for removal in each.removals) or 'none',
        )
        for each in own.calms
    )


def _check(name: str, own: Figures, plain: Figures) -> Iterable[Check]:
    yield Check(
        f'{name}: median within 1 s',
        own.median <= WANTED_MEDIAN,
        f'{own.median:.2f} s',
    )
    yield Check(
        f'{name}: slowest within 2 s',
        own.slowest <= WANTED_SLOWEST,
        f'{own.slowest:.2f} s',
    )
    late = own.late * PERCENT
    yield Check(f'{name}: late', own.late < WANTED_LATE, f'{late:.2f}%')
    if plain.seconds:
        yield Check(
            f'{name}: 3 times sooner than the baseline',
            plain.median >= WANTED_FACTOR * own.median,
            f'{plain.median:.2f} s',
        )


def _row(
    service: str,
    fault: Fault,
    own: Findings,
    plain: Findings,
) -> tuple[Cell, ...]:
    figures = own.find(service, fault)
    measured = (
        len(figures.seconds),
        figures.median,
        figures.slowest,
        figures.late * PERCENT,
        figures.wrong,
    )
    return (service, fault, *measured, plain.find(service, fault).median)


def _count(calm: Calm | None) -> Cell:
    return 'not run' if calm is None else len(calm.removals)
