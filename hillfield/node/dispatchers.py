"""The dispatchers of the services that this node serves."""

from collections.abc import Callable
from typing import Protocol

from hillfield.clocks import monotonic
from hillfield.fleet import NodeEvidence
from hillfield.fleet.evidence_view import EvidenceView
from hillfield.fleet.view import TargetView
from hillfield.loadreports import LoadReport
from hillfield.model import ServicePolicy, Target, TargetId, TargetState
from hillfield.routing import Dispatcher, DispatcherTable
from hillfield.routing.requests import Decision


class PolicySource(Protocol):
    """Provide the policies of services."""

    @property
    def generation(self) -> int:
        """Return a number that increases when any policy changes."""

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the policy of a service, if it is known."""


class DispatcherRegistry:
    """Implement `Dispatchers`; create dispatchers at the first request.

    A node holds dispatchers only for the services that its callers request,
    so its cost depends on its own traffic and not on the number of services
    in the fleet.
    """

    def __init__(
        self,
        table: DispatcherTable,
        configuration: PolicySource,
    ) -> None:
        """Start without services."""
        self.table = table
        self._configuration = configuration
        self._retire: Callable[[TargetId], None] = _ignore_retired
        self._targets: TargetView | None = None
        self._findings: EvidenceView | None = None
        self._known: dict[str, frozenset[TargetId]] = {}
        self._generation = 0

    def connect(
        self,
        targets: TargetView,
        findings: EvidenceView,
        retire: Callable[[TargetId], None],
    ) -> None:
        """Set the fleet's views; `retire` closes idle connections to a target."""
        self._targets = targets
        self._findings = findings
        self._retire = retire

    def for_service(self, service: str) -> Dispatcher:
        """Return the dispatcher of a service, created if it is missing."""
        if service not in self._known:
            self._set_up(service)
        return self.table.for_service(service)

    def apply_configuration(self) -> None:
        """Apply changed policies to all dispatchers."""
        if self._configuration.generation == self._generation:
            return
        self._generation = self._configuration.generation
        for service in self._known:
            self._adopt_policy(service)

    def apply_targets(self, service: str, targets: tuple[Target, ...]) -> None:
        """Apply a change of a service's targets."""
        if service not in self._known:
            return
        staying = frozenset(
            target.id
            for target in targets
            if target.state != TargetState.DRAINING
        )
        for gone in self._known[service] - staying:
            self._retire(gone)
        self._known[service] = staying
        self.table.adopt_targets(monotonic(), service, targets)

    def apply_evidence(self, received: NodeEvidence) -> None:
        """Apply another node's evidence about targets."""
        self.table.adopt_evidence(
            monotonic(),
            received.node,
            received.domain,
            received.evidence,
        )

    def apply_report(
        self,
        now: float,
        report: LoadReport,
    ) -> tuple[Decision, ...]:
        """Apply a gate's load report; return decisions on waiting requests."""
        dispatcher = self.table.find(report.service)
        if dispatcher is None:
            return ()
        dispatcher.adopt_report(now, report)
        return dispatcher.poll(now) if report.free > 0 else ()

    def compute_repeats_share(self, now: float, service: str) -> float | None:
        """Return what gates have left of a service's bound on repeats."""
        dispatcher = self.table.find(service)
        if dispatcher is None:
            return None
        return dispatcher.compute_repeats_share(now)

    def _set_up(self, service: str) -> None:
        self._known[service] = frozenset()
        self._adopt_policy(service)
        if self._targets is not None:
            self.apply_targets(service, self._targets.targets_of(service))
        if self._findings is not None:
            for received in self._findings.evidence():
                self.apply_evidence(received)

    def _adopt_policy(self, service: str) -> None:
        policy = self._configuration.policy(service)
        if policy is not None:
            self.table.adopt_policy(monotonic(), policy)


def _ignore_retired(target: TargetId) -> None:
    """Do nothing; no target is known before the fleet is joined."""
