"""Play a deployment for some seconds and tell what its callers got."""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from types import MappingProxyType
from typing import Final

from hillfield.experiments.calling.clock import Clock
from hillfield.experiments.calling.deployment import Deployment, Kind
from hillfield.experiments.calling.hosts import Host, Network, make_target
from hillfield.experiments.calling.repeats import (
    RepeatWindow,
    TargetArrival,
    find_fullest,
)

DOMAINS: Final = 'abc'
# Seconds in which targets' repeats are counted.
WINDOW: Final = 10.0
# Seconds at the end in which no request begins.
CLOSING: Final = 5.0
# Part of its worth that a request earns by how it ended.
EARNED: Final = MappingProxyType(
    {'ok': 1.0, 'late': 0.1, 'refused': float(), 'failed': float()},
)


@dataclass(slots=True)
class Outcome:
    """Count what became of the requests of each kind.

    `crossing` is bytes between failure domains, `repeats` the most that a
    service got within 10 s, `declined` how often a gate did not take one,
    `windows` the one in which each service came nearest to the fleet's bound on
    repeats, `waits` the seconds until each good answer, `needing` the moments at
    which each target got its requests that names a limit, `earned` and `owed` the worth of all.
    """

    counts: dict[str, Counter[str]] = field(default_factory=dict)
    crossing: Counter[str] = field(default_factory=Counter)
    repeats: Counter[str] = field(default_factory=Counter)
    declined: int = 0
    waits: list[float] = field(default_factory=list)
    needing: list[tuple[float, ...]] = field(default_factory=list)
    windows: dict[str, RepeatWindow] = field(default_factory=dict)
    earned: float = 0
    owed: float = 0

    def share(self, *ends: str) -> float:
        """Return the share of all requests with such ends."""
        whole = sum(counter.total() for counter in self.counts.values())
        found = sum(
            counter[end] for counter in self.counts.values() for end in ends
        )
        return found / whole if whole else 0


def play(deployment: Deployment, seconds: float, seed: int) -> Outcome:
    """Play with this seed; equal seeds give equal outcomes."""
    return _Play(deployment, seed).run(seconds)


class _Play:
    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = Random(seed)
        self._clock = Clock()
        self._outcome = Outcome()
        self._numbers = count()
        self._network = Network(self._clock, {}, self._outcome.crossing)
        self._build()

    def run(self, seconds: float) -> Outcome:
        for kind in self._deployment.kinds:
            if kind.rate:
                self._outcome.counts[kind.route] = Counter()
                self._clock.call_at(
                    kind.begins,
                    partial(self._await_next, kind, seconds - CLOSING),
                )
        self._clock.run(seconds)
        arrivals = sorted(
            arrival
            for host in self._network.hosts.values()
            for arrival in host.arrivals
        )
        self._count_repeats(arrivals)
        self._outcome.declined = self._network.declined
        self._outcome.windows = find_fullest(
            self._network.asked, arrivals, self._deployment.bound
        )
        self._outcome.needing.extend(
            tuple(arrival.moment for arrival in host.arrivals)
            for host in self._network.hosts.values()
            if host.target.need is not None
        )
        return self._outcome

    def _build(self) -> None:
        targets = []
        numbers = count(1)
        for service, amounts in self._deployment.targets.items():
            for domain, amount in zip(DOMAINS, amounts, strict=True):
                for _ in range(amount):
                    target = make_target(
                        service,
                        domain,
                        next(numbers),
                        self._deployment.slots,
                    )
                    targets.append(target)
        for target in targets:
            self._network.hosts[target.id.address] = Host(
                self._network,
                target,
                self._deployment,
                self._random,
            )
        for host in self._network.hosts.values():
            host.join(tuple(targets))
        self._put_in_need()

    def _put_in_need(self) -> None:
        need = self._deployment.need
        if need is None:
            return
        serving = [
            host
            for host in self._network.hosts.values()
            if host.service == need.service
        ]
        for host in self._random.sample(serving, need.targets):
            host.target.need = need

    def _await_next(self, kind: Kind, until: float) -> None:
        burst = self._deployment.burst
        rate = kind.rate
        if burst.begin <= self._clock.now < burst.end:
            rate *= burst.factor
        pause = self._random.expovariate(rate)
        if self._clock.now + pause < until:
            begin_request = partial(self._begin, kind, until)
            self._clock.call_later(pause, begin_request)

    def _begin(self, kind: Kind, until: float) -> None:
        self._await_next(kind, until)
        domain = self._random.choice(DOMAINS)
        hosts = [
            host
            for host in self._network.hosts.values()
            if host.domain == domain
        ]
        name = f'r{next(self._numbers)}'
        begun = self._clock.now
        self._random.choice(hosts).ask(
            kind.route,
            name,
            kind.deadline,
            partial(self._note_end, kind, begun),
        )

    def _note_end(self, kind: Kind, begun: float, how: str) -> None:
        outcome = self._outcome
        if how == 'ok':
            outcome.waits.append(self._clock.now - begun)
        if how == 'ok' and self._clock.now - begun > kind.aim:
            how = 'late'
        outcome.counts[kind.route][how] += 1
        outcome.owed += kind.worth
        outcome.earned += kind.worth * EARNED[how]

    def _count_repeats(self, arrivals: list[TargetArrival]) -> None:
        seen: set[str] = set()
        windows: Counter[tuple[str, int]] = Counter()
        for arrival in arrivals:
            if arrival.name in seen:
                window = int(arrival.moment / WINDOW)
                windows[arrival.service, window] += 1
            seen.add(arrival.name)
        for (service, _), amount in windows.items():
            known = self._outcome.repeats[service]
            self._outcome.repeats[service] = max(known, amount)
