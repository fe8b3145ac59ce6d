"""The dispatchers of the services that this node serves."""

from collections.abc import Callable
from typing import Protocol

from hillfield.clocks import monotonic
from hillfield.fleet import NodeEvidence
from hillfield.fleet.findings import FindingsView
from hillfield.fleet.view import TargetView
from hillfield.loadreports import LoadReport
from hillfield.model import ServicePolicy, Target, TargetId, TargetState
from hillfield.routing import Dispatcher, DispatcherTable
from hillfield.routing.requests import Verdict


class PolicySource(Protocol):
    """Say how the traffic of services is treated."""

    @property
    def generation(self) -> int:
        """Return a number that grows when any policy changes."""

    def policy(self, service: str) -> ServicePolicy | None:
        """Return how a service's traffic is treated, if it is known."""


class ServiceDesk:
    """Implement `Dispatchers`: services are set up at their first request.

    A node decides only for the services that its callers ask for, so its
    cost follows its own traffic and not the number of services of the fleet.
    """

    def __init__(
        self,
        table: DispatcherTable,
        configuration: PolicySource,
    ) -> None:
        """Start without services."""
        self.table = table
        self._configuration = configuration
        self._retire: Callable[[TargetId], None] = _retire_nothing
        self._targets: TargetView | None = None
        self._findings: FindingsView | None = None
        self._known: dict[str, frozenset[TargetId]] = {}
        self._generation = 0

    def connect(
        self,
        targets: TargetView,
        findings: FindingsView,
        retire: Callable[[TargetId], None],
    ) -> None:
        """Take the fleet's view; `retire` closes idle connections."""
        self._targets = targets
        self._findings = findings
        self._retire = retire

    def for_service(self, service: str) -> Dispatcher:
        """Return the dispatcher of a service, set up when it is new."""
        if service not in self._known:
            self._set_up(service)
        return self.table.for_service(service)

    def follow_configuration(self) -> None:
        """Bring changed templates into force."""
        if self._configuration.generation == self._generation:
            return
        self._generation = self._configuration.generation
        for service in self._known:
            self._adopt_policy(service)

    def follow_targets(self, service: str, targets: tuple[Target, ...]) -> None:
        """Bring a service's changed targets into force."""
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

    def follow_evidence(self, told: NodeEvidence) -> None:
        """Take what another node tells of targets."""
        self.table.adopt_evidence(
            monotonic(),
            told.node,
            told.domain,
            told.evidence,
        )

    def follow_report(
        self,
        now: float,
        report: LoadReport,
    ) -> tuple[Verdict, ...]:
        """Take what a gate tells; return verdicts for those that waited."""
        dispatcher = self.table.find(report.service)
        if dispatcher is None:
            return ()
        dispatcher.adopt_report(now, report)
        return dispatcher.poll(now) if report.free > 0 else ()

    def _set_up(self, service: str) -> None:
        self._known[service] = frozenset()
        self._adopt_policy(service)
        if self._targets is not None:
            self.follow_targets(service, self._targets.targets_of(service))
        if self._findings is not None:
            for told in self._findings.evidence():
                self.follow_evidence(told)

    def _adopt_policy(self, service: str) -> None:
        policy = self._configuration.policy(service)
        if policy is not None:
            self.table.adopt_policy(monotonic(), policy)


def _retire_nothing(target: TargetId) -> None:
    """Do nothing: before the fleet is joined no target is known."""
