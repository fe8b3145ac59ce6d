"""Fill a rig with targets and with configuration of any size."""

from asyncio import Semaphore, gather
from collections.abc import Iterable, Iterator
from itertools import chain, islice
from typing import Final

from hillfield.configuration.entries import Entry
from hillfield.configuration.samples import Sample, SampleSize
from hillfield.demo.layout import HostPlan
from hillfield.emulator.heartbeat import Announcement, Heartbeat
from hillfield.experiments.sizing.rigs import Rig
from hillfield.model import Address, TargetState
from hillfield.store.ports import Accepted, Change

SERVICES: Final = 260
FIRST_PORT: Final = 2000
SLOTS: Final = 8
BATCH: Final = 64
AT_ONCE: Final = 8


class Filler:
    """Put targets and configuration into a running rig."""

    def __init__(self, rig: Rig) -> None:
        """Start with nothing filled in."""
        self._rig = rig
        self._announced = 0
        self._revisions: dict[str, int] = {}
        self._turns = Semaphore(AT_ONCE)

    async def announce(self, per_node: int) -> None:
        """Have each node announce so many targets in all."""
        numbers = range(self._announced, per_node)
        self._announced = max(self._announced, per_node)
        await gather(
            *(
                self._announce_at(host, index, numbers)
                for index, host in enumerate(self._rig.running())
            ),
        )

    async def repeat(self, times: int) -> int:
        """Announce all again so many times; return the announcements."""
        for _ in range(times):
            await gather(  # noqa: WPS476  # each repeat follows the last
                *(
                    self._announce_at(host, index, range(self._announced))
                    for index, host in enumerate(self._rig.running())
                ),
            )
        return times * self._announced

    async def write(self, size: SampleSize) -> int:
        """Write a configuration to the store; return its revision."""
        sample = Sample(size, self._rig.editor.keys)
        entries = chain(sample.make_templates(), sample.make_buckets())
        revision = 0
        for batch in _split(entries):
            revision = await self._write(batch)  # noqa: WPS476  # in order
        return revision

    async def _announce_at(
        self,
        host: HostPlan,
        index: int,
        numbers: Iterable[int],
    ) -> None:
        heartbeat = Heartbeat(host.control)
        async with self._turns:
            await gather(
                *(
                    heartbeat.announce(_make_announcement(host, index, number))
                    for number in numbers
                ),
            )
        heartbeat.close()

    async def _write(self, entries: tuple[Entry, ...]) -> int:
        changes = tuple(
            Change(
                entry.key,
                self._revisions.get(entry.key, 0),
                entry.payload,
            )
            for entry in entries
        )
        swapped = await self._rig.store.swap(changes)
        if swapped.is_error() or not isinstance(swapped.ok, Accepted):
            raise RuntimeError(f'the store did not accept: {swapped}')
        revision = swapped.ok.revision
        self._revisions.update((each.key, revision) for each in changes)
        return revision


def _split(entries: Iterable[Entry]) -> Iterator[tuple[Entry, ...]]:
    rest = iter(entries)
    while batch := tuple(islice(rest, BATCH)):
        yield batch


def _make_announcement(
    host: HostPlan,
    index: int,
    number: int,
) -> Announcement:
    service = (index + number) % SERVICES
    return Announcement(
        f'service-{service}',
        str(Address(host.callers.ip, FIRST_PORT + number)),
        1,
        SLOTS,
        SLOTS,
        1,
        TargetState.READY,
        0,
    )
