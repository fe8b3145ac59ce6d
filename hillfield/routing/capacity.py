"""What the gates of a service have told of their targets' room."""

from dataclasses import dataclass
from typing import Final

from hillfield.loadreports.reports import Held, LoadReport
from hillfield.model import RequestPlan, TargetId

# Seconds for which a report is believed: it is told anew each 10 s at most.
REPORT_LIFETIME: Final = 12.0


@dataclass(slots=True)
class ReportedCapacity:
    """Hold the newest report of one target; `free` less what went there.

    `outstanding` counts what this node has sent there since and not seen end, `wait`
    is the seconds until one more usual request would begin there, `usable` the
    slots that do useful work (0: not told), `rate` the requests a second that
    the target takes (None: it names no limit).
    """

    number: int
    free: int
    waiting: int
    withheld: Held
    received_at: float
    wait: float = 0
    usable: int = 0
    rate: float | None = None
    outstanding: int = 0


class CapacityTable:
    """Remember reports, and what this node has sent since.

    >>> table = CapacityTable()
    >>> report = LoadReport('fees', '10.0.0.1', 80, 7, 1, 1)
    >>> table.record_report(0, report)
    >>> table.list_full(0)
    ()
    >>> table.count_sent(report.target)
    >>> table.list_full(0) == (report.target,)
    True
    """

    def __init__(self) -> None:
        """Start without any."""
        self._capacities: dict[TargetId, ReportedCapacity] = {}

    def record_report(self, now: float, report: LoadReport) -> None:
        """Take a report, unless a newer one has come already."""
        known = self._capacities.get(report.target)
        if known is not None and report.number < known.number:
            return
        self._capacities[report.target] = ReportedCapacity(
            report.number,
            report.free,
            report.waiting,
            report.held,
            now,
            report.wait,
            report.usable,
            None if report.notice is None else report.notice.rate,
        )

    def count_sent(self, target: TargetId) -> None:
        """Count a request that this node sends there."""
        capacity = self._capacities.get(target)
        if capacity is None:
            return
        capacity.outstanding += 1
        if capacity.free > 0:
            capacity.free -= 1
        else:
            capacity.waiting += 1

    def count_ended(self, target: TargetId) -> None:
        """Count the end of a request that this node has sent there.

        Reports are rarer than requests where many nodes listen: without it a
        target counts as full after as many requests as it has slots. Where the
        target names a limit, an end brings no turn back.
        """
        capacity = self._capacities.get(target)
        if capacity is None or not capacity.outstanding:
            return
        capacity.outstanding -= 1
        if capacity.rate is not None:
            return
        if capacity.waiting > 0:
            capacity.waiting -= 1
        else:
            capacity.free += 1

    def has_reports(self, now: float) -> bool:
        """Tell whether any gate tells of its room."""
        self._drop_expired(now)
        return bool(self._capacities)

    def find(self, target: TargetId) -> ReportedCapacity | None:
        """Return what is known of a target's room."""
        return self._capacities.get(target)

    def list_full(self, now: float) -> tuple[TargetId, ...]:
        """Return the targets that have no free slot."""
        self._drop_expired(now)
        return tuple(
            target
            for target, capacity in self._capacities.items()
            if capacity.free <= 0
        )

    def list_quarantined(self, now: float) -> tuple[TargetId, ...]:
        """Return the targets whose gates hold back all usual work."""
        return self._list_at_least(now, Held.USUAL)

    def list_awaiting_trial(self, now: float) -> frozenset[TargetId]:
        """Return the targets whose gates ask for a trial."""
        self._drop_expired(now)
        return frozenset(
            target
            for target, capacity in self._capacities.items()
            if capacity.withheld is Held.USUAL
        )

    def list_withholding(
        self,
        now: float,
        plan: RequestPlan,
        trial: bool,
    ) -> tuple[TargetId, ...]:
        """Return the targets whose gates hold such work back.

        `trial` says that the request may try a doubtful target.
        """
        least = Held.USUAL if plan.idempotent else Held.ONCE
        return self._list_at_least(now, Held.ALL if trial else least)

    def _list_at_least(self, now: float, least: Held) -> tuple[TargetId, ...]:
        self._drop_expired(now)
        return tuple(
            target
            for target, capacity in self._capacities.items()
            if capacity.withheld >= least
        )

    def _drop_expired(self, now: float) -> None:
        over = [
            target
            for target, capacity in self._capacities.items()
            if now - capacity.received_at > REPORT_LIFETIME
        ]
        for target in over:
            self._capacities.pop(target)
