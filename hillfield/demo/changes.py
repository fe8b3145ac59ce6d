"""Changes of the configuration, and how soon they are in force."""

import time
from asyncio import gather
from functools import partial
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.editing import Authorship, Editor
from hillfield.demo.fleet import LocalFleet
from hillfield.demo.layout import CLUSTER, HostPlan
from hillfield.demo.observer import WHOLE
from hillfield.demo.scenes import SCENE_SECONDS, Scene
from hillfield.demo.waiting import wait_until
from hillfield.emulator import AcceptedFact
from hillfield.events import ListJournal
from hillfield.store.opening import open_store
from hillfield.store.store_settings import StoreSettings

LONGER: Final = 1


class Change(Struct, frozen=True):
    """Name a change and hold what is to stand after it."""

    name: str
    configuration: Configuration


def lengthen_deadlines(configuration: Configuration) -> Configuration:
    """Return the configuration with each deadline a second longer."""
    templates = tuple(
        replace(template, deadline=template.deadline + LONGER)
        for template in configuration.templates
    )
    return replace(configuration, templates=templates, accounts=())


async def apply_change(fleet: LocalFleet, change: Change) -> Scene:
    """Apply a change; wait until it is in force at every node."""
    settings = StoreSettings((fleet.layout.store,), 'demo')
    store = open_store(settings, ListJournal())
    outcome = await Editor(store, CLUSTER).apply(
        change.configuration,
        Authorship('demo'),
    )
    if outcome.is_error():
        return Scene(change.name, None, str(outcome.error))
    revision = outcome.ok.revision
    accepted = AcceptedFact(
        WHOLE,
        revision,
        time.monotonic(),
        tuple(host.name for host in fleet.layout.hosts),
    )
    seconds = await wait_until(
        partial(_in_force, fleet, revision),
        SCENE_SECONDS,
    )
    detail = f'revision {revision}'
    return Scene(change.name, seconds, detail, accepted=(accepted,))


async def _in_force(fleet: LocalFleet, revision: int) -> bool:
    hosts = fleet.layout.hosts
    held = await gather(*(_has(fleet, host, revision) for host in hosts))
    return all(held)


async def _has(fleet: LocalFleet, host: HostPlan, revision: int) -> bool:
    page = await fleet.client.read_configuration(host.control)
    return page is not None and page.revision >= revision
