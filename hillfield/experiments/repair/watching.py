"""What all nodes had in rotation and in force during a scene."""

import time
from asyncio import create_task, gather, sleep
from collections.abc import Iterator
from itertools import chain
from typing import Final

from msgspec import Struct

from hillfield.demo.control import ControlClient
from hillfield.demo.layout import HostPlan, Layout
from hillfield.demo.observer import WHOLE, Observer
from hillfield.emulator import InForceFact, RotationFact

PERIOD: Final = 0.6
SOON: Final = 0.1
# The digest of all entries with their revisions.
DIGEST: Final = 'digest'


class Sight(Struct, frozen=True):
    """Hold the digest and newest revision that a ready node had."""

    node: str
    at: float
    root: str
    revision: int


class Watch:
    """Keep facts of ready nodes; nothing is in force where none is served.

    A node that starts holds nothing, and says so, until it is ready.
    """

    def __init__(self, layout: Layout, client: ControlClient) -> None:
        """Start watching."""
        self._client = client
        self._sights: list[Sight] = []
        self._observer = Observer(layout, client)
        self._tasks = (
            create_task(self._watch_rotation()),
            *(create_task(self._watch(host)) for host in layout.hosts),
        )

    async def end(self) -> None:
        """Stop watching."""
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    def list_rotations(self) -> tuple[RotationFact, ...]:
        """Return what was in rotation."""
        return tuple(self._observer.rotations)

    def list_in_force(self) -> tuple[InForceFact, ...]:
        """Return what was in force, newest revisions and digests."""
        return tuple(
            chain(
                (
                    InForceFact(each.node, WHOLE, each.at, each.revision)
                    for each in self._sights
                ),
                number_digests(self._sights),
            ),
        )

    async def _watch_rotation(self) -> None:
        while True:
            await self._observer.poll()
            await sleep(PERIOD)

    async def _watch(self, host: HostPlan) -> None:
        while True:
            if await self._client.is_ready(host.control):
                await self._look(host)
            await sleep(SOON)

    async def _look(self, host: HostPlan) -> None:
        started = time.monotonic()
        page = await self._client.read_configuration(host.control)
        if page:
            self._sights.append(
                Sight(page.node, started, page.root, page.revision),
            )


def number_digests(sights: list[Sight]) -> Iterator[InForceFact]:
    """Number each node's digests in the order in which they came.

    Revisions only grow, so a digest that comes again after another means
    that entries went back, also where the newest one did not.

    >>> sights = [Sight('n', at, root, 1) for at, root in enumerate('aba')]
    >>> [fact.revision for fact in number_digests(sights)]
    [1, 2, 1]
    """
    known: dict[str, dict[str, int]] = {}
    for sight in sights:
        numbers = known.setdefault(sight.node, {})
        number = numbers.setdefault(sight.root, len(numbers) + 1)
        yield InForceFact(sight.node, DIGEST, sight.at, number)
