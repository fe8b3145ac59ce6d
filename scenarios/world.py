"""What one scenario holds from its first step to its last."""

import time
from asyncio import Runner, create_task, gather, sleep
from functools import partial
from itertools import chain

from msgspec.structs import replace

from hillfield.configuration.editing import EditFailure
from hillfield.demo.observer import WHOLE
from hillfield.demo.waiting import wait_until
from hillfield.emulator import (
    AcceptedFact,
    Call,
    Caller,
    CallerSettings,
    Credentials,
    EmulatedTarget,
    Ending,
    Run,
    TargetRecord,
    Trial,
)
from scenarios.fleet import SOON, Fleet, Shape
from scenarios.templates import (
    ACCOUNT,
    KINDS,
    SECRET,
    TEMPLATE,
    make_configuration,
)
from scenarios.views import tell_story

# Longer than any deadline; callers of a frozen node wait so long.
CALLER_TIMEOUT = 6


class World:
    """Run a fleet and its callers, step by step, on one loop."""

    def __init__(self) -> None:
        """Start with the usual template and no fleet."""
        self.template = TEMPLATE
        self.callers: list[Caller] = []
        self.accepted: list[AcceptedFact] = []
        self._runner = Runner()
        self._fleet: Fleet | None = None
        self._traffic = []

    @property
    def fleet(self) -> Fleet:
        """Return the fleet; a scenario has one from its first step on."""
        assert self._fleet, 'the scenario names no fleet'
        return self._fleet

    def run(self, work):
        """Run a coroutine to its end while all else goes on."""
        return self._runner.run(work)

    def start(self, shape: Shape) -> None:
        """Start a fleet."""
        self.run(self._start(shape))

    def flow(self, kind: str, rate: float) -> None:
        """Start open-loop traffic that goes on to the scenario's end."""
        self.run(self._flow(self._make_caller(kind, rate, 60)))

    def send(self, kind: str, count: int, rate: float) -> None:
        """Send a number of requests and wait for their ends."""
        caller = self._make_caller(kind, rate, 60, count)
        self.callers.append(caller)
        self.run(caller.run())

    def wait(self, seconds: float) -> None:
        """Let time go by."""
        self.run(sleep(seconds))

    def settle(self, condition, *given, bound=SOON) -> bool:
        """Wait a bounded time for a condition; tell whether it held."""
        met = wait_until(partial(condition, *given), bound)
        return self.run(met) is not None

    def target(self, number: int) -> EmulatedTarget:
        """Return a target by its number, from 1."""
        return self.fleet.targets[number - 1]

    def explain(self, number: int) -> str:
        """Return the nodes' account of a target, for a failed step."""
        return self.run(tell_story(self.fleet, self.target(number)))

    def change(self, **fields) -> None:
        """Change the template as an operator does."""
        self.template = replace(self.template, **fields)
        revision = self.run(
            self.fleet.change(make_configuration(self.template)),
        )
        self._accept(revision)

    def try_change(self, **fields) -> EditFailure:
        """Return what an operator is told of a change that fails."""
        configuration = make_configuration(replace(self.template, **fields))
        return self.run(self.fleet.try_change(configuration)).error

    def calls(self) -> tuple[Call, ...]:
        """Return all calls that have ended so far."""
        return tuple(
            chain.from_iterable(caller.calls for caller in self.callers),
        )

    def runs(self) -> tuple[Run, ...]:
        """Return all that targets began to run so far."""
        return tuple(
            chain.from_iterable(record.runs for record in self.records()),
        )

    def records(self) -> tuple[TargetRecord, ...]:
        """Return what all targets recorded, also those that ended."""
        targets = (*self.fleet.targets, *self.fleet.former)
        return tuple(target.record() for target in targets)

    async def is_answered(self) -> bool:
        """Send one lookup; tell whether it was answered."""
        caller = self._make_caller('lookups', 100, 60, 1)
        self.callers.append(caller)
        calls = await caller.run()
        return calls[0].ending is Ending.ANSWERED

    def race(self) -> None:
        """Let two operators change different parts at once."""
        self.run(self._race())

    def end_traffic(self) -> None:
        """Send nothing more and wait for the last answers."""
        self.run(self._end_traffic())

    def finish(self) -> Trial:
        """End the traffic and return all facts."""
        self.end_traffic()
        observer = self.fleet.observer
        self.run(observer.poll())
        return Trial(
            self.calls(),
            self.records(),
            tuple(observer.rotations),
            tuple(self.fleet.shutdowns),
            tuple(observer.in_force),
            tuple(self.accepted),
        )

    def close(self) -> None:
        """End everything, also after a failed step."""
        if self._fleet:
            self.run(self._end_traffic())
            self.run(self._fleet.stop())
        self._runner.close()

    async def _start(self, shape: Shape) -> None:
        self._fleet = Fleet(shape)
        await self._fleet.start(make_configuration(self.template))

    async def _race(self) -> None:
        changed = make_configuration(replace(self.template, deadline=3))
        first = replace(changed, accounts=())
        second = make_configuration(self.template, deadline=2.5)
        both = await gather(
            self.fleet.change(first),
            self.fleet.change(replace(second, templates=())),
        )
        self._accept(max(both))

    def _accept(self, revision: int) -> None:
        nodes = tuple(self.fleet.hosting.names)
        self.accepted.append(
            AcceptedFact(WHOLE, revision, time.monotonic(), nodes),
        )

    async def _flow(self, caller: Caller) -> None:
        self.callers.append(caller)
        self._traffic.append(create_task(caller.run()))

    async def _end_traffic(self) -> None:
        for caller in self.callers:
            caller.end()
        while self._traffic:
            await self._traffic.pop()

    def _make_caller(
        self,
        kind: str,
        rate: float,
        seconds: float,
        most: int = 10_000,
    ) -> Caller:
        hosts = self.fleet.layout.hosts
        return Caller(
            CallerSettings(
                tuple(host.callers for host in hosts),
                KINDS[kind],
                rate=rate,
                seconds=seconds,
                maximum_calls=most,
                timeout=CALLER_TIMEOUT,
                seed=len(self.callers) + 1,
                credentials=Credentials(ACCOUNT, SECRET),
            ),
        )
