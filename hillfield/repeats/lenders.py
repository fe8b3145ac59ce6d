"""What one node lends of the bounds of the services that it counts; pure."""

from collections.abc import Iterator
from typing import Final

from hillfield.repeats.bounds import SHORT, RepeatBound
from hillfield.repeats.lending import Lender
from hillfield.repeats.messages import LoanRow, Report
from hillfield.repeats.roster import Roster

# The part of a bound that is free again when it no longer counts as used up.
RESTORED: Final = 0.2


class Lenders:
    """Find the lender of each service that a report names."""

    def __init__(self, bound: RepeatBound) -> None:
        """Start without services."""
        self._bound = bound
        self._lenders: dict[str, Lender] = {}
        self._exhausted: set[str] = set()

    def pass_time(self, now: float) -> None:
        """Note that the process runs; call at least twice a second."""
        for lender in self._lenders.values():
            lender.pass_time(now)

    def take(
        self,
        now: float,
        report: Report,
        roster: Roster,
    ) -> tuple[LoanRow, ...]:
        """Take a report and answer it; rows that are void get no answer."""
        answers = (
            self._find(row.service).take(now, report, row, roster)
            for row in report.rows
        )
        return tuple(answer for answer in answers if answer is not None)

    def list_changes(
        self,
        report: Report,
        answers: tuple[LoanRow, ...],
    ) -> Iterator[LoanRow]:
        """Yield the answers with which a bound is used up, or free again."""
        asking = {row.service for row in report.rows if row.needed}
        for row in answers:
            if row.service in self._exhausted:
                if row.room >= RESTORED:
                    self._exhausted.remove(row.service)
                    yield row
            elif row.service in asking and _is_short(row):
                self._exhausted.add(row.service)
                yield row

    def _find(self, service: str) -> Lender:
        return self._lenders.setdefault(service, Lender(self._bound))


def _is_short(row: LoanRow) -> bool:
    return not row.held and row.room < SHORT
