"""What the time lines of all nodes say of ejections."""

from asyncio import gather
from typing import Final

import msgspec

from hillfield.demo.layout import HostPlan
from hillfield.emulator.client import CurlClient
from hillfield.events import EventCode
from hillfield.events.entries import TimelineEntry

TAKEN_OUT: Final = frozenset(
    (int(EventCode.TARGET_EJECTED), int(EventCode.TARGET_AVOIDED)),
)
MILLISECONDS: Final = 1000
MOST_EVENTS: Final = 1000


class Removal(msgspec.Struct, frozen=True):
    """Tell that a node took a target out, at wall `seconds`."""

    node: str
    service: str
    target: str
    seconds: float
    avoided: bool
    detail: str


async def read_removals(
    hosts: tuple[HostPlan, ...],
    since: float,
) -> tuple[Removal, ...]:
    """Return what all nodes took out since then (wall seconds)."""
    client = CurlClient(force_instance=True)
    pages = await gather(*(_read(client, host, since) for host in hosts))
    client.close()
    return tuple(
        Removal(
            entry.node,
            entry.service,
            entry.target,
            entry.stamp.physical / MILLISECONDS,
            entry.code == EventCode.TARGET_AVOIDED,
            entry.detail,
        )
        for page in pages
        for entry in page
        if entry.code in TAKEN_OUT
    )


async def _read(
    client: CurlClient,
    host: HostPlan,
    since: float,
) -> tuple[TimelineEntry, ...]:
    start = round(since * MILLISECONDS)
    answer = await client.fetch(
        f'http://{host.control}/v1/timeline?since={start}&limit={MOST_EVENTS}',
    )
    return msgspec.json.decode(answer.body, type=tuple[TimelineEntry, ...])
