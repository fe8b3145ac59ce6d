"""Decisions for the requests of one service at one node."""

from random import Random

from hillfield.detection.detector import Detector
from hillfield.events import EventCode, Occurrence
from hillfield.loadreports.reports import LoadReport
from hillfield.model import Locality, ServicePolicy, Target
from hillfield.routing.admission import admit, serve_queue
from hillfield.routing.explanations import RoutingExplanation, explain_service
from hillfield.routing.feedback import apply_report
from hillfield.routing.hedging import Hedging
from hillfield.routing.recovery import finish, serve_retries
from hillfield.routing.requests import (
    Arrival,
    Decision,
    Done,
    Observation,
)
from hillfield.routing.service import open_service
from hillfield.routing.subsets import choose_subset, compute_connection_share


class Dispatcher(Hedging):
    """Decide on admission, targets, retries, hedges and refusals."""

    def __init__(
        self,
        policy: ServicePolicy,
        locality: Locality,
        detector: Detector,
        random: Random,
    ) -> None:
        """Start without targets; `random` is seeded by the caller."""
        super().__init__(open_service(policy, locality, detector, random))
        self._locality = locality
        self._overloaded = False
        self._retries_exhausted = False

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Use a new policy for all further decisions."""
        self._service.policy = policy
        self._service.budget.adopt(policy)
        self.detector.adopt_policy(now, policy)

    def adopt_targets(
        self,
        now: float,
        targets: tuple[Target, ...],
        nodes: int = 1,
    ) -> None:
        """Replace the announced targets and choose this node's subset of them.

        `nodes` is how many nodes share the targets' connection limits.
        """
        subset = choose_subset(targets, self._locality, nodes)
        self.detector.adopt_targets(now, subset)
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

    def admit(self, now: float, arrival: Arrival) -> Decision:
        """Decide on a new request: send it, queue it or refuse it."""
        return admit(self._service, now, arrival)

    def finish(
        self,
        now: float,
        attempt: int,
        observation: Observation,
    ) -> Decision:
        """End an attempt and decide how its request continues.

        `Wait` means that the next decision on the request follows from `poll`
        or from the end of its other attempt. For an attempt that has already
        ended, `Done` with an empty request is returned and nothing changes.
        """
        found = self._service.table.find(attempt)
        if found is None:
            return Done('')
        return finish(self._service, now, found, observation)

    def cancel(self, now: float, request: str) -> None:
        """Drop a queued request whose caller has disconnected."""
        self._service.drop(request)

    def poll(self, now: float) -> tuple[Decision, ...]:
        """Return decisions on queued requests; call after finish, in ticks."""
        service = self._service
        if not (service.count_waiting() or service.pending_refusals):
            return ()
        service.selector.pauses.end(now)
        pending = tuple(service.pending_refusals)
        service.pending_refusals.clear()
        retried = serve_retries(service, now)
        return (*pending, *retried, *serve_queue(service, now))

    def next_due(self) -> float | None:
        """Return when `poll` may send waiting requests; None: after events.

        That is when the next pause of a target ends. Other waits end with
        `finish`, or are refused in ticks.
        """
        if not self._service.count_waiting():
            return None
        return self._service.selector.pauses.next_end()

    def is_idle(self) -> bool:
        """Return whether no request is waiting or in flight."""
        table = self._service.table
        return not (table.requests or table.attempts)

    def adopt_report(self, now: float, report: LoadReport) -> None:
        """Apply the free capacity of a target that its gate reported."""
        apply_report(self._service, now, report)

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return the events since the last tick; call every 0.1 s."""
        occurrences = list(self.detector.tick(now))
        self._service.budget.advance(now, self._service.policy)
        name = self._service.policy.service
        overloaded = self._service.count_waiting() > 0
        if overloaded is not self._overloaded:
            self._overloaded = overloaded
            code = EventCode.OVERLOAD_ENDED
            if overloaded:
                code = EventCode.OVERLOAD_STARTED
            occurrences.append(Occurrence(code, service=name))
        starved = not self._service.budget.retries.can_consume()
        if starved and not self._retries_exhausted:
            code = EventCode.RETRY_BUDGET_EMPTY
            occurrences.append(Occurrence(code, service=name))
        self._retries_exhausted = starved
        return tuple(occurrences)

    def explain(self, now: float) -> RoutingExplanation:
        """Return the present state of the service's decisions."""
        return explain_service(self._service, now)
