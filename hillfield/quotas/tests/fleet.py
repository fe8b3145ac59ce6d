"""A fleet in modelled time whose nodes hold the limits of accounts."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.quotas import LocalUse, Membership, UseCounter

TICK = 0.2
# Seconds from a report to its answer, on hosts that have other work.
DELAY = 0.02
WINDOW = 5.0
STEP = TICK / 4


@dataclass
class Member:
    """Hold one node: what it lets through, and whom it counts for."""

    name: str
    local: LocalUse
    counter: UseCounter = field(default_factory=UseCounter)
    members: Membership = field(default_factory=Membership)
    phase: float = 0


class Fleet:
    """Play requests of accounts over nodes; `lost` is a share of datagrams."""

    def __init__(self, size, accounts, seed=1, lost=0):
        self.random = Random(seed)
        self.accounts = {account.name: account for account in accounts}
        self.size = size
        self.lost = lost
        self.now = float()
        self.passed: dict[str, list[float]] = {
            name: [] for name in self.accounts
        }
        self.refused = dict.fromkeys(self.accounts, 0)
        self.asked = dict.fromkeys(self.accounts, 0)
        self.messages = 0
        self.nodes = {}
        self.groups = {}
        self.restart(range(size))

    def restart(self, numbers):
        """Start nodes without what they knew."""
        for number in numbers:
            name = f'n{number}'
            node = Member(name, LocalUse(Random(self.random.random())))
            node.phase = self.random.random() * TICK
            node.counter.adopt(tuple(self.accounts.values()))
            self.nodes[name] = node
            self.groups[name] = 0

    def adopt(self, account):
        self.accounts[account.name] = account
        for node in self.nodes.values():
            node.counter.adopt(tuple(self.accounts.values()))

    def cut(self, numbers, group=1):
        """Cut nodes off from those of other groups."""
        for number in numbers:
            self.groups[f'n{number}'] = group

    def play(self, seconds, rates, over=None):
        """Play requests a second of each account, over some nodes."""
        over = [f'n{number}' for number in over or range(self.size)]
        end = self.now + seconds
        while self.now < end:
            for name, rate in rates.items():
                for _ in range(self._draw(rate * STEP)):
                    self._ask(self.random.choice(over), name)
            self.now += STEP
            for node in self.nodes.values():
                moment = self.now + node.phase
                if moment % TICK < STEP:
                    self._tick(node)

    def worst(self, name):
        """Return the most that passed in any window."""
        times = self.passed[name]
        most = 0
        window: deque[float] = deque()
        for moment in times:
            window.append(moment)
            while window[0] <= moment - WINDOW:
                window.popleft()
            most = max(most, len(window))
        return most

    def _draw(self, mean):
        """Draw how many requests come: close to chance where few do."""
        if mean > 1:
            return int(mean + self.random.random())
        chance = mean / 8
        return sum(self.random.random() < chance for _ in range(8))

    def _ask(self, node, name):
        self.asked[name] += 1
        if self.nodes[node].local.ask(self.now, self.accounts[name]):
            self.refused[name] += 1
        else:
            self.passed[name].append(self.now)

    def _tick(self, node):
        group = self.groups[node.name]
        alive = frozenset(
            name for name in self.nodes if self.groups[name] == group
        )
        self._follow(node, alive)
        self._tell(node, alive)
        for row in node.local.list_due(self.now):
            counting = self.nodes[node.members.find_counter(row.account)]
            self._follow(counting, alive)
            if counting is node or not self._loses():
                self._report(node, counting, row)

    def _follow(self, node, alive):
        node.members.follow(self.now, alive, frozenset().__contains__)

    def _loses(self):
        self.messages += 1
        return self.random.random() < self.lost

    def _report(self, node, counting, row):
        heard = self.now + DELAY
        part = counting.members.part
        shares = counting.counter.take(heard, node.name, (row,), part)
        if shares and not self._loses():
            node.local.take(heard, shares)

    def _tell(self, node, alive):
        heard = self.now + DELAY
        news = node.counter.list_news(self.now, node.members.part)
        if news:
            node.local.take(self.now, news)
            for name in alive - {node.name}:
                if not self._loses():
                    self.nodes[name].local.take(heard, news)


def make_account(name, rate, burst=None):
    return FleetAccount(name, (), 0, rate, rate if burst is None else burst)


def find_bound(account, over=0.1, slack=20):
    """Return what the users grant in a window."""
    return (account.rate * WINDOW + account.burst) * (1 + over) + slack
