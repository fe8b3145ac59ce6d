"""What nodes say of a target during a scene: explanation and events."""

import time
from typing import Final

from hillfield.control.pages import TargetReport
from hillfield.demo.fleet import LocalFleet, PlacedTarget
from hillfield.events import TimelineEntry

MILLISECONDS: Final = 1000
# A scene's first and last events tell what happened.
SHOWN_EVENTS: Final = 6


class Witness:
    """Collect what is said of a target from now on."""

    def __init__(self, fleet: LocalFleet, placed: PlacedTarget) -> None:
        """Note the time, in the wall milliseconds of time lines."""
        self._fleet = fleet
        self._placed = placed
        self._since = int(time.time() * MILLISECONDS)

    async def tell(self) -> tuple[str, ...]:
        """Return lines: the events so far, then why it is treated so now."""
        fleet = self._fleet
        entries = await fleet.client.read_timeline(
            (host.control for host in fleet.layout.hosts),
            str(self._placed.target.address),
        )
        events = [
            self._show(entry)
            for entry in entries
            if entry.stamp.physical >= self._since
        ]
        report = await find_report(fleet, self._placed)
        said = 'unknown' if report is None else show_report(report)
        name = self._placed.host.name
        return (*shorten(events), f'now at {name}: {said}')

    def _show(self, entry: TimelineEntry) -> str:
        seconds = (entry.stamp.physical - self._since) / MILLISECONDS
        return f'+{seconds:.1f} s {entry.node} {entry.event} {entry.detail}'


def shorten(lines: list[str]) -> tuple[str, ...]:
    """Return the first and last lines and how many lie between.

    >>> len(shorten(['line'] * 6)), len(shorten(['line'] * 60))
    (6, 7)
    """
    left = len(lines) - SHOWN_EVENTS
    if left <= 0:
        return tuple(lines)
    half = SHOWN_EVENTS // 2
    between = f'... {left} more'
    return (*lines[:half], between, *lines[-half:])


async def find_report(
    fleet: LocalFleet,
    placed: PlacedTarget,
) -> TargetReport | None:
    """Return what the node of the target's own host says of it."""
    service = placed.target.settings.service
    page = await fleet.client.explain(placed.host.control, service)
    address = str(placed.target.address)
    reports = page.targets if page else ()
    found = [report for report in reports if address in report.target]
    return found[0] if found else None


def show_report(report: TargetReport) -> str:
    """Return an explanation as one line.

    >>> report = TargetReport('s@1', 'ejected', 0.5, False, 0, '9 of 9 late', '')
    >>> show_report(report)
    'ejected, out of rotation: 9 of 9 late'
    """
    place = 'in' if report.in_rotation else 'out of'
    reason = report.evidence or report.symptom or 'nothing speaks against it'
    return f'{report.state}, {place} rotation: {reason}'
