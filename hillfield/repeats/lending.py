"""What a counting node lends of one service's bound; pure.

All that counts is in the newest report of each node: what it has spent in the
window, and what it holds and may still spend. So a counting node that takes
over knows all as soon as it has heard all, and lends nothing before: a node
that it doesn't hear counts as one that has used the most that a node may.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf
from typing import Final

from msgspec.structs import replace

from hillfield.repeats.backing import find_room
from hillfield.repeats.bounds import (
    LEAST_MOST,
    MOST_SHARE,
    SLOTS,
    RepeatBound,
)
from hillfield.repeats.messages import LoanRow, Report, UseRow
from hillfield.repeats.roster import Roster
from hillfield.repeats.sums import UseSums

# Seconds for which a report holds. A node that finds another counting node
# takes nothing from it for so long, so that no two lend to it at once. Three
# reports in a row may be lost.
REPORT_KEPT: Final = 3.0
# Seconds without a sign of time passing after which this process has stood
# still: what it knew is void, and what waits to be read is old.
STOOD_STILL: Final = 1.0
DEAF_AFTER: Final = 0.5
# Seconds beyond a window in which two parts of the fleet have missed each
# other and what they had before is spent.
SETTLED: Final = 2 * REPORT_KEPT
# Seconds between looks for reports that have grown old.
SWEEP_GAP: Final = 0.25
# Parts of the bound that have to be left for a repeat that a node only keeps
# by, and for several: what lies at nodes that don't need it is soon asked back.
SPARE_ROOM: Final = 0.15
AMPLE_ROOM: Final = 0.5


@dataclass(slots=True)
class _Borrower:
    """Hold what one node has reported; moments are seconds.

    `former` are repeats of its earlier lives until `forgotten`, None: nobody
    remembers how many.
    """

    life: int
    row: UseRow
    heard: float
    former: int | None = 0
    forgotten: float = -inf

    @property
    def used(self) -> int:
        """Return what this life may have spent in the window."""
        return sum(self.row.spent) + self.row.held

    def find_former(self, now: float, most: int) -> int:
        """Return what earlier lives may have spent; `most`: any node."""
        if now >= self.forgotten:
            return 0
        return most if self.former is None else self.former


@dataclass(slots=True)
class _Tally:
    """Hold the sums over borrowers, and what others may have used.

    `most` is what one node may use in a window.
    """

    sums: UseSums = field(default_factory=UseSums)
    unheard: float = 0
    most: int = LEAST_MOST

    def find_whole(self, bound: RepeatBound, nodes: int) -> float:
        """Return what a window of the present requests allows."""
        requests = self.sums.list_requests()
        newer = sum(requests[:SLOTS])
        older = sum(requests[SLOTS:])
        return bound.find_pool(nodes) + bound.ratio * max(newer, older)

    def find_unspent(self, whole: float) -> float:
        """Return the part of a whole bound that isn't spent."""
        spent = sum(self.sums.list_spent())
        used = spent / max(1, whole)
        return round(max(0, 1 - used), 2)

    def find_left(self, bound: RepeatBound, nodes: int) -> float:
        """Return what may be lent beyond what is held."""
        sums = self.sums
        pool = bound.find_pool(nodes)
        spent = sums.list_spent()
        room = find_room(bound, pool, sums.list_requests(), spent)
        return room - self.unheard - sums.held


class Lender:
    """Lend one service's bound among the nodes of the fleet."""

    def __init__(self, bound: RepeatBound) -> None:
        """Start without reports."""
        self._bound = bound
        self._borrowers: dict[str, _Borrower] = {}
        self._tally = _Tally()
        self._swept = -inf
        self._met: dict[str, float] = {}
        self._since = -inf
        self._awake = -inf
        self._deaf_until = -inf

    def pass_time(self, now: float) -> None:
        """Note that the process runs; call at least twice a second."""
        if now - self._awake > STOOD_STILL:
            if self._awake > -inf:
                self._deaf_until = now + DEAF_AFTER
            self._borrowers.clear()
            self._met.clear()
            self._since = now
            self._swept = -inf
        self._awake = now

    def take(
        self,
        now: float,
        report: Report,
        row: UseRow,
        roster: Roster,
    ) -> LoanRow | None:
        """Take one row of a report and answer it; None: it is void."""
        self.pass_time(now)
        found = self._borrowers.get(report.sender)
        if now < self._deaf_until or _is_old(found, report, row):
            return None
        borrower = self._meet(now, found, report, row)
        self._borrowers[report.sender] = borrower
        # Sums are kept up row by row, and made anew as reports grow old.
        if found is None or not self._replace(now, found, borrower):
            self._sweep(now, roster)
        return self._lend(now, borrower, roster)

    def _replace(
        self,
        now: float,
        found: _Borrower,
        borrower: _Borrower,
    ) -> bool:
        """Put one row in place of another; False: the sums are too old."""
        aged = now - self._swept >= SWEEP_GAP
        if aged or found.life != borrower.life:
            return False
        if now - found.heard >= REPORT_KEPT:
            return False
        self._tally.sums.add(found.row, -1)
        self._tally.sums.add(borrower.row)
        return True

    def _meet(
        self,
        now: float,
        found: _Borrower | None,
        report: Report,
        row: UseRow,
    ) -> _Borrower:
        borrower = _Borrower(report.life, row, now)
        if found is None:
            is_new = self._is_new(now, report.sender)
            borrower.former = 0 if is_new else None
            borrower.forgotten = now + self._bound.window - report.age
        elif found.life == report.life:
            borrower.former = found.former
            borrower.forgotten = found.forgotten
        else:
            former = found.find_former(now, self._tally.most)
            borrower.former = found.used + former
            borrower.forgotten = now + self._bound.window
        return borrower

    def _lend(
        self,
        now: float,
        borrower: _Borrower,
        roster: Roster,
    ) -> LoanRow:
        row = borrower.row
        tally = self._tally
        whole = tally.find_whole(self._bound, roster.size)
        room = tally.find_left(self._bound, roster.size) + row.held
        before = sum(row.spent) + borrower.find_former(now, tally.most)
        wanted = row.needed + _allow_spare(row.spare, room, whole)
        bounds = (wanted, tally.most - before, int(room))
        held = max(0, min(bounds))
        self._note_lent(borrower, held)
        return LoanRow(row.service, row.number, held, tally.find_unspent(whole))

    def _note_lent(self, borrower: _Borrower, held: int) -> None:
        """Count a loan; its answer may be lost, so what was held counts too."""
        more = max(0, held - borrower.row.held)
        borrower.row = replace(borrower.row, held=borrower.row.held + more)
        self._tally.sums.held += more

    def _sweep(self, now: float, roster: Roster) -> None:
        """Sum up anew; nodes whose reports are old count as unheard."""
        self._swept = now
        tally = _Tally()
        self._tally = tally
        for borrower in self._borrowers.values():
            if now - borrower.heard < REPORT_KEPT:
                tally.sums.add(borrower.row)
        share = tally.find_whole(self._bound, roster.size) / roster.size
        tally.most = max(LEAST_MOST, int(MOST_SHARE * share))
        tally.unheard += sum(self._list_unmet(now, roster))
        tally.unheard += sum(self._list_unheard(now, roster))
        for gone in self._met.keys() - roster.list_members():
            self._met.pop(gone)

    def _list_unmet(self, now: float, roster: Roster) -> Iterator[float]:
        """Yield what members of which no report is kept may have used."""
        # A part of the fleet that has long been cut off misses this one as
        # long, and keeps to its share: its requests count there, not here.
        share = self._bound.find_pool(roster.size) / roster.size
        settled = self._bound.window + SETTLED
        for name in roster.list_members() - self._borrowers.keys():
            if roster.silent.get(name, 0) > settled:
                yield share
            elif name in roster.silent or not self._is_new(now, name):
                yield self._tally.most

    def _is_new(self, now: float, name: str) -> bool:
        """Tell whether a node has just joined, and has been lent nothing.

        Had it been there before, this process would have met it, if it has
        counted for the service for a window.
        """
        met = self._met.setdefault(name, now)
        aware = met - self._since >= self._bound.window + REPORT_KEPT
        return aware and now - met < REPORT_KEPT

    def _list_unheard(self, now: float, roster: Roster) -> Iterator[int]:
        """Yield what borrowers may have used that no report tells."""
        most = self._tally.most
        members = roster.list_members()
        for name, borrower in tuple(self._borrowers.items()):
            yield borrower.find_former(now, most)
            silent = now - borrower.heard
            if silent >= REPORT_KEPT:
                yield max(borrower.used, most if name in members else 0)
            if silent >= self._bound.window + REPORT_KEPT:
                self._borrowers.pop(name)


def _allow_spare(spare: int, room: float, whole: float) -> int:
    """Return how many repeats a node may keep by."""
    if room > AMPLE_ROOM * whole:
        return spare
    return min(spare, 1) if room > SPARE_ROOM * whole else 0


def _is_old(found: _Borrower | None, report: Report, row: UseRow) -> bool:
    """Tell whether a newer report of this life has come."""
    if found is None or found.life != report.life:
        return False
    return row.number <= found.row.number
