"""The process that sends a load: `python -m` with a plan, prints the result.

Reads a `LoadPlan` as JSON from standard input.
"""

import sys
from asyncio import Runner, Task, create_task, gather, sleep
from itertools import product
from time import monotonic
from typing import Final

import msgspec
import uvloop

from hillfield.experiments.overload.callers import Answer, Connections
from hillfield.experiments.overload.plans import (
    Ending,
    LoadPlan,
    LoadResult,
    Told,
)
from hillfield.experiments.overload.requests import Sample, draw_samples
from hillfield.experiments.overload.shares import find_percentile
from hillfield.model import Address

OK: Final = 200
HEALTH_PAUSE: Final = 0.1
PAGES: Final = ('/healthz', '/readyz')


class Load:
    """Send the samples of a plan at their times and ask for health."""

    def __init__(self, plan: LoadPlan) -> None:
        """Prepare; `run` sends."""
        self._plan = plan
        self._connections = Connections()
        self._endings: list[Ending] = []
        self._health: list[float] = []
        self._failed = 0
        self._ended = False
        self._late: list[float] = []

    async def run(self) -> LoadResult:
        """Send all and wait for the last answer."""
        asking = tuple(
            create_task(self._watch(*page))
            for page in product(self._plan.controls, PAGES)
        )
        await self._send_all()
        self._ended = True
        await gather(*asking)
        self._connections.close()
        return LoadResult(
            tuple(self._endings),
            tuple(self._health),
            self._failed,
            find_percentile(self._late),
        )

    async def _send_all(self) -> None:
        start = monotonic()
        tasks: set[Task[None]] = set()
        samples = draw_samples(self._plan)
        sample = next(samples, None)
        while sample is not None:
            due = start + sample.offset
            await sleep(max(0, due - monotonic()))
            self._late.append(monotonic() - due)
            task = create_task(self._send(sample))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            sample = next(samples, None)
        await gather(*tasks)

    async def _send(self, sample: Sample) -> None:
        began = monotonic()
        try:
            answer = await self._connections.ask(sample.node, sample.message)
        except OSError:
            answer = None
        ending = Ending(
            sample.idempotent,
            sample.greedy,
            read_told(answer),
            sample.offset,
            monotonic() - began,
        )
        self._endings.append(ending)

    async def _watch(self, control: Address, page: str) -> None:
        message = f'GET {page} HTTP/1.1\r\nHost: {control}\r\n\r\n'.encode()
        while not self._ended:
            began = monotonic()
            answer = await self._connections.ask(control, message)
            self._health.append(monotonic() - began)
            self._failed += answer is None or answer.status != OK
            await sleep(HEALTH_PAUSE)


def read_told(answer: Answer | None) -> Told:
    """Name what an answer tells."""
    if answer is None:
        return Told.LOST
    if answer.outcome == Told.NOT_RUN:
        return Told.NOT_RUN if answer.has_hint else Told.NO_HINT
    if answer.outcome == Told.UNKNOWN:
        return Told.UNKNOWN
    return Told.ANSWERED if answer.status == OK else Told.LOST


async def _run(plan: LoadPlan) -> LoadResult:
    return await Load(plan).run()


def main() -> None:
    """Read the plan, send it, print what came."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadPlan)
    with Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(_run(plan))
    sys.stdout.buffer.write(msgspec.json.encode(found))


if __name__ == '__main__':
    main()
