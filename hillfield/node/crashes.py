"""What a node knows of requests that end targets, and what it refuses."""

from collections.abc import Callable
from sys import maxsize
from typing import Final

from hillfield.clocks import monotonic
from hillfield.crashes import (
    ClearRow,
    CrashLedger,
    EndRow,
    Findings,
    Fingerprinter,
    Likeness,
    ServedRequests,
    TargetEnd,
    describe_refusal,
)
from hillfield.crashes.cases import Case
from hillfield.crashes.ledger import CASES_KEPT
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.audience import list_others
from hillfield.fleet.core import Core
from hillfield.fleet.records import NodeRecord
from hillfield.fleet.slots import rank_of
from hillfield.model import RequestFailure

# The rank of a node that knows of no fleet yet: it speaks for nothing.
UNRANKED: Final = maxsize
SERVED: Final = 'answered by a target that lives on'
SERVED_BEFORE: Final = 'answered a short while ago'

NewsListener = Callable[[Findings], None]


class CrashBook:
    """Follow requests that end targets; each node decides for itself.

    `on_news` is told of what was found here and all nodes have to know.
    """

    def __init__(self, key: bytes, journal: Journal) -> None:
        """Start knowing nothing; `key` is the cluster's."""
        self.ledger = CrashLedger()
        self.on_news: NewsListener = _tell_nobody
        self._printer = Fingerprinter(key)
        self._served = ServedRequests()
        self._journal = journal
        self._core: Core | None = None
        self._ranked_among: frozenset[str] = frozenset()
        self._ranks: dict[bytes, int] = {}

    def join(self, core: Core) -> None:
        """Take what the node knows of its fleet."""
        self._core = core

    def identify(self, likeness: Likeness) -> bytes:
        """Return the fingerprint of a request."""
        return self._printer.take(likeness)

    def take_end(self, end: TargetEnd) -> None:
        """Take the end of this host's target, and tell all of it."""
        now = monotonic()
        core = self._core
        gate = '' if core is None else core.own.record.name
        rows = tuple(
            EndRow(
                run.fingerprint,
                gate,
                end.number,
                now - run.ended,
                run.lasted,
            )
            for run in end.runs
        )
        self.take(now, Findings(rows))
        self.on_news(Findings(rows))

    def note_served(self, fingerprint: bytes) -> None:
        """Note that this host's target answered a request and lives on."""
        self._served.note(monotonic(), fingerprint)
        case = self.ledger.cases.get(fingerprint)
        if case is not None and case.ends:
            self.clear(fingerprint, SERVED)

    def clear(self, fingerprint: bytes, reason: str) -> bool:
        """Find a request harmless, and tell all; False: it was not followed."""
        if not self.ledger.clear(monotonic(), fingerprint):
            return False
        detail = f'{fingerprint.hex()} {reason}'
        self._record(EventCode.CRASHING_REQUEST_CLEARED, detail)
        self.on_news(Findings(clears=(ClearRow(fingerprint, 0),)))
        return True

    def take(self, now: float, told: Findings) -> None:
        """Take in what another node, or the store, knows."""
        for fingerprint in self.ledger.take(now, told):
            case = self.ledger.cases[fingerprint]
            seen = ' '.join(f'{gate}/{number}' for gate, number in case.ends)
            detail = f'{fingerprint.hex()} by ends at {seen}'
            self._record(EventCode.CRASHING_REQUEST_FOUND, detail)
            if self._served.knows(now, fingerprint):
                self.clear(fingerprint, SERVED_BEFORE)

    def find_rank(self, fingerprint: bytes) -> int:
        """Return this node's rank among all for a request (rendezvous).

        The first, 0, lets it run for a trial; the first two write it down. It
        is asked for many times and changes only with the live nodes.
        """
        core = self._core
        if core is None:
            return UNRANKED
        excess = len(self._ranks) > CASES_KEPT
        if excess or core.book.alive is not self._ranked_among:
            self._ranked_among = core.book.alive
            self._ranks.clear()
        rank = self._ranks.get(fingerprint)
        if rank is None:
            rank = _rank_among(core, fingerprint.hex())
            self._ranks[fingerprint] = rank
        return rank

    def list_others(self) -> list[NodeRecord]:
        """Return the live nodes beside this one."""
        core = self._core
        return [] if core is None else list_others(core)

    def is_near(self, other: NodeRecord) -> bool:
        """Tell whether a node is of this one's failure domain."""
        core = self._core
        if core is None:
            return False
        here = core.own.record.locality.failure_domain
        return other.locality.failure_domain == here

    def _record(self, code: EventCode, detail: str) -> None:
        self._journal.record(Occurrence(code, detail=detail))


class GateGuard:
    """Implement `CrashGuard` beside a target: the last one to be asked."""

    def __init__(self, book: CrashBook) -> None:
        """Ask what this node knows."""
        self._book = book

    def identify(self, likeness: Likeness) -> bytes:
        """Return the fingerprint of a request."""
        return self._book.identify(likeness)

    def refuse(
        self,
        fingerprint: bytes,
        *,
        may_have_run: bool,
    ) -> RequestFailure | None:
        """Return why a request is not sent to the target, if so."""
        cases = self._book.ledger.cases
        case = cases.get(fingerprint) if cases else None
        if case is None or not case.harmful:
            return None
        now = monotonic()
        if not case.holds(now) and self._may_pass(now, case):
            return None
        return describe_refusal(
            fingerprint,
            (gate for gate, _ in case.ends),
            case.find_wait(now),
            may_have_run=may_have_run,
        )

    def _may_pass(self, now: float, case: Case) -> bool:
        """Let a trial through that the node of its caller has allowed."""
        return True


class CallerGuard(GateGuard):
    """Implement `CrashGuard` where requests begin.

    After the hold one node of the fleet lets the request run once: the next
    release of the target may bear it.
    """

    def _may_pass(self, now: float, case: Case) -> bool:
        if self._book.find_rank(case.fingerprint):
            return False
        return case.may_try(now)


def _tell_nobody(told: Findings) -> None:
    """Tell nobody: the node has not joined others."""


def _rank_among(core: Core, request: str) -> int:
    mine = rank_of(request, core.own.record.name)
    ranks = (rank_of(request, other.name) for other in list_others(core))
    return sum(rank < mine for rank in ranks)
