"""Keep one lease alive at the store."""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from types import MappingProxyType
from typing import Final

from expression import Result

from hillfield.clocks import monotonic
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.store.lease_clock import LeaseAction, LeaseClock, LeaseSettings
from hillfield.store.ports import Store, StoreError
from hillfield.store.retries import Circuit, RetrySettings

SHORTEST_WAIT: Final = 0.05
LONGEST_WAIT: Final = 0.5
# A failed renewal is first repeated within this part of the lease's time.
FIRST_RETRY: Final = 9
EVENTS: Final[Mapping[LeaseAction, EventCode]] = MappingProxyType(
    {
        LeaseAction.REPORT_GRANTED: EventCode.LEASE_HELD,
        LeaseAction.REPORT_DOUBTFUL: EventCode.LEASE_DOUBTFUL,
        LeaseAction.REPORT_LOST: EventCode.LEASE_LOST,
    },
)


class LeaseKeeper:
    """Grant and renew one lease for as long as `run` runs.

    Keys under it are its user's: after a lapse they are gone, and `number`
    is another one when the lease is held again.
    """

    def __init__(
        self,
        store: Store,
        settings: LeaseSettings,
        random: Random,
        journal: Journal,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Do nothing yet."""
        self._store = store
        self._journal = journal
        self._now = clock
        self._lease = LeaseClock(settings, random)
        retries = RetrySettings(
            first=settings.seconds / FIRST_RETRY,
            longest=settings.seconds,
        )
        self._circuit = Circuit(retries, random)

    @property
    def number(self) -> int:
        """Return the lease's number at the store, 0 without a lease."""
        return self._lease.number

    def held(self, now: float) -> bool:
        """Tell whether the lease is held for certain; ask before each act."""
        return self._lease.held(now)

    async def run(self) -> None:
        """Keep the lease until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self._find_wait())

    async def step(self) -> None:
        """Grant or renew if it is time to."""
        now = self._now()
        self._report(self._lease.tick(now))
        waits = self._lease.find_wait(now) > 0
        if waits or not self._circuit.admit(now):
            return
        number = self._lease.number
        await (self._renew(now, number) if number else self._grant(now))

    async def give_up(self) -> None:
        """End the lease at the store, so that others need not wait for it.

        Call it when `run` has been cancelled.
        """
        number = self._lease.number
        if number:
            self._report(self._lease.note_lapsed())
            await self._store.revoke(number)

    def _find_wait(self) -> float:
        now = self._now()
        due = self._lease.find_wait(now)
        wait = max(due, self._circuit.find_wait(now), SHORTEST_WAIT)
        return min(wait, LONGEST_WAIT)

    async def _grant(self, sent: float) -> None:
        granted = await self._store.grant(self._lease.settings.seconds)
        if self._succeeds(granted):
            self._report(self._lease.note_granted(sent, granted.ok))

    async def _renew(self, sent: float, number: int) -> None:
        renewed = await self._store.renew(number)
        if not self._succeeds(renewed):
            return
        if renewed.ok:
            self._report(self._lease.note_renewed(sent, number))
        else:
            self._report(self._lease.note_lapsed())

    def _succeeds(
        self,
        reply: Result[int, StoreError] | Result[bool, StoreError],
    ) -> bool:
        if reply.is_ok():
            self._circuit.note_success()
        else:
            self._circuit.note_failure(self._now())
        return reply.is_ok()

    def _report(self, action: LeaseAction) -> None:
        code = EVENTS.get(action)
        if code is not None:
            detail = f'lease {self.number}'
            self._journal.record(Occurrence(code, detail=detail))
