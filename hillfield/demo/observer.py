"""Facts about rotation and configuration, polled from every node."""

import time
from asyncio import gather, sleep
from typing import Final

from hillfield.control.pages import ConfigurationPage, ServicePage
from hillfield.demo.control import ControlClient
from hillfield.demo.layout import HostPlan, Layout
from hillfield.emulator import InForceFact, RotationFact

PERIOD: Final = 0.2
# The whole configuration has one revision: the newest of its entries.
WHOLE: Final = 'all'


class Observer:
    """Poll all nodes and keep what they had in rotation and in force."""

    def __init__(self, layout: Layout, client: ControlClient) -> None:
        """Start with no facts."""
        self.rotations: list[RotationFact] = []
        self.in_force: list[InForceFact] = []
        self._layout = layout
        self._client = client

    async def watch(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await sleep(PERIOD)

    async def poll(self) -> None:
        """Ask every node once."""
        await gather(*map(self._poll, self._layout.hosts))

    async def _poll(self, host: HostPlan) -> None:
        started = time.monotonic()
        page = await self._client.read_configuration(host.control)
        # A node that has just started has nothing in force, old or new, and
        # refuses requests until it has.
        if page and page.revision:
            self.in_force.append(_note_in_force(page, started))
        services = (plan.service for plan in self._layout.services)
        pages = await gather(
            *(self._client.explain(host.control, each) for each in services),
        )
        self.rotations.extend(_note_rotation(page) for page in pages if page)


def _note_in_force(page: ConfigurationPage, at: float) -> InForceFact:
    return InForceFact(page.node, WHOLE, at, page.revision)


def _note_rotation(page: ServicePage) -> RotationFact:
    return RotationFact(
        page.node,
        page.service,
        time.monotonic(),
        page.rotation_slots,
        page.slots,
        page.floor,
    )
