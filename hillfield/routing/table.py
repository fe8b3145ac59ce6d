"""The dispatchers of all services at one node."""

from collections.abc import Callable
from itertools import chain
from random import Random
from typing import Final

from hillfield.detection.detector import Detector
from hillfield.detection.evidence import Evidence
from hillfield.events import Occurrence
from hillfield.model import Locality, ServicePolicy, Target
from hillfield.routing.dispatcher import Dispatcher
from hillfield.routing.explanations import RoutingExplanation
from hillfield.routing.requests import Decision

# Seconds after which a lower number of nodes counts.
FEWER_NODES_DELAY: Final = 7200.0
DetectorFactory = Callable[[ServicePolicy, Locality], Detector]
DispatcherFactory = Callable[
    [ServicePolicy, Locality, Detector, Random],
    Dispatcher,
]

# Seconds without use after which an idle service is ticked less often, and the
# number of ticks of which it then gets one.
QUIET_AFTER: Final = 30.0
QUIET_TICKS: Final = 10


class DispatcherTable:
    """Hold the dispatchers, created as services become known."""

    def __init__(
        self,
        locality: Locality,
        detector_factory: DetectorFactory,
        random: Random,
        dispatcher_factory: DispatcherFactory = Dispatcher,
    ) -> None:
        """Create a table without services.

        `detector_factory` is `HealthDetector`, except in measurements.
        """
        self._locality = locality
        self._detector_factory = detector_factory
        self._dispatcher_factory = dispatcher_factory
        self._random = random
        self._nodes = 1
        self._dispatchers: dict[str, Dispatcher] = {}
        self._recently_asked: set[str] = set()
        self._used: dict[str, float] = {}
        self._tick_number = 0
        self._targets: dict[str, tuple[Target, ...]] = {}
        self._reported_services: dict[str, frozenset[str]] = {}
        self._node_count_updated: float = 0

    def for_service(self, service: str) -> Dispatcher:
        """Return the dispatcher; it refuses requests if no target is known."""
        self._recently_asked.add(service)
        found = self._dispatchers.get(service)
        if found is None:
            policy = ServicePolicy(service)
            detector = self._detector_factory(policy, self._locality)
            found = self._dispatcher_factory(
                policy,
                self._locality,
                detector,
                self._random,
            )
            self._dispatchers[service] = found
        return found

    def find(self, service: str) -> Dispatcher | None:
        """Return the dispatcher if there is one.

        Unlike `for_service`, this doesn't count as use of the service.
        """
        return self._dispatchers.get(service)

    def services(self) -> tuple[str, ...]:
        """Return the names of the services that have a dispatcher."""
        return tuple(self._dispatchers)

    def adopt_policy(self, now: float, policy: ServicePolicy) -> None:
        """Use a service's new policy."""
        self.for_service(policy.service).adopt_policy(now, policy)

    def adopt_nodes(self, now: float, nodes: int) -> None:
        """Set the number of nodes that share the connection limits.

        A lower number counts only after two hours, since regions are at times
        partitioned from each other for an hour.
        """
        if nodes >= self._nodes:
            self._node_count_updated = now
        # Nodes behind a partition still hold their connections.
        hidden = (
            nodes < self._nodes
            and now - self._node_count_updated < FEWER_NODES_DELAY
        )
        if hidden or nodes == self._nodes:
            return
        self._nodes = max(1, nodes)
        for service, targets in self._targets.items():
            dispatcher = self.for_service(service)
            dispatcher.adopt_targets(now, targets, self._nodes)

    def adopt_targets(
        self,
        now: float,
        service: str,
        targets: tuple[Target, ...],
    ) -> None:
        """Replace the announced targets of a service."""
        self._targets[service] = targets
        dispatcher = self.for_service(service)
        dispatcher.adopt_targets(now, targets, self._nodes)

    def adopt_evidence(
        self,
        now: float,
        node: str,
        domain: str,
        evidence: tuple[Evidence, ...],
    ) -> None:
        """Replace all evidence received from another node."""
        by_service: dict[str, list[Evidence]] = {
            service: [] for service in self._reported_services.get(node, ())
        }
        for entry in evidence:
            by_service.setdefault(entry.target.service, []).append(entry)
        self._reported_services[node] = frozenset(
            piece.target.service for piece in evidence
        )
        if not evidence:
            self._reported_services.pop(node)
        for service, pieces in by_service.items():
            if service in self._dispatchers:
                detector = self.for_service(service).detector
                detector.adopt_evidence(now, node, domain, tuple(pieces))

    def tick(self, now: float) -> tuple[Occurrence, ...]:
        """Return the events since the last tick; call every 0.1 s.

        Idle services that have not been used for a while are ticked in
        rotation, each about once a second.
        """
        self._used.update(dict.fromkeys(self._recently_asked, now))
        self._recently_asked.clear()
        self._tick_number = (self._tick_number + 1) % QUIET_TICKS
        return tuple(
            chain.from_iterable(
                dispatcher.tick(now)
                for number, (service, dispatcher) in enumerate(
                    self._dispatchers.items(),
                )
                if number % QUIET_TICKS == self._tick_number
                or now - self._used[service] < QUIET_AFTER
                or not dispatcher.is_idle()
            ),
        )

    def poll(self, now: float) -> tuple[Decision, ...]:
        """Return decisions for queued requests of all services."""
        return tuple(
            chain.from_iterable(
                dispatcher.poll(now)
                for dispatcher in self._dispatchers.values()
            ),
        )

    def evidence(self, now: float) -> tuple[Evidence, ...]:
        """Return the evidence to send to other nodes."""
        return tuple(
            chain.from_iterable(
                dispatcher.detector.evidence(now)
                for dispatcher in self._dispatchers.values()
            ),
        )

    def explain(self, now: float, service: str) -> RoutingExplanation | None:
        """Return the state of a service's decisions; None if it's unknown."""
        found = self._dispatchers.get(service)
        return None if found is None else found.explain(now)
