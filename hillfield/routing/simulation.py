"""Simulation of targets and callers in simulated time, for measurements.

Targets run `slots` requests at once. A full target sheds, or queues requests if
it can't shed. Requests that their caller has cancelled are still run, as by
targets that ignore cancellation.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from http import HTTPStatus
from itertools import count
from random import Random
from typing import Any, Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.detection.detector import Detector
from hillfield.model import (
    Address,
    Locality,
    RequestPlan,
    ServicePolicy,
    Target,
    TargetId,
)
from hillfield.routing.dispatcher import Dispatcher
from hillfield.routing.requests import (
    Answered,
    Arrival,
    Broken,
    Decision,
    Observation,
    Refuse,
    Send,
    Shed,
    TimedOut,
)

SERVICE: Final = 'measured'
FIRST_PORT: Final = 20000
DOMAINS: Final = 3
CONNECTION_LIMIT: Final = 300
SHED_SECONDS: Final = 0.0005
POLL_SECONDS: Final = 0.01
TICKS: Final = 10
LOCALITY: Final = Locality('north', 'a', 'h0')
GREEDY: Final = -1
# Retry-After has whole seconds.
SHED: Final = Shed(retry_after=1)
BREAK: Final = Broken('reset')
ANSWER: Final = Answered(HTTPStatus.OK)


class Burst(Struct, frozen=True):
    """Define additional requests: `rate` a second for some `seconds`."""

    rate: float
    since: float
    seconds: float


class Setting(Struct, frozen=True):
    """Define a simulation; times are in seconds.

    `rate` is in requests a second over all nodes, `burst` adds to it. `slow`
    multiplies the service time of the first target from `slow_since` on,
    `broken` says whether all targets break every request, `greedy` is the share
    of requests that one more account sends.
    """

    nodes: int = 1
    targets: int = 15
    slots: int = 4
    service_time: float = 0.02
    rate: float = 1000
    seconds: float = 10
    deadline: float = 1
    idempotent: bool = True
    slow: float = 1
    slow_since: float = 0
    burst: Burst | None = None
    broken: bool = False
    sheds: bool = True
    accounts: int = 8
    greedy: float = 0
    seed: int = 1
    policy: ServicePolicy = ServicePolicy(SERVICE)

    def capacity(self) -> float:
        """Return the requests a second that the targets can serve."""
        return self.targets * self.slots / self.service_time

    def find_rate(self, now: float) -> float:
        """Return the requests a second that arrive at this time.

        >>> Setting(rate=60, burst=Burst(400, 0.5, 1)).find_rate(1.0)
        460
        """
        burst = self.burst
        if burst is None or not 0 <= now - burst.since <= burst.seconds:
            return self.rate
        return self.rate + burst.rate


@dataclass(slots=True)
class Tally:
    """Count outcomes; `latencies` are those of answers, in seconds."""

    arrived: int = 0
    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    latencies: list[float] = field(default_factory=list)
    by_target: dict[TargetId, int] = field(default_factory=dict)
    greedy_arrived: int = 0
    greedy_answered: int = 0

    def percentile(self, share: float) -> float:
        """Return the latency that this share of answers does not exceed."""
        ordered = sorted(self.latencies)
        if not ordered:
            return 0
        last = len(ordered) - 1
        return ordered[round(share * last)]


@dataclass(order=True, slots=True)
class Event:
    """Hold an action to run at a time; equal times run in order of entry."""

    when: float
    order: int
    action: Any
    details: tuple[Any, ...]


@dataclass(slots=True)
class SimulatedTarget:
    """Hold a simulated target's queue and busy slots."""

    target: Target
    factor: float
    busy: int = 0
    queue: deque[tuple[int, Send]] = field(default_factory=deque)


def make_targets(number: int, slots: int) -> tuple[Target, ...]:
    """Return targets spread evenly over three failure domains."""
    return tuple(
        Target(
            TargetId(SERVICE, Address('127.0.0.1', FIRST_PORT + index), 1),
            Locality('north', 'abc'[index % DOMAINS], f'h{index}'),
            slots,
            CONNECTION_LIMIT,
        )
        for index in range(number)
    )


class Simulation:
    """Simulate one setting with one kind of dispatcher and detector."""

    def __init__(
        self,
        setting: Setting,
        detector_kind: Any,
        dispatcher_kind: Any,
    ) -> None:
        """Create the targets, the nodes and an empty tally."""
        self.tally = Tally()
        self._setting = setting
        self._random = Random(setting.seed)
        self._order = count()
        self._events: list[Event] = []
        self._arrivals: dict[str, Arrival] = {}
        self._live: dict[tuple[int, int], Send] = {}
        targets = make_targets(setting.targets, setting.slots)
        self._targets = {
            target.id: SimulatedTarget(target, factor=1) for target in targets
        }
        self._targets[targets[0].id].factor = setting.slow
        self._nodes = tuple(
            _open_node(node, setting, detector_kind, dispatcher_kind)
            for node in range(setting.nodes)
        )

    def run(self) -> Tally:
        """Run to the end and return the tally."""
        self._schedule(0, self._arrive, ())
        self._schedule(0, self._tick, (1,))
        while self._events:
            event = heappop(self._events)
            event.action(event.when, *event.details)
        return self.tally

    def _schedule(
        self, when: float, action: Any, details: tuple[Any, ...]
    ) -> None:
        heappush(self._events, Event(when, next(self._order), action, details))

    def _arrive(self, now: float) -> None:
        setting = self._setting
        if now > setting.seconds:
            return
        gap = self._random.expovariate(setting.find_rate(now))
        self._schedule(now + gap, self._arrive, ())
        node = self._random.randrange(setting.nodes)
        arrival = self._make_arrival(now)
        self._arrivals[arrival.request] = arrival
        self._apply_decision(now, node, self._nodes[node].admit(now, arrival))

    def _make_arrival(self, now: float) -> Arrival:
        setting = self._setting
        account = self._random.randrange(setting.accounts)
        if setting.greedy and self._random.random() < setting.greedy:
            account = GREEDY
            self.tally.greedy_arrived += 1
        plan = RequestPlan(
            SERVICE,
            'r',
            str(account),
            setting.idempotent,
            setting.deadline,
        )
        self.tally.arrived += 1
        name = str(self.tally.arrived)
        return Arrival(name, plan, now + setting.deadline, replayable=True)

    def _apply_decision(
        self, now: float, node: int, decision: Decision
    ) -> None:
        if isinstance(decision, Refuse):
            self.tally.refused += 1
            self.tally.unknown += decision.failure.outcome == 'unknown'
        if not isinstance(decision, Send):
            return
        self.tally.sent += 1
        counts = self.tally.by_target
        counts[decision.target] = counts.get(decision.target, 0) + 1
        self._live[node, decision.attempt] = decision
        self._nodes[node].record_written(now, decision.attempt)
        arrival = self._arrivals[decision.request]
        details = (node, decision.attempt, TimedOut())
        self._schedule(arrival.expires, self._end, details)
        self._serve(now, node, decision)

    def _serve(self, now: float, node: int, send: Send) -> None:
        fake = self._targets[send.target]
        refusal: Observation = BREAK if self._setting.broken else SHED
        full = fake.busy >= self._setting.slots
        if full and not self._setting.sheds:
            fake.queue.append((node, send))
        elif full or self._setting.broken:
            details = (node, send.attempt, refusal)
            self._schedule(now + SHED_SECONDS, self._end, details)
        else:
            self._start(now, fake, node, send)

    def _start(
        self,
        now: float,
        fake: SimulatedTarget,
        node: int,
        send: Send,
    ) -> None:
        fake.busy += 1
        factor = fake.factor if now >= self._setting.slow_since else 1
        mean = self._setting.service_time * factor
        seconds = mean * (0.5 + self._random.random())
        self._schedule(now + seconds, self._complete, (fake, node, send))

    def _complete(
        self,
        now: float,
        fake: SimulatedTarget,
        node: int,
        send: Send,
    ) -> None:
        fake.busy -= 1
        if fake.queue:
            self._start(now, fake, *fake.queue.popleft())
        self._end(now, node, send.attempt, ANSWER)

    def _end(
        self,
        now: float,
        node: int,
        attempt: int,
        observation: Observation,
    ) -> None:
        send = self._live.pop((node, attempt), None)
        if send is None:
            return
        dispatcher = self._nodes[node]
        if isinstance(observation, Answered):
            arrival = self._arrivals[send.request]
            arrived = arrival.expires - arrival.plan.deadline
            self.tally.answered += 1
            greedy = arrival.plan.account == str(GREEDY)
            self.tally.greedy_answered += int(greedy)
            self.tally.latencies.append(now - arrived)
        self._apply_decision(
            now, node, dispatcher.finish(now, attempt, observation)
        )
        self._poll(now, node)

    def _poll(self, now: float, node: int) -> None:
        for decision in self._nodes[node].poll(now):
            self._apply_decision(now, node, decision)

    def _tick(self, now: float, number: int) -> None:
        for node, dispatcher in enumerate(self._nodes):
            self._poll(now, node)
            if number % TICKS == 0:
                dispatcher.tick(now)
        if now < self._setting.seconds + self._setting.deadline:
            self._schedule(now + POLL_SECONDS, self._tick, (number + 1,))


def _open_node(
    node: int,
    setting: Setting,
    detector_kind: Any,
    dispatcher_kind: Any,
) -> Dispatcher:
    domain = 'abc'[node % DOMAINS]
    locality = replace(LOCALITY, failure_domain=domain, host=f'h{node}')
    detector: Detector = detector_kind(setting.policy, locality)
    random = Random(setting.seed + node)
    dispatcher: Dispatcher = dispatcher_kind(
        setting.policy,
        locality,
        detector,
        random,
    )
    targets = make_targets(setting.targets, setting.slots)
    dispatcher.adopt_targets(0, targets, setting.nodes)
    return dispatcher
