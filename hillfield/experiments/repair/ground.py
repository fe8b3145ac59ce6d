"""The fleet that scenes play on, and what they do to it."""

import time
from collections.abc import Iterator
from typing import Final

from msgspec.structs import replace

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.editing import Applied, Authorship, Editor
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.demo.fleet import LocalFleet, PlacedTarget
from hillfield.demo.layout import (
    CLUSTER,
    HostPlan,
    Layout,
    ServicePlan,
    make_layout,
    read_services,
)
from hillfield.demo.traffic import Example
from hillfield.emulator import GracefulFact
from hillfield.events import ListJournal
from hillfield.experiments.repair.signalled import Signalled
from hillfield.model import Locality
from hillfield.store.opening import open_store
from hillfield.store.store_settings import StoreSettings

HOSTS: Final = 8
DOMAINS: Final = 4
REGIONS: Final = 2
# Long enough that requests are in flight at every moment of a scene.
MEDIAN: Final = 0.2
# Seconds that each change adds to the deadlines, within their bounds.
STEP: Final = 0.01
MORE_ACCOUNTS: Final = 600


class OperatorError(Exception):
    """Say why a change that had to be accepted was not."""


class Ground:
    """Hold a fleet, and break and change it as scenes ask."""

    def __init__(
        self,
        fleet: LocalFleet,
        processes: Signalled,
        example: Example,
    ) -> None:
        """Prepare; `start` starts everything."""
        self.fleet = fleet
        self.processes = processes
        self.example = example
        self.former: list[PlacedTarget] = []
        self.revision = 0
        self._turn = 0

    @property
    def hosts(self) -> tuple[HostPlan, ...]:
        """Return all hosts."""
        return self.fleet.layout.hosts

    async def start(self) -> None:
        """Start everything and apply both users' configuration."""
        await self.fleet.start()
        configuration = self.example.configuration
        accounts = (*configuration.accounts, *_list_more(configuration))
        await self.change(replace(configuration, accounts=accounts))

    async def change(self, configuration: Configuration) -> int:
        """Apply a change that must be accepted; return its revision."""
        ended = await self.make_editor().apply(
            configuration,
            Authorship('repair'),
        )
        if ended.is_error():
            raise OperatorError(str(ended.error))
        return self.note_accepted(ended.ok)

    async def lengthen(self) -> int:
        """Accept a change of all templates; return its revision."""
        self._turn += 1
        templates = tuple(
            replace(template, deadline=template.deadline + self._turn * STEP)
            for template in self.example.configuration.templates
        )
        return await self.change(
            replace(
                self.example.configuration,
                templates=templates,
                accounts=(),
            ),
        )

    def note_accepted(self, applied: Applied) -> int:
        """Expect this change to be in force from now on."""
        self.revision = max(self.revision, applied.revision)
        return applied.revision

    def make_editor(self) -> Editor:
        """Return an operator of its own connection to the store."""
        settings = StoreSettings((self.fleet.layout.store,), 'repair')
        return Editor(open_store(settings, ListJournal()), CLUSTER)

    async def stop_node(self, host: HostPlan) -> GracefulFact:
        """Ask a node to end and wait until it did."""
        started = time.monotonic()
        await self.fleet.stop_node(host)
        return GracefulFact(str(host.callers), started, time.monotonic())

    def list_domain(self, name: str) -> tuple[HostPlan, ...]:
        """Return the hosts of a failure domain."""
        return tuple(
            host for host in self.hosts if host.locality.failure_domain == name
        )


def plan_layout() -> Layout:
    """Return eight hosts in four failure domains over two regions."""
    layout = make_layout(HOSTS, _list_services(), DOMAINS)
    return replace(layout, hosts=tuple(map(_place, layout.hosts)))


def list_far(layout: Layout) -> dict[str, tuple[str, ...]]:
    """Return, for each node, the links of the nodes of other regions."""
    return {
        host.name: tuple(
            str(other.links)
            for other in layout.hosts
            if other.locality.region != host.locality.region
        )
        for host in layout.hosts
    }


def _list_more(configuration: Configuration) -> Iterator[ClientAccount]:
    """Yield accounts nobody calls with, so that a load takes a moment."""
    first = configuration.accounts[0]
    for number in range(MORE_ACCOUNTS):
        yield replace(first, name=f'idle-{number}')


def _list_services() -> tuple[ServicePlan, ...]:
    return tuple(
        replace(plan, per_host=1, median=MEDIAN) for plan in read_services()
    )


def _place(host: HostPlan) -> HostPlan:
    domain = host.locality.failure_domain
    number = int(domain.rpartition('-')[-1])
    region = (number - 1) * REGIONS // DOMAINS + 1
    locality = Locality(f'region-{region}', domain, host.name)
    return replace(host, locality=locality)
