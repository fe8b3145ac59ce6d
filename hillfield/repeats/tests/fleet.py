"""A fleet in modelled time whose nodes hold the bound on repeats."""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from random import Random
from typing import Any

from hillfield.hostroutes.allowances import make_policy
from hillfield.quotas import Membership
from hillfield.repeats import (
    Lenders,
    Loans,
    LocalUse,
    RepeatBound,
    RepeatCodec,
    RepeatKind,
    Report,
    Roster,
    Sighting,
)
from hillfield.routing.budgets import RetryBudget

STEP = 0.05
TICK = 0.2
DELAY = 0.01
HELD = 120.0
BOUND = RepeatBound(0.2, 10, 214)
CODEC = RepeatCodec(b'key')


class OwnParts:
    """Bound each node's repeats by what it has had answered itself."""

    def __init__(self):
        self._budgets = {}
        self._policy = make_policy(BOUND.ratio, 0.7)

    def find(self, service):
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._policy)
        return self._budgets[service]

    def take(self, now, service, kind):
        budget = self.find(service)
        budget.pass_time(now, self._policy)
        if kind is RepeatKind.HEDGE:
            return budget.take_hedge()
        return budget.take_retry('', shed=kind is RepeatKind.SHED)

    def note_answered(self, service):
        self.find(service).note_answered(self._policy, '')


@dataclass
class Member:
    """Hold one node: what it uses, and whom it lends to."""

    name: str
    life: int
    local: LocalUse
    today: OwnParts = field(default_factory=OwnParts)
    lenders: Lenders = field(default_factory=lambda: Lenders(BOUND))
    members: Membership = field(default_factory=lambda: Membership(HELD))
    phase: float = 0
    frozen_until: float = 0
    inbox: list[Any] = field(default_factory=list)


class Fleet:
    """Play requests over nodes; `lost` is a share of datagrams."""

    def __init__(self, size, services=('till',), seed=1, lost=0, today=False):
        self.random = Random(seed)
        self.services = services
        self.lost = lost
        self.today = today
        self.now = 100.0
        self.clients: dict[str, list[float]] = {one: [] for one in services}
        self.repeats: dict[str, list[float]] = {one: [] for one in services}
        self.tried = dict.fromkeys(services, 0)
        self.datagrams: list[int] = []
        self.nodes: dict[str, Member] = {}
        self.groups: dict[str, int] = {}
        self.dead: set[str] = set()
        for number in range(size):
            self.start(f'n{number}')

    def start(self, name):
        """Start a node, or start it again without what it knew."""
        local = LocalUse(BOUND, self.now, self.random.randrange(1 << 20))
        node = Member(name, self.random.randrange(1 << 30), local)
        node.phase = self.random.random() * TICK
        self.nodes[name] = node
        self.groups.setdefault(name, 0)
        self.dead.discard(name)

    def kill(self, name):
        self.dead.add(name)

    def cut(self, numbers, group=1):
        """Cut nodes off from those of other groups."""
        for number in numbers:
            self.groups[f'n{number}'] = group

    def freeze(self, name, seconds):
        self.nodes[name].frozen_until = self.now + seconds

    def find_lender(self, service, viewer='n0'):
        return self.nodes[viewer].members.find_counter(service)

    def play(
        self, seconds, rates, shed=0, calls=0, kind=RepeatKind.SHED, over=()
    ):
        """Play requests a second of each service; a share of tries fails.

        `calls` are those a second that targets make to the last service.
        """
        names = [f'n{number}' for number in over] or list(self.nodes)
        end = self.now + seconds
        while self.now < end - STEP / 2:
            for service, rate in rates.items():
                for _ in range(self._draw(rate * STEP)):
                    self._ask(names, service, '', shed, kind)
            for _ in range(self._draw(calls * STEP)):
                self._ask(names, self.services[-1], 'call', shed, kind)
            self._step()

    def count_repeats(self, service, since=0):
        return sum(at >= since for at in self.repeats[service])

    def find_worst(self, service):
        """Return the most by which a window passes the bound (0: none)."""
        spent, asked = self.repeats[service], self.clients[service]
        window = BOUND.window
        worst = -BOUND.slack
        for moment in spent:
            for first in (moment, moment - window + 1e-9):
                used = _count(spent, first, first + window)
                most = max(
                    _count(asked, first - back, first - back + window)
                    for back in (0, window / 2, window)
                )
                allowed = BOUND.ratio * most + BOUND.slack
                worst = max(worst, used - allowed)
        return worst

    def _draw(self, mean):
        return int(mean + self.random.random())

    def _runs(self, node):
        return node.name not in self.dead and node.frozen_until <= self.now

    def _ask(self, names, service, route, shed, kind):
        node = self.nodes[self.random.choice(names)]
        if not route:
            self.clients[service].append(self.now)
        if not self._runs(node):
            return
        node.local.note_request(self.now, Sighting(service, route))
        for _ in range(3):
            if self.random.random() >= shed:
                node.today.note_answered(service)
                return
            self.tried[service] += 1
            bucket = node.today if self.today else node.local
            if not bucket.take(self.now, service, kind):
                return
            self.repeats[service].append(self.now)

    def _step(self):
        self.now += STEP
        for node in self.nodes.values():
            if not self._runs(node):
                continue
            waiting = tuple(node.inbox)
            node.inbox.clear()
            for kind, message, row in waiting:
                self._receive(node, kind, message, row)
            if (self.now + node.phase) % TICK < STEP:
                self._tick(node)

    def _receive(self, node, kind, message, row):
        if kind == 'report':
            self._answer(node, message, row)
        else:
            node.local.adopt(self.now, (row,))

    def _tick(self, node):
        group = self.groups[node.name]
        alive = frozenset(
            name
            for name, other in self.nodes.items()
            if self.groups[name] == group
            and name not in self.dead
            and other.frozen_until <= self.now - 1.5
            or name == node.name
        )
        node.members.follow(self.now, alive, frozenset().__contains__)
        silent = node.members.list_silent(self.now)
        node.local.follow(len(alive) + len(silent))
        node.lenders.pass_time(self.now)
        lenders = {
            service: node.members.find_counter(service)
            for service in self.services
        }
        for row in node.local.list_due(self.now, lenders):
            age = node.local.age(self.now)
            report = Report(node.name, node.life, age, (row,))
            self._send(node, lenders[row.service], 'report', report, row)

    def _send(self, node, name, kind, message, row):
        other = self.nodes[name]
        if other is node:
            self._receive(node, kind, message, row)
            return
        sealed = Loans((row,)) if kind == 'loan' else message
        self.datagrams.append(len(CODEC.seal(sealed)))
        cut = self.groups[name] != self.groups[node.name]
        if cut or name in self.dead or self.random.random() < self.lost:
            return
        if other.frozen_until > self.now:
            other.inbox.append((kind, message, row))
        else:
            self._receive(other, kind, message, row)

    def _answer(self, node, report, row):
        silent = node.members.list_silent(self.now)
        alive = node.members._alive
        roster = Roster(alive, silent)
        for loan in node.lenders.take(self.now, report, roster):
            self._send(node, report.sender, 'loan', loan, loan)


def _count(moments, first, last):
    return bisect_right(moments, last) - bisect_left(moments, first)
