"""Changes of the configuration, made as an operator makes them."""

import time
from asyncio import Semaphore, gather, sleep
from typing import Final

from msgspec import Struct

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.editing import Authorship
from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.configuration.schema.templates import RouteRule, Template
from hillfield.experiments.sizing.rigs import OPERATOR, Rig

SERVICE: Final = 'measured'
AT_ONCE: Final = 10


class Run(Struct, frozen=True):
    """Say how many changes to make, and how many seconds apart."""

    name: str
    changes: int
    gap: float = 0


class Acceptance(Struct, frozen=True):
    """Hold when the store's answer said that a change was accepted."""

    key: str
    revision: int
    at: float


async def add_template(rig: Rig) -> None:
    """Add the template that the accounts of `change` use."""
    route = RouteRule('read', ('GET',), '/measured')
    template = Template(service=SERVICE, route=(route,), deadline=2)
    configuration = Configuration((template,), ())
    applied = await rig.editor.apply(configuration, Authorship(OPERATOR))
    await rig.await_revision(applied.ok.revision)


async def change(rig: Rig, name: str) -> Acceptance:
    """Add an account and note when that was accepted."""
    account = ClientAccount(
        name,
        (hash_secret(name),),
        (ServiceUse(SERVICE),),
    )
    configuration = Configuration((), (account,))
    applied = await rig.editor.apply(configuration, Authorship(OPERATOR))
    if applied.is_error():
        raise RuntimeError(f'{name} was not accepted: {applied.error}')
    key = rig.editor.keys.account(name)
    return Acceptance(key, applied.ok.revision, time.time())


async def change_in_turn(rig: Rig, run: Run) -> list[Acceptance]:
    """Make one change after the other, each once the last is in force."""
    accepted = []
    for number in range(run.changes):
        # One after the other is what is measured here.
        made = await change(rig, f'{run.name}-{number}')  # noqa: WPS476
        accepted.append(made)
        await rig.await_revision(made.revision)  # noqa: WPS476  # see above
        await sleep(run.gap)  # noqa: WPS476  # see above
    return accepted


async def change_at_once(rig: Rig, run: Run) -> list[Acceptance]:
    """Make all changes as fast as ten operators can."""
    turns = Semaphore(AT_ONCE)
    names = (f'{run.name}-{number}' for number in range(run.changes))
    return await gather(*(_take_turn(rig, turns, name) for name in names))


async def keep_changing(rig: Rig, rate: int, seconds: float) -> int:
    """Make so many changes a second; return how many were made."""
    started = time.monotonic()
    made = 0
    while rate and time.monotonic() - started < seconds:
        due = started + (made + 1) / rate
        await sleep(max(0, due - time.monotonic()))  # noqa: WPS476  # paced
        await change(rig, f'changed-{rate}-{made}')  # noqa: WPS476  # see above
        made += 1
    return made


async def _take_turn(rig: Rig, turns: Semaphore, name: str) -> Acceptance:
    async with turns:
        return await change(rig, name)
