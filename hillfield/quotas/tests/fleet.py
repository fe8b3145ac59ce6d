"""A simulated fleet whose nodes enforce the limits of accounts."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.quotas import LocalUsage, Membership, UsageCounter

TICK = 0.2
# Seconds from a report to its answer, on busy hosts.
DELAY = 0.02
WINDOW = 5.0
STEP = TICK / 4


@dataclass
class Member:
    """Hold one node: the requests it admits, and the accounts it counts."""

    name: str
    local: LocalUsage
    counter: UsageCounter = field(default_factory=UsageCounter)
    members: Membership = field(default_factory=Membership)
    phase: float = 0


class Fleet:
    """Send requests of accounts to nodes; `lost` is a fraction of datagrams."""

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
        """Start nodes without their earlier state."""
        for number in numbers:
            name = f'n{number}'
            node = Member(name, LocalUsage(Random(self.random.random())))
            node.phase = self.random.random() * TICK
            node.counter.adopt(tuple(self.accounts.values()))
            self.nodes[name] = node
            self.groups[name] = 0

    def adopt(self, account):
        self.accounts[account.name] = account
        for node in self.nodes.values():
            node.counter.adopt(tuple(self.accounts.values()))

    def cut(self, numbers, group=1):
        """Partition nodes from those of other groups."""
        for number in numbers:
            self.groups[f'n{number}'] = group

    def play(self, seconds, rates, over=None):
        """Send requests of each account per second, to some nodes."""
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

    def find_worst(self, name):
        """Return the largest number that passed in any window."""
        times = self.passed[name]
        most = 0
        window: deque[float] = deque()
        for moment in times:
            window.append(moment)
            while window[0] <= moment - WINDOW:
                window.popleft()
            most = max(most, len(window))
        return most

    def _draw(self, expected):
        """Draw the number of requests: nearly Poisson at low rates."""
        if expected > 1:
            return int(expected + self.random.random())
        chance = expected / 8
        return sum(self.random.random() < chance for _ in range(8))

    def _ask(self, node, name):
        self.asked[name] += 1
        if self.nodes[node].local.admit(self.now, self.accounts[name]):
            self.refused[name] += 1
        else:
            self.passed[name].append(self.now)

    def _tick(self, node):
        group = self.groups[node.name]
        alive = frozenset(
            name for name in self.nodes if self.groups[name] == group
        )
        self._update_members(node, alive)
        self._send_updates(node, alive)
        for row in node.local.list_due(self.now):
            counting = self.nodes[node.members.select_counter(row.account)]
            self._update_members(counting, alive)
            if counting is node or not self._is_lost():
                self._report(node, counting, row)

    def _update_members(self, node, alive):
        node.members.update(self.now, alive, frozenset().__contains__)

    def _is_lost(self):
        self.messages += 1
        return self.random.random() < self.lost

    def _report(self, node, counting, row):
        received_at = self.now + DELAY
        fraction = counting.members.fraction
        shares = counting.counter.receive_report(
            received_at, node.name, (row,), fraction
        )
        if shares and not self._is_lost():
            node.local.apply_shares(received_at, shares)

    def _send_updates(self, node, alive):
        received_at = self.now + DELAY
        updates = node.counter.list_updates(self.now, node.members.fraction)
        if updates:
            node.local.apply_shares(self.now, updates)
            for name in alive - {node.name}:
                if not self._is_lost():
                    self.nodes[name].local.apply_shares(received_at, updates)


def make_account(name, rate, burst=None):
    return FleetAccount(name, (), 0, rate, rate if burst is None else burst)


def compute_bound(account, over=0.1, slack=20):
    """Return the permitted number of requests in a window."""
    return (account.rate * WINDOW + account.burst) * (1 + over) + slack
