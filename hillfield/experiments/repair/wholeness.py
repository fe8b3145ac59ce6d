"""Whether the fleet is whole again after a fault."""

from asyncio import gather
from typing import Final

from hillfield.control.pages import ConfigurationPage
from hillfield.demo.layout import HostPlan
from hillfield.demo.waiting import wait_until
from hillfield.experiments.repair.ground import Ground

LONGEST: Final = 100.0


class Wholeness:
    """Look at all nodes and keep what was missing at the last look."""

    def __init__(self, ground: Ground) -> None:
        """Have looked at nothing yet."""
        self.missing = 'not looked at'
        self._ground = ground

    async def wait(self, seconds: float = LONGEST) -> float | None:
        """Return the seconds until the fleet was whole, None: not in time."""
        return await wait_until(self.look, seconds)

    async def look(self) -> bool:
        """Tell whether each node is ready and knows all there is."""
        found = await gather(*map(self._examine, self._ground.hosts))
        roots = {page.root for page in await self._read_pages() if page}
        if len(roots) > 1:
            found.append(f'{len(roots)} different configurations')
        self.missing = '; '.join(filter(None, found))
        return not self.missing

    async def _examine(self, host: HostPlan) -> str:
        client = self._ground.fleet.client
        ready, members, targets, configuration = await gather(
            client.is_ready(host.control),
            client.read_members(host.control),
            client.read_targets(host.control),
            client.read_configuration(host.control),
        )
        if not (ready and members and targets and configuration):
            return f'{host.name} is not ready'
        alive = sum(member.alive for member in members.members)
        if alive < len(self._ground.hosts):
            return f'{host.name} has {alive} members'
        known = {listed.address for listed in targets.known}
        unknown = self._list_addresses() - known
        if unknown:
            return f'{host.name} lacks {len(unknown)} targets'
        if configuration.revision < self._ground.revision:
            return f'{host.name} is at revision {configuration.revision}'
        return ''

    async def _read_pages(self) -> list[ConfigurationPage | None]:
        client = self._ground.fleet.client
        return await gather(
            *(
                client.read_configuration(host.control)
                for host in self._ground.hosts
            ),
        )

    def _list_addresses(self) -> set[str]:
        return {
            str(placed.target.address)
            for placed in self._ground.fleet.targets
            if placed.target.is_running
        }
