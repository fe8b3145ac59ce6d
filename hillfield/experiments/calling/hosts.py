"""Hosts with a node and a target each, and the network between them."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Final

from msgspec.structs import replace

from hillfield.detection.pathdetector import PathDetector
from hillfield.events import ListJournal
from hillfield.experiments.calling.clock import Clock
from hillfield.experiments.calling.courses import Course, Hop
from hillfield.experiments.calling.deployment import Deployment
from hillfield.experiments.calling.repeats import TargetArrival
from hillfield.experiments.calling.targets import ModelTarget, Run
from hillfield.gate import Gate, ServedIncarnation
from hillfield.gate.calls import Call
from hillfield.hostroutes.node_policy import make_policy
from hillfield.loadreports import LoadReport, ReportPacer
from hillfield.model import (
    Address,
    Locality,
    RepeatKind,
    Target,
    TargetId,
)
from hillfield.routing import Dispatcher, DispatcherTable

FLOOR: Final = 0.7
TICK: Final = 0.2
# Seconds before the first request at which nodes have started.
STARTED: Final = -12.0
GATE_TICK: Final = 0.1
# Seconds one way within a failure domain and between two.
NEAR: Final = 0.0007
FAR: Final = 0.0015
# Bytes of a head each way, and of a load report, with those of TCP and IP.
HEAD: Final = 500
REPORT: Final = 100
PORT: Final = 80
CONNECTIONS: Final = 360


@dataclass(slots=True)
class Network:
    """Find hosts, and count what goes between failure domains.

    `declined` counts the requests that gates did not take, `seen` holds those
    that have reached a target, `asked` when each service was asked for.
    """

    clock: Clock
    hosts: 'dict[Address, Host]'
    crossing: Counter[str]
    declined: int = 0
    seen: set[str] = field(default_factory=set)
    asked: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def find_host(self, address: Address) -> 'Host':
        """Return the host of a target."""
        return self.hosts[address]

    def find_delay(self, one: 'Host', other: 'Host') -> float:
        """Return the seconds from one host to another."""
        return NEAR if one.domain == other.domain else FAR

    def note_bytes(self, one: 'Host', other: 'Host', size: int) -> None:
        """Count what a request or an answer brings across."""
        if one.domain != other.domain:
            self.crossing['requests'] += HEAD + size

    def note_asked(self, service: str) -> None:
        """Note that a caller asks for a service."""
        self.asked[service].append(self.clock.now)

    def spread(self, host: 'Host', report: LoadReport, far: bool) -> None:
        """Bring a report to the nodes of the own domain, or of the others."""
        for other in self.hosts.values():
            if (other.domain != host.domain) is far:
                self.clock.call_later(
                    FAR if far else NEAR,
                    partial(other.take_report, report),
                )
        if far:
            self.crossing['reports'] += 2 * REPORT


class Host:
    """Run the decisions of one node, and its target."""

    def __init__(
        self,
        network: Network,
        target: Target,
        deployment: Deployment,
        random: Random,
    ) -> None:
        """Start with a target in its seat."""
        self.network = network
        self.clock = network.clock
        self.name = str(target.id)
        self.domain = target.locality.failure_domain
        self.service = target.id.service
        self.courses: dict[str, Course] = {}
        self.hops: dict[str, Hop] = {}
        self.arrivals: list[TargetArrival] = []
        self.gate = Gate(ListJournal(), deployment.bound)
        self._retry_ratio = deployment.bound.ratio
        self.gate.serve(ServedIncarnation(target, self.name))
        self.target = ModelTarget(
            self.clock,
            deployment.spells,
            random,
            self._call,
        )
        self._kinds = {kind.route: kind for kind in deployment.kinds}
        self._table = DispatcherTable(target.locality, PathDetector, random)
        self.gate.watch_shares(partial(_find_share, self._table))
        self._pacer = ReportPacer()
        self._slots = target.slots
        self._calls = 0
        self.gate.listener = self._report
        self.gate.on_answer = self._pacer.record_answer

    def join(self, targets: tuple[Target, ...]) -> None:
        """Learn of all targets, and begin to tick."""
        self._table.adopt_nodes(0, len(targets))
        policy = make_policy(self._retry_ratio, FLOOR)
        services = sorted({target.id.service for target in targets})
        for service in services:
            own = tuple(one for one in targets if one.id.service == service)
            if service == self.service:
                self.gate.adopt_targets(STARTED, len(own))
            dispatcher = self._table.for_service(service)
            dispatcher.adopt_policy(0, policy)
            self._table.adopt_targets(0, service, own)
        self._tick()
        self._tick_gate()

    def find_dispatcher(self, service: str) -> Dispatcher:
        """Return the decisions of a service here."""
        return self._table.for_service(service)

    def ask(
        self,
        route: str,
        name: str,
        deadline: float,
        end: Callable[[str], None],
    ) -> None:
        """Begin a request of a caller of this host."""
        Course(self, self._kinds[route], name, deadline, end).start()

    def poll(self, dispatcher: Dispatcher) -> None:
        """Move on what waits at this node."""
        for verdict in dispatcher.poll(self.clock.now):
            course = self.courses.get(verdict.request)
            if course is not None:
                course.take(verdict)

    def poll_gate(self) -> None:
        """Move on what waits at the gate."""
        for verdict in self.gate.poll(self.clock.now):
            hop = self.hops.get(verdict.request)
            if hop is not None:
                hop.obey(verdict)

    def count_arrival(self, course: Course) -> bool:
        """Note that the target gets a request; return whether it is a repeat."""
        seen = course.name in self.network.seen
        self.network.seen.add(course.name)
        is_repeat = seen or course.is_called_by_repeat
        service = course.kind.service
        self.arrivals.append(
            TargetArrival(self.clock.now, course.name, service, is_repeat),
        )
        return is_repeat

    def take_report(self, report: LoadReport) -> None:
        """Take in what a gate tells."""
        dispatcher = self._table.find(report.service)
        if dispatcher is not None:
            dispatcher.adopt_report(self.clock.now, report)
            if report.free > 0:
                self.poll(dispatcher)

    def _call(
        self,
        route: str,
        left: float,
        run: Run,
    ) -> None:
        self._calls += 1
        name = f'{run.name}.{self.name}.{self._calls}'
        kind = self._kinds[route]
        call = Call(name, kind.service)
        if self.gate.record_call(self.clock.now, call):
            kind = replace(kind, repeat=RepeatKind.CALL)
        Course(
            self,
            kind,
            name,
            left,
            lambda how: run.end_call(how == 'ok'),
            run.is_repeat,
        ).start()

    def _report(self, now: float) -> None:
        report = self.gate.report(now)
        if report is None:
            return
        listeners = len(self.network.hosts) // 3
        self.take_report(report)
        if self._pacer.is_due_near(now, report, self._slots, listeners):
            self.network.spread(self, report, far=False)
        if self._pacer.is_due_far(now, report):
            self.network.spread(self, report, far=True)

    def _tick(self) -> None:
        now = self.clock.now
        self._table.tick(now)
        for service in self._table.services():
            self.poll(self._table.for_service(service))
        self.clock.call_later(TICK, self._tick)

    def _tick_gate(self) -> None:
        self.poll_gate()
        self.clock.call_later(GATE_TICK, self._tick_gate)


def make_target(
    service: str,
    domain: str,
    number: int,
    slots: int,
) -> Target:
    """Return the target of a host."""
    address = Address(f'10.0.0.{number}', PORT)
    place = Locality('r', domain, f'h{number}')
    return Target(TargetId(service, address, 1), place, slots, CONNECTIONS)


def _find_share(
    table: DispatcherTable, now: float, service: str
) -> float | None:
    return table.for_service(service).compute_repeats_share(now)
