"""When each node had a change in force, read off its time line."""

from asyncio import gather, sleep
from math import inf
from typing import Final

import msgspec

from hillfield.demo.layout import HostPlan
from hillfield.events import EventCode, TimelineEntry
from hillfield.experiments.sizing.edits import Acceptance
from hillfield.experiments.sizing.rigs import Rig

MILLISECONDS: Final = 1000
BETWEEN: Final = ' at revision '
LIMIT: Final = 4000


class Adoption(msgspec.Struct, frozen=True):
    """Hold when a node had an entry in force, in wall seconds."""

    key: str
    revision: int
    at: float


async def measure_spread(
    rig: Rig,
    accepted: list[Acceptance],
) -> tuple[float, ...]:
    """Return per change the seconds until the last node had adopted it.

    Infinite for a change that a node didn't get in time.
    """
    await rig.await_revision(max(each.revision for each in accepted))
    await sleep(1)
    since = min(each.at for each in accepted) - 1
    nodes = await gather(
        *(_read_adopted(rig, host, since) for host in rig.running()),
    )
    return tuple(
        max(find_adopted(events, each) for events in nodes) - each.at
        for each in accepted
    )


def find_adopted(
    adoptions: tuple[Adoption, ...],
    accepted: Acceptance,
) -> float:
    """Return when a node first held the change, or a later one of its key.

    >>> adoptions = (Adoption('/k', 7, 2.5), Adoption('/k', 9, 4.5))
    >>> find_adopted(adoptions, Acceptance('/k', 8, 4))
    4.5
    """
    return min(
        (
            adoption.at
            for adoption in adoptions
            if adoption.key == accepted.key
            and adoption.revision >= accepted.revision
        ),
        default=inf,
    )


async def _read_adopted(
    rig: Rig,
    host: HostPlan,
    since: float,
) -> tuple[Adoption, ...]:
    moment = int(since * MILLISECONDS)
    query = f'since={moment}&limit={LIMIT}'
    answer = await rig.http.fetch(f'http://{host.control}/v1/timeline?{query}')
    entries = msgspec.json.decode(answer.body, type=tuple[TimelineEntry, ...])
    return tuple(
        _read_adoption(entry)
        for entry in entries
        if entry.code == EventCode.CONFIGURATION_ADOPTED
    )


def _read_adoption(entry: TimelineEntry) -> Adoption:
    key, _, revision = entry.detail.partition(BETWEEN)
    return Adoption(key, int(revision), entry.stamp.physical / MILLISECONDS)
