"""A fleet in modelled time whose targets end, each node with the real ledger."""

from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

from msgspec.structs import replace

from hillfield.crashes import CrashLedger, LostRuns, Run, ServedRequests
from hillfield.crashes.messages import ClearRow, EndRow, Findings
from hillfield.model import Address, TargetId

STEP = 0.01
WORK = 0.2
FUSE = 0.06
SLOTS = 4
# Seconds from an end until its gate has found it, and until others hear of it.
NOTICED = 0.05
TOLD = 0.01
COME_BACK = 0.25
TRIES = 3


@dataclass(eq=False)
class Request:
    """Hold a request; `deadly` ends each target that runs it."""

    name: bytes
    deadly: bool = False
    tries: int = 0
    began: float = 0
    ends: float = 0
    sent: int = 0


@dataclass
class Host:
    """Hold a node, and its target while that lives."""

    name: str
    domain: int
    ledger: CrashLedger = field(default_factory=CrashLedger)
    lost: LostRuns = field(default_factory=LostRuns)
    served: ServedRequests = field(default_factory=ServedRequests)
    asks: float = 0
    running: list[Request] = field(default_factory=list)
    away: float = 0
    life: int = 0

    @property
    def target(self):
        return TargetId('s', Address(self.name, 1), self.life)


class Fleet:
    """Play callers and targets; `lost` is a share of datagrams."""

    def __init__(self, size=30, domains=3, seed=1, lost=0.02):
        self.random = Random(seed)
        self.now = 100.0
        self.lost = lost
        numbers = range(size)
        self.hosts = [Host(f'h{each}', each % domains) for each in numbers]
        self.waiting: deque[Any] = deque()
        self.mail: list[Any] = []
        self.crashes: Counter[bytes] = Counter()
        self.third: dict[bytes, float] = {}
        self.late: Counter[bytes] = Counter()
        self.refused: Counter[bytes] = Counter()
        self.served: Counter[bytes] = Counter()
        self.number = 0

    def ask(self, name, *, deadly=False):
        """Let a caller send a request at some node."""
        self._admit(Request(name, deadly))

    def end_targets(self, hosts, seconds=3.0):
        """End targets for a reason of their own."""
        for host in hosts:
            self._end(host, seconds)

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
        """Let nodes forget all that they know."""
        for host in hosts:
            host.ledger = CrashLedger()
            host.lost = LostRuns()
            host.served = ServedRequests()

    def _admit(self, request):
        entry = self.random.choice(self.hosts)
        request.tries += 1
        request.sent = 0
        if entry.ledger.holds(self.now, request.name):
            self.refused[request.name] += 1
            return
        self._send(request)

    def _send(self, request):
        free = [
            host
            for host in self.hosts
            if host.away <= self.now and len(host.running) < SLOTS
        ]
        if not free:
            self._fail(request)
            return
        gate = self.random.choice(free)
        if gate.ledger.holds(self.now, request.name):
            self.refused[request.name] += 1
            return
        request.sent += 1
        request.began = self.now
        span = FUSE if request.deadly else self.random.expovariate(1 / WORK)
        request.ends = self.now + span
        gate.running.append(request)
        third = self.third.get(request.name)
        if third is not None and self.now > third + 3:
            self.late[request.name] += 1

    def _work(self):
        for host in self.hosts:
            done = [each for each in host.running if each.ends <= self.now]
            if any(each.deadly for each in done):
                self._end(host, 3 + self.random.random())
                continue
            for request in done:
                host.running.remove(request)
                self._serve(host, request)

    def _serve(self, host, request):
        self.served[request.name] += 1
        host.served.note(self.now, request.name)
        case = host.ledger.cases.get(request.name)
        if case is not None and case.ends:
            self._clear(host, request.name)

    def _clear(self, host, name):
        host.ledger.clear(self.now, name)
        told = Findings(clears=(ClearRow(name, 0),))
        self._tell(host, told, self.now)
        self._tell(host, told, self.now + 0.3, self.now)

    def _end(self, host, seconds):
        target = host.target
        running = tuple(host.running)
        host.running.clear()
        host.away = self.now + seconds
        host.life += 1
        for request in running:
            lasted = self.now - request.began
            host.lost.note(Run(request.name, target, self.now, lasted))
            if request.deadly:
                self._count(request)
        self.number += 1
        end = host.lost.close(self.now, self.number, target)
        if end is not None:
            self._tell_end(host, end)
        for again in running:
            if again.sent < 2:
                self._send(again)
            else:
                self._fail(again)

    def _count(self, request):
        self.crashes[request.name] += 1
        if self.crashes[request.name] == 3:
            self.third[request.name] = self.now

    def _tell_end(self, host, end):
        rows = tuple(
            EndRow(run.fingerprint, host.name, end.number, 0, run.lasted)
            for run in end.runs
        )
        told = Findings(rows)
        found = self.now + NOTICED
        self.mail.append((found, host, told, self.now))
        self._tell(host, told, found, self.now)
        self._tell(host, told, found + 0.3, self.now)

    def _tell(self, host, told, when, since=None):
        for other in self.hosts:
            if other is not host and self.random.random() >= self.lost:
                self.mail.append((when + TOLD, other, told, since or when))

    def _deliver(self):
        due = [mail for mail in self.mail if mail[0] <= self.now]
        self.mail = [mail for mail in self.mail if mail[0] > self.now]
        for _, host, told, since in due:
            passed = self.now - since
            rows = tuple(replace(row, ago=passed) for row in told.ends)
            clears = tuple(replace(row, ago=passed) for row in told.clears)
            self._take(host, Findings(rows, clears))

    def _take(self, host, told):
        for name in host.ledger.take(self.now, told):
            if host.served.knows(self.now, name):
                self._clear(host, name)

    def _compare(self):
        """Let nodes tell each other what differs, each now and then."""
        for host in self.hosts:
            if host.asks > self.now or not host.ledger.cases:
                continue
            host.asks = self.now + self.random.uniform(0.5, 1.4)
            other = self.random.choice(self.hosts)
            parts = find_differing(host.ledger, other.ledger)
            self._take(host, other.ledger.tell(self.now, parts))
            self._take(other, host.ledger.tell(self.now, parts))

    def _fail(self, request):
        if request.tries < TRIES:
            self.waiting.append((self.now + COME_BACK, request))


def find_differing(one, other):
    """Return the parts in which two ledgers differ."""
    pairs = zip(one.list_digests(), other.list_digests(), strict=True)
    return [part for part, (mine, theirs) in enumerate(pairs) if mine != theirs]
