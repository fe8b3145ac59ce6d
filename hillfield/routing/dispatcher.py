"""Decisions for the requests of one service at one node."""

from random import Random

from hillfield.detection.boards import Board
from hillfield.events import EventCode, Occurrence
from hillfield.loadreports.reports import LoadReport
from hillfield.model import Locality, ServicePolicy, Target
from hillfield.routing.admission import admit, serve_queue
from hillfield.routing.explanations import RoutingExplanation, explain_service
from hillfield.routing.hedging import Hedging
from hillfield.routing.recovery import finish, serve_retries
from hillfield.routing.requests import (
    Arrival,
    Done,
    Observation,
    Verdict,
)
from hillfield.routing.service import open_service
from hillfield.routing.feedback import apply_report
from hillfield.routing.subsets import compute_connection_share, choose_subset


class Dispatcher(Hedging):
    """Decide admission, target, retries, hedges and what callers are told."""

    def __init__(
        self,
        policy: ServicePolicy,
        locality: Locality,
        board: Board,
        random: Random,
    ) -> None:
        """Start without targets; `random` is seeded by the caller."""
        super().__init__(open_service(policy, locality, board, random))
        self._locality = locality
        self._overloaded = False
        self._retries_exhausted = False

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Take a new policy into force for all that is decided from now."""
        self._service.policy = policy
        self._service.budget.adopt(policy)
        self.board.adopt_policy(now, policy)

    def adopt_targets(
        self,
        now: float,
        targets: tuple[Target, ...],
        nodes: int = 1,
    ) -> None:
        """Take all announced targets of the service; use this node's subset.

        `nodes` is how many nodes share the targets' connection limits.
        """
        subset = choose_subset(targets, self._locality, nodes)
        self.board.adopt_targets(now, subset)
        self._service.selector.adopt_allowances(
            {
                target.id: compute_connection_share(
                    target,
                    nodes,
                    len(subset),
                    len(targets),
                )
                for target in subset
            },
        )

    def admit(self, now: float, arrival: Arrival) -> Verdict:
        """Decide on a new request: send it, queue it or refuse it."""
        return admit(self._service, now, arrival)

    def finish(
        self,
        now: float,
        attempt: int,
        observation: Observation,
    ) -> Verdict:
        """End an attempt and decide what becomes of its request.

        `Wait` means that the caller is still owed a verdict: by `poll`, or
        by the end of a hedge that still lives. An attempt that has ended
        already gives `Done` without a request and changes nothing.
        """
        found = self._service.table.find(attempt)
        if found is None:
            return Done('')
        return finish(self._service, now, found, observation)

    def leave(self, now: float, request: str) -> None:
        """Forget a request whose caller went away."""
        self._service.cancel(request)

    def poll(self, now: float) -> tuple[Verdict, ...]:
        """Return verdicts for queued requests; call after finish, in ticks."""
        service = self._service
        if not (service.count_waiting() or service.pending_refusals):
            return ()
        service.selector.pauses.end(now)
        pending = tuple(service.pending_refusals)
        service.pending_refusals.clear()
        retried = serve_retries(service, now)
        return (*pending, *retried, *serve_queue(service, now))

    def next_due(self) -> float | None:
        """Return when `poll` may send what waits; None: at an event only.

        That is the end of a pause; other waits end by `finish` or are given
        up in ticks.
        """
        if not self._service.count_waiting():
            return None
        return self._service.selector.pauses.next_end()

    def is_idle(self) -> bool:
        """Tell whether no request waits or is at a target."""
        table = self._service.table
        return not (table.requests or table.attempts)

    def adopt_report(self, now: float, report: LoadReport) -> None:
        """Take what the gate of a target tells of its room."""
        apply_report(self._service, now, report)

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return what has changed since the last tick; call each 0.1 s."""
        occurrences = list(self.board.tick(now))
        self._service.budget.advance(now, self._service.policy)
        name = self._service.policy.service
        overloaded = self._service.count_waiting() > 0
        if overloaded is not self._overloaded:
            self._overloaded = overloaded
            code = EventCode.OVERLOAD_ENDED
            if overloaded:
                code = EventCode.OVERLOAD_STARTED
            occurrences.append(Occurrence(code, service=name))
        starved = not self._service.budget.retries.can_take()
        if starved and not self._retries_exhausted:
            code = EventCode.RETRY_BUDGET_EMPTY
            occurrences.append(Occurrence(code, service=name))
        self._retries_exhausted = starved
        return tuple(occurrences)

    def explain(self, now: float) -> RoutingExplanation:
        """Explain the present state of the service's decisions."""
        return explain_service(self._service, now)
