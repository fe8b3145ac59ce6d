"""Tracking and refusal of requests that crash targets."""

from collections.abc import Callable
from sys import maxsize
from typing import Final

from hillfield.clocks import monotonic
from hillfield.crashes import (
    AnswerRow,
    ClearRow,
    CrashRegistry,
    ExitRow,
    Findings,
    Fingerprinter,
    RequestIdentity,
    ServedRequests,
    TargetExit,
    describe_refusal,
)
from hillfield.crashes.cases import Case
from hillfield.crashes.registry import (
    MAXIMUM_CASES,
    is_outweighed,
    list_answered,
)
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.fleet.core import Core
from hillfield.fleet.recipients import list_others
from hillfield.fleet.records import NodeRecord
from hillfield.fleet.slots import compute_rank
from hillfield.model import RequestFailure
from hillfield.routing.requests import Arrival

# Rank of a node that has not joined the fleet: it neither lets a trial run
# nor writes to the store.
UNRANKED: Final = maxsize
SERVED: Final = 'answered as often as targets exited, at last'
SERVED_BEFORE: Final = 'answered as often a short while ago'
SERVED_ELSEWHERE: Final = 'answered as often, at other nodes too'
MILLISECONDS: Final = 1000

FindingsListener = Callable[[Findings], None]


class CrashTracker:
    """Track requests that crash targets; each node decides by itself.

    `on_findings` is called with findings of this node that are to be sent to
    all other nodes.
    """

    def __init__(self, key: bytes, journal: Journal) -> None:
        """Start without cases; `key` is the key of the cluster."""
        self.registry = CrashRegistry()
        self.on_findings: FindingsListener = _ignore_findings
        self._printer = Fingerprinter(key)
        self._served = ServedRequests()
        self._journal = journal
        self._core: Core | None = None
        self._ranked_among: frozenset[str] = frozenset()
        self._ranks: dict[bytes, int] = {}

    def join(self, core: Core) -> None:
        """Set the source of this node's record and of the live members."""
        self._core = core

    def identify(self, identity: RequestIdentity) -> bytes:
        """Return the fingerprint of a request."""
        return self._printer.compute(identity)

    def record_exit(self, target_exit: TargetExit) -> None:
        """Record an exit of this host's target, and report it to all nodes."""
        now = monotonic()
        core = self._core
        gate = '' if core is None else core.own.record.name
        rows = tuple(
            ExitRow(
                run.fingerprint,
                gate,
                target_exit.number,
                now - run.ended,
                run.lasted,
            )
            for run in target_exit.runs
        )
        self.merge(now, Findings(rows))
        self.on_findings(Findings(rows))

    def record_answered(self, arrival: Arrival) -> None:
        """Record that this host's target answered a request and kept running."""
        fingerprint = arrival.fingerprint
        now = monotonic()
        self._served.record(now, fingerprint)
        case = self.registry.cases.get(fingerprint)
        if case is None or not case.exits:
            return
        self._report_answers(now, fingerprint, (now,))
        if is_outweighed(self.registry, fingerprint):
            self.clear(fingerprint, f'{SERVED}: {_describe(arrival)}')

    def clear(self, fingerprint: bytes, reason: str) -> bool:
        """Mark a request as harmless at all nodes; False if it is unknown."""
        if not self.registry.clear(monotonic(), fingerprint):
            return False
        detail = f'{fingerprint.hex()} {reason}'
        self._record(EventCode.CRASHING_REQUEST_CLEARED, detail)
        self.on_findings(Findings(clears=(ClearRow(fingerprint, 0),)))
        return True

    def merge(self, now: float, received: Findings) -> None:
        """Merge findings of another node or of the store."""
        for fingerprint in self.registry.merge(now, received):
            case = self.registry.cases[fingerprint]
            seen = ' '.join(f'{gate}/{number}' for gate, number in case.exits)
            detail = f'{fingerprint.hex()} by exits at {seen}'
            self._record(EventCode.CRASHING_REQUEST_FOUND, detail)
            moments = self._served.list_answers(now, fingerprint)
            self._report_answers(now, fingerprint, moments)
            if is_outweighed(self.registry, fingerprint):
                self.clear(fingerprint, SERVED_BEFORE)
        for answered in list_answered(received):
            if is_outweighed(self.registry, answered):
                self.registry.clear(now, answered)
                detail = f'{answered.hex()} {SERVED_ELSEWHERE}'
                self._record(EventCode.CRASHING_REQUEST_CLEARED, detail)

    def get_rank(self, fingerprint: bytes) -> int:
        """Return this node's rank among all for a request (rendezvous).

        The node of rank 0 lets the request run for a trial; ranks 0 and 1
        write it to the store. Ranks are cached, since they are read often and
        change only with the set of live nodes.
        """
        core = self._core
        if core is None:
            return UNRANKED
        excess = len(self._ranks) > MAXIMUM_CASES
        if excess or core.state_table.alive is not self._ranked_among:
            self._ranked_among = core.state_table.alive
            self._ranks.clear()
        rank = self._ranks.get(fingerprint)
        if rank is None:
            rank = _rank_among(core, fingerprint.hex())
            self._ranks[fingerprint] = rank
        return rank

    def list_others(self) -> list[NodeRecord]:
        """Return the live nodes other than this one."""
        core = self._core
        return [] if core is None else list_others(core)

    def is_near(self, other: NodeRecord) -> bool:
        """Return whether a node is in the failure domain of this one."""
        core = self._core
        if core is None:
            return False
        here = core.own.record.locality.failure_domain
        return other.locality.failure_domain == here

    def _report_answers(
        self,
        now: float,
        fingerprint: bytes,
        moments: tuple[float, ...],
    ) -> None:
        """Add answers of this host's target, and report them to all nodes."""
        core = self._core
        if core is None or not moments:
            return
        gate = core.own.record.name
        rows = tuple(
            AnswerRow(fingerprint, gate, _number(moment), now - moment)
            for moment in moments
        )
        self.registry.merge(now, Findings(answers=rows))
        self.on_findings(Findings(answers=rows))

    def _record(self, code: EventCode, detail: str) -> None:
        self._journal.record(Occurrence(code, detail=detail))


class GateGuard:
    """Implement `CrashGuard` at the gate, the last check before a target."""

    def __init__(self, tracker: CrashTracker) -> None:
        """Decide by the cases of this node."""
        self._tracker = tracker

    def compute_fingerprint(self, identity: RequestIdentity) -> bytes:
        """Return the fingerprint of a request."""
        return self._tracker.identify(identity)

    def find_crash_refusal(
        self,
        fingerprint: bytes,
        *,
        may_have_run: bool,
    ) -> RequestFailure | None:
        """Return why a request is refused; None if it may be sent."""
        cases = self._tracker.registry.cases
        case = cases.get(fingerprint) if cases else None
        if case is None or not case.harmful:
            return None
        now = monotonic()
        if not case.is_refused(now) and self._is_allowed_trial(now, case):
            return None
        return describe_refusal(
            fingerprint,
            (gate for gate, _ in case.exits),
            case.compute_wait(now),
            may_have_run=may_have_run,
        )

    def _is_allowed_trial(self, now: float, case: Case) -> bool:
        """Accept a trial: the node of its caller has already allowed it."""
        return True


class CallerGuard(GateGuard):
    """Implement `CrashGuard` where requests begin.

    When the refusal expires, one node of the fleet lets the request run once,
    since a newer release of the target may no longer crash on it.
    """

    def _is_allowed_trial(self, now: float, case: Case) -> bool:
        if self._tracker.get_rank(case.fingerprint):
            return False
        return case.claim_trial(now)


def _number(moment: float) -> int:
    """Return the number of an answer: its monotonic milliseconds."""
    return int(moment * MILLISECONDS)


def _describe(arrival: Arrival) -> str:
    """Return which request was answered, and where it began."""
    plan = arrival.plan
    return f'request {arrival.request}, service {plan.origin}'


def _ignore_findings(received: Findings) -> None:
    """Drop findings; no recipient is set yet."""


def _rank_among(core: Core, request: str) -> int:
    own_rank = compute_rank(request, core.own.record.name)
    ranks = (compute_rank(request, other.name) for other in list_others(core))
    return sum(rank < own_rank for rank in ranks)
