"""Free capacity of a service's targets as their gates report it."""

from dataclasses import dataclass
from statistics import fmean
from typing import Final

from hillfield.loadreports.reports import (
    ENOUGH_REPEATS,
    LoadReport,
    WithheldWork,
)
from hillfield.model import RequestPlan, TargetId

# Seconds for which a report counts; gates repeat it after 10 s at the latest.
REPORT_LIFETIME: Final = 12.0
# Seconds between two searches for reports that have expired.
SEARCH_INTERVAL: Final = 1.0


@dataclass(slots=True)
class ReportedCapacity:
    """Hold the newest report of one target, less what was sent there since.

    `outstanding` counts requests that this node has sent since and that have
    not ended, `wait` is the seconds until one more usual request would start,
    `usable` the slots that do useful work (0: not reported), `rate` the
    target's limit in requests a second (None: no limit).
    """

    number: int
    free: int
    waiting: int
    withheld: WithheldWork
    received_at: float
    wait: float = 0
    usable: int = 0
    rate: float | None = None
    outstanding: int = 0


class CapacityTable:
    """Hold the latest reports, corrected by what this node has sent since.

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
        """Create an empty table."""
        self._capacities: dict[TargetId, ReportedCapacity] = {}

    def record_report(self, now: float, report: LoadReport) -> None:
        """Store a report, unless a newer one was received already."""
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
        """Count a request that this node sends to the target."""
        capacity = self._capacities.get(target)
        if capacity is None:
            return
        capacity.outstanding += 1
        if capacity.free > 0:
            capacity.free -= 1
        else:
            capacity.waiting += 1

    def count_ended(self, target: TargetId) -> None:
        """Count the end of a request that this node has sent to the target.

        With many receiving nodes, reports are rarer than requests: without this
        a target would count as full after as many requests as it has slots. If
        the target announces a rate limit, an end restores no capacity.
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
        """Return whether any gate has reported its capacity recently."""
        self._drop_expired(now)
        return bool(self._capacities)

    def find(self, target: TargetId) -> ReportedCapacity | None:
        """Return a target's reported capacity; None if not reported."""
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
        """Return the targets whose gates withhold all usual work."""
        return self._list_at_least(now, WithheldWork.USUAL)

    def list_awaiting_trial(self, now: float) -> frozenset[TargetId]:
        """Return the targets whose gates wait for a trial."""
        self._drop_expired(now)
        return frozenset(
            target
            for target, capacity in self._capacities.items()
            if capacity.withheld is WithheldWork.USUAL
        )

    def list_withholding(
        self,
        now: float,
        plan: RequestPlan,
        trial: bool,
    ) -> tuple[TargetId, ...]:
        """Return the targets whose gates withhold this kind of work.

        `trial` says that the request may be a trial of an unhealthy target.
        """
        least = WithheldWork.USUAL if plan.idempotent else WithheldWork.ONCE
        return self._list_at_least(now, WithheldWork.ALL if trial else least)

    def _list_at_least(
        self, now: float, least: WithheldWork
    ) -> tuple[TargetId, ...]:
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


class RepeatShares:
    """Hold the newest share of each gate.

    >>> shares = RepeatShares()
    >>> shares.compute_mean(0) is None
    True
    >>> shares.record(0, LoadReport('fees', '10.0.0.1', 80, 7, 1, 1, repeats=0.5))
    >>> shares.record(0, LoadReport('fees', '10.0.0.2', 80, 7, 1, 1))
    >>> shares.compute_mean(1)
    1.25
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[TargetId, tuple[float, LoadReport]] = {}
        self._searched_at: float = 0

    def record(self, now: float, report: LoadReport) -> None:
        """Store a gate's report unless a newer one is known."""
        known = self._reports.get(report.target)
        if known is None or known[1].number <= report.number:
            self._reports[report.target] = (now, report)

    def compute_mean(self, now: float) -> float | None:
        """Return the mean share; None if no gate has reported lately."""
        self._drop_expired(now)
        if not self._reports:
            return None
        return fmean(
            ENOUGH_REPEATS if report.repeats is None else report.repeats
            for _, report in self._reports.values()
        )

    def _drop_expired(self, now: float) -> None:
        if now - self._searched_at < SEARCH_INTERVAL:
            return
        self._searched_at = now
        self._reports = {
            target: (received, report)
            for target, (received, report) in self._reports.items()
            if now - received <= REPORT_LIFETIME
        }
