"""What one node uses of the fleet's bound, and what it reports; pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import starmap
from math import ceil, inf
from typing import Final

from msgspec import Struct

from hillfield.repeats.bounds import SHORT, RepeatBound
from hillfield.repeats.history import Arrivals, Spending
from hillfield.repeats.kinds import LEAST_ROOM, RepeatKind
from hillfield.repeats.lending import REPORT_KEPT
from hillfield.repeats.messages import LoanRow, RouteRow, UseRow

# Seconds between two reports of one service: where a node has nothing left of
# what was lent, where nothing is left to lend either, and else; bytes between
# failure domains are dear. A counting node hears no more hurried reports a
# second than `REPORTS_HEARD`.
BUSY_GAP: Final = 0.2
SHORT_GAP: Final = 0.5
USUAL_GAP: Final = 1.0
REPORTS_HEARD: Final = 800
# Reports' time that what a node asks for lasts: until the next answer.
LOOK_AHEAD: Final = 2.0
# Repeats that a node keeps by, so that a first failure waits for no answer.
SPARE: Final = 3
# Own repeats that hedges leave to others.
OWN_KEPT: Final = 1
# Seconds after the start in which a node doesn't know yet how many there are,
# and the most that it repeats until then.
JOINING: Final = 1.5
OWN_JOINING: Final = 1
# Routes of one service that are reported; requests of more deposit nothing.
ROUTES_REPORTED: Final = 16


class Sighting(Struct, frozen=True):
    """Hold what counts of one request.

    `proof`: no target can have made it as a call; `repeated` is how likely a
    repeated run made it, if it is one.
    """

    service: str
    route: str
    proof: bool = False
    repeated: float = 0


@dataclass(slots=True)
class _Route:
    """Count one route's requests at this node."""

    arrivals: Arrivals
    repeats: Spending
    proofs: int = 0
    repeated: float = 0

    def note(self, now: float, request: Sighting) -> None:
        """Count one request."""
        self.arrivals.add(now)
        self.proofs += request.proof
        self.repeated += request.repeated
        if self.repeated >= 1:
            self.repeated -= 1
            self.repeats.add(now)


@dataclass(slots=True)
class _Loan:
    """Hold what is lent; `number` and `asked` are of the last report.

    `since` counts what was taken since that report.
    """

    number: int
    held: int = 0
    until: float = -inf
    room: float = 0
    asked: float = -inf
    since: int = 0
    lender: str = ''
    barred_until: float = -inf

    def ask(self, now: float, lender: str) -> None:
        """Begin a report; another lender gives nothing for a while."""
        if lender != self.lender:
            if self.lender:
                self.barred_until = self.asked + REPORT_KEPT
            self.lender = lender
        if now >= self.until:
            self.held = 0
        self.number += 1
        self.asked = now
        self.since = 0

    def adopt(self, now: float, row: LoanRow, seconds: float) -> None:
        """Take an answer, which holds for some seconds from the report on.

        What answers an earlier report isn't in what the last one has told.
        """
        until = self.asked + seconds
        if row.number == self.number and self.barred_until <= now < until:
            self.held = max(0, row.held - self.since)
            self.room = row.room
            self.until = until

    def allows(self, now: float, kind: RepeatKind) -> bool:
        """Tell whether such a repeat may use what is lent."""
        lent = self.held > 0 and now < self.until
        return lent and self.room >= LEAST_ROOM[kind]


@dataclass(slots=True)
class _Demand:
    """Count what was asked for since the last report."""

    tried: int = 0
    refused: int = 0
    usual: float = 0


@dataclass(slots=True)
class _Use:
    """Hold one service's use at this node."""

    spent: Spending
    own: Spending
    loan: _Loan
    routes: dict[str, _Route] = field(default_factory=dict)
    demand: _Demand = field(default_factory=_Demand)


class LocalUse:
    """Allow repeats within what is lent and what is this node's own."""

    def __init__(self, bound: RepeatBound, now: float, number: int) -> None:
        """Start without loans; reports are counted from `number` on."""
        self._bound = bound
        self._started = now
        self._number = number
        self._nodes = 1
        self._uses: dict[str, _Use] = {}

    def follow(self, nodes: int) -> None:
        """Take how many nodes may use the bound."""
        self._nodes = max(1, nodes)

    def age(self, now: float) -> float:
        """Return the seconds that this node remembers."""
        return now - self._started

    def note_request(self, now: float, request: Sighting) -> None:
        """Count a request of a caller of this host."""
        use = self._find(request.service)
        found = use.routes.get(request.route)
        if found is None:
            if len(use.routes) >= ROUTES_REPORTED:
                return
            window = self._bound.window
            found = _Route(Arrivals(window), Spending(window))
            use.routes[request.route] = found
        found.note(now, request)

    def can_take(self, now: float, service: str, kind: RepeatKind) -> bool:
        """Tell whether a repeat is allowed now."""
        use = self._find(service)
        return use.loan.allows(now, kind) or self._has_own(use, now, kind)

    def take(self, now: float, service: str, kind: RepeatKind) -> bool:
        """Take a repeat, if it is allowed."""
        use = self._find(service)
        use.demand.tried += 1
        if use.loan.allows(now, kind):
            use.loan.held -= 1
            use.loan.since += 1
            use.spent.add(now)
            return True
        if self._has_own(use, now, kind):
            use.own.add(now)
            return True
        use.demand.refused += 1
        return False

    def list_due(
        self,
        now: float,
        lenders: dict[str, str],
    ) -> tuple[UseRow, ...]:
        """Return what is to be reported now to each service's lender."""
        if self.age(now) < JOINING:
            return ()
        return tuple(
            self._report(now, service, lender)
            for service, lender in lenders.items()
            if _is_due(now, self._find(service), self._nodes)
        )

    def adopt(self, now: float, rows: Iterable[LoanRow]) -> None:
        """Take what a counting node answers to the last report."""
        for row in rows:
            self._find(row.service).loan.adopt(now, row, self._bound.loan)

    def _find(self, service: str) -> _Use:
        use = self._uses.get(service)
        if use is None:
            window = self._bound.window
            use = _Use(
                Spending(window),
                Spending(window),
                _Loan(self._number),
            )
            self._uses[service] = use
        return use

    def _has_own(self, use: _Use, now: float, kind: RepeatKind) -> bool:
        age = self.age(now)
        own = self._bound.find_own(self._nodes)
        if age < self._bound.window:
            own = self._bound.find_fresh(self._nodes)
        if age < JOINING:
            own = min(own, OWN_JOINING if self._nodes > 1 else 0)
        if kind is RepeatKind.HEDGE:
            own -= OWN_KEPT
        return use.own.count(now) < own

    def _report(self, now: float, service: str, lender: str) -> UseRow:
        use = self._uses[service]
        loan = use.loan
        needed = _expect(use.demand, now - loan.asked)
        loan.ask(now, lender)
        use.demand = _Demand(usual=use.demand.usual)
        if now < loan.barred_until:
            needed = 0
        return UseRow(
            service,
            loan.number,
            use.spent.list_slots(now),
            loan.held,
            needed,
            SPARE if now >= loan.barred_until else 0,
            tuple(starmap(partial(_show, now), use.routes.items())),
        )


def _show(now: float, name: str, route: _Route) -> RouteRow:
    requests = route.arrivals.list_slots(now)
    repeats = route.repeats.list_slots(now)
    return RouteRow(name, route.proofs, requests, repeats)


def _is_due(now: float, use: _Use, nodes: int) -> bool:
    gap = USUAL_GAP
    if use.demand.tried and not use.loan.held:
        gap = BUSY_GAP if use.loan.room > SHORT else SHORT_GAP
    crowded = min(USUAL_GAP, nodes / REPORTS_HEARD)
    return now - use.loan.asked >= max(gap, crowded)


def _expect(demand: _Demand, seconds: float) -> int:
    """Return the repeats that are likely until the answer after the next."""
    rate = demand.tried / max(BUSY_GAP, seconds)
    # A spell begins sooner than it ends.
    demand.usual = max(rate, (rate + demand.usual) / 2)
    if demand.usual * USUAL_GAP < 1:
        return 0
    return ceil(demand.usual * LOOK_AHEAD * BUSY_GAP)
