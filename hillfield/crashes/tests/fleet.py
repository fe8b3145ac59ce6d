"""A simulated fleet whose targets exit, with the real registry at each node."""

from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

from msgspec.structs import replace

from hillfield.crashes import CrashRegistry, LostRuns, Run, ServedRequests
from hillfield.crashes.messages import (
    AnswerRow,
    ClearRow,
    ExitRow,
    Findings,
)
from hillfield.crashes.registry import is_outweighed, list_answered
from hillfield.model import Address, TargetId

STEP = 0.01
WORK = 0.2
TIME_TO_EXIT = 0.06
SLOTS = 4
# Seconds from an exit until its gate has detected it, and until other nodes
# receive the report.
DETECTION_DELAY = 0.05
DELIVERY_DELAY = 0.01
RETRY_DELAY = 0.25
MAXIMUM_TRIES = 3


@dataclass(eq=False)
class Request:
    """Hold a request; a `deadly` one makes each target exit that runs it."""

    name: bytes
    deadly: bool = False
    tries: int = 0
    began: float = 0
    ends: float = 0
    sent: int = 0


@dataclass
class Host:
    """Hold a node, and its target while that runs; or it `bears` all requests."""

    name: str
    domain: int
    registry: CrashRegistry = field(default_factory=CrashRegistry)
    lost: LostRuns = field(default_factory=LostRuns)
    served: ServedRequests = field(default_factory=ServedRequests)
    next_comparison: float = 0
    running: list[Request] = field(default_factory=list)
    restarts_at: float = 0
    incarnation: int = 0
    bears: bool = False

    @property
    def target(self):
        return TargetId('s', Address(self.name, 1), self.incarnation)


class Fleet:
    """Simulate callers and targets; `lost` is a fraction of datagrams."""

    def __init__(self, size=30, domains=3, seed=1, lost=0.02):
        self.random = Random(seed)
        self.now = 100.0
        self.lost = lost
        numbers = range(size)
        self.hosts = [Host(f'h{each}', each % domains) for each in numbers]
        self.waiting: deque[Any] = deque()
        self.mail: list[Any] = []
        self.crashes: Counter[bytes] = Counter()
        self.third_exits: dict[bytes, float] = {}
        self.late_exits: Counter[bytes] = Counter()
        self.refused: Counter[bytes] = Counter()
        self.served: Counter[bytes] = Counter()
        self.number = 0

    def ask(self, name, *, deadly=False):
        """Let a caller send a request to some node."""
        self._admit(Request(name, deadly))

    def exit_targets(self, hosts, seconds=3.0):
        """Make targets exit for a reason of their own."""
        for host in hosts:
            self._exit(host, seconds)

    def play(self, seconds, act):
        """Let time pass; `act` is called at each step."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP
            act(self)
            self._work()
            self._deliver()
            self._compare()
            while self.waiting and self.waiting[0][0] <= self.now:
                self._admit(self.waiting.popleft()[1])

    def restart_nodes(self, hosts):
        """Let nodes lose all their state."""
        for host in hosts:
            host.registry = CrashRegistry()
            host.lost = LostRuns()
            host.served = ServedRequests()

    def _admit(self, request):
        entry = self.random.choice(self.hosts)
        request.tries += 1
        request.sent = 0
        if entry.registry.is_refused(self.now, request.name):
            self.refused[request.name] += 1
            return
        self._send(request)

    def _send(self, request):
        free = [
            host
            for host in self.hosts
            if host.restarts_at <= self.now and len(host.running) < SLOTS
        ]
        if not free:
            self._fail(request)
            return
        gate = self.random.choice(free)
        if gate.registry.is_refused(self.now, request.name):
            self.refused[request.name] += 1
            return
        request.sent += 1
        request.began = self.now
        duration = (
            TIME_TO_EXIT
            if request.deadly
            else self.random.expovariate(1 / WORK)
        )
        request.ends = self.now + duration
        gate.running.append(request)
        third_exit = self.third_exits.get(request.name)
        if third_exit is not None and self.now > third_exit + 3:
            self.late_exits[request.name] += 1

    def _work(self):
        for host in self.hosts:
            done = [each for each in host.running if each.ends <= self.now]
            if any(self._is_deadly(host, each) for each in done):
                self._exit(host, 3 + self.random.random())
                continue
            for request in done:
                host.running.remove(request)
                self._serve(host, request)

    def _is_deadly(self, host, request):
        return request.deadly and not host.bears

    def _serve(self, host, request):
        self.served[request.name] += 1
        host.served.record(self.now, request.name)
        case = host.registry.cases.get(request.name)
        if case is not None and case.exits:
            self._report_answers(host, request.name, (self.now,))

    def _report_answers(self, host, name, moments):
        rows = tuple(
            AnswerRow(name, host.name, int(each * 1000), self.now - each)
            for each in moments
        )
        findings = Findings(answers=rows)
        host.registry.merge(self.now, findings)
        if rows:
            self._send_findings(host, findings, self.now)
            self._send_findings(host, findings, self.now + 0.3, self.now)
        if is_outweighed(host.registry, name):
            self._clear(host, name)

    def _clear(self, host, name):
        host.registry.clear(self.now, name)
        findings = Findings(clears=(ClearRow(name, 0),))
        self._send_findings(host, findings, self.now)
        self._send_findings(host, findings, self.now + 0.3, self.now)

    def _exit(self, host, seconds):
        target = host.target
        running = tuple(host.running)
        host.running.clear()
        host.restarts_at = self.now + seconds
        host.incarnation += 1
        for request in running:
            lasted = self.now - request.began
            host.lost.add(Run(request.name, target, self.now, lasted))
            if request.deadly:
                self._count(request)
        self.number += 1
        target_exit = host.lost.build_exit(self.now, self.number, target)
        if target_exit is not None:
            self._report_exit(host, target_exit)
        for lost_request in running:
            if lost_request.sent < 2:
                self._send(lost_request)
            else:
                self._fail(lost_request)

    def _count(self, request):
        self.crashes[request.name] += 1
        if self.crashes[request.name] == 3:
            self.third_exits[request.name] = self.now

    def _report_exit(self, host, target_exit):
        rows = tuple(
            ExitRow(
                run.fingerprint,
                host.name,
                target_exit.number,
                0,
                run.lasted,
            )
            for run in target_exit.runs
        )
        findings = Findings(rows)
        detected_at = self.now + DETECTION_DELAY
        self.mail.append((detected_at, host, findings, self.now))
        self._send_findings(host, findings, detected_at, self.now)
        self._send_findings(host, findings, detected_at + 0.3, self.now)

    def _send_findings(self, host, findings, when, since=None):
        for other in self.hosts:
            if other is not host and self.random.random() >= self.lost:
                self.mail.append(
                    (when + DELIVERY_DELAY, other, findings, since or when),
                )

    def _deliver(self):
        due = [mail for mail in self.mail if mail[0] <= self.now]
        self.mail = [mail for mail in self.mail if mail[0] > self.now]
        for _, host, findings, since in due:
            passed = self.now - since
            rows = tuple(replace(row, ago=passed) for row in findings.exits)
            clears = tuple(replace(row, ago=passed) for row in findings.clears)
            answers = tuple(
                replace(row, ago=row.ago + passed) for row in findings.answers
            )
            self._take(host, Findings(rows, clears, answers))

    def _take(self, host, findings):
        for name in host.registry.merge(self.now, findings):
            moments = host.served.list_answers(self.now, name)
            self._report_answers(host, name, moments)
        for answered in list_answered(findings):
            if is_outweighed(host.registry, answered):
                host.registry.clear(self.now, answered)

    def _compare(self):
        """Let nodes exchange the partitions that differ, each now and then."""
        for host in self.hosts:
            if host.next_comparison > self.now or not host.registry.cases:
                continue
            host.next_comparison = self.now + self.random.uniform(0.5, 1.4)
            other = self.random.choice(self.hosts)
            partitions = find_differing(host.registry, other.registry)
            self._take(host, other.registry.export(self.now, partitions))
            self._take(other, host.registry.export(self.now, partitions))

    def _fail(self, request):
        if request.tries < MAXIMUM_TRIES:
            self.waiting.append((self.now + RETRY_DELAY, request))


def find_differing(one, other):
    """Return the partitions in which two registries differ."""
    pairs = zip(one.list_digests(), other.list_digests(), strict=True)
    return [
        partition
        for partition, (own, theirs) in enumerate(pairs)
        if own != theirs
    ]
