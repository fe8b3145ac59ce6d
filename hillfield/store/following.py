"""Follow all keys of a prefix through outages and lost watches."""

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import Final

from expression import Result
from msgspec import Struct

from hillfield.clocks import monotonic
from hillfield.store.paging import Snapshot, Span, read_span
from hillfield.store.ports import Store, StoredValue, StoreError
from hillfield.store.retries import Circuit, RetrySettings

SHORTEST_TURN: Final = 0.5
SHORTEST_WAIT: Final = 0.05


class FollowSettings(Struct, frozen=True):
    """Say how to follow; times are seconds.

    A watch that lives for `turn` is replaced, since a broken one may look
    like a quiet one: what it missed comes at most that late. `page` is how
    many keys are read at once.
    """

    turn: float = 6
    page: int = 32
    retries: RetrySettings = RetrySettings()


Followed = Snapshot | StoredValue | StoreError


class Follower:
    """Follow one prefix of a store.

    What it yields may come twice and, after a fault, out of order: its
    reader keeps the higher revision of each key.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        settings: FollowSettings,
        random: Random,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Do nothing yet."""
        self._store = store
        self._prefix = prefix
        self._settings = settings
        self._random = random
        self._now = clock
        self._circuit = Circuit(settings.retries, random)
        self._since = 0

    async def follow(self) -> AsyncIterator[Followed]:
        """Yield a snapshot, then changes and errors, until cancelled.

        Another snapshot comes where changes may have been missed.
        """
        while True:
            async for followed in self._follow_once():
                yield followed
            await asyncio.sleep(self._circuit.find_wait(self._now()))

    async def _follow_once(self) -> AsyncIterator[Followed]:
        if not self._since:
            span = Span(self._prefix)
            read = await read_span(self._store, span, self._settings.page)
            yield self._note(read)
            if read.is_error():
                return
        async for change in self._watch():
            yield change

    async def _watch(self) -> AsyncIterator[Followed]:
        share = self._random.uniform(SHORTEST_TURN, 1)
        end = self._now() + self._settings.turn * share
        watch = aiter(self._store.watch(self._prefix, self._since))
        while True:
            change = await wait_for_next(watch, end - self._now())
            if change is None:
                self._circuit.note_success()
                return
            yield self._note(change)
            if change.is_error():
                # The iterator ends after an error; this lets it clean up.
                await anext(watch, None)
                return

    def _note(
        self,
        reply: Result[Snapshot, StoreError] | Result[StoredValue, StoreError],
    ) -> Followed:
        if reply.is_error():
            self._circuit.note_failure(self._now())
            if reply.error.compacted:
                self._since = 0
            return reply.error
        self._circuit.note_success()
        self._since = reply.ok.revision
        return reply.ok


async def wait_for_next(
    watch: AsyncIterator[Result[StoredValue, StoreError]],
    seconds: float,
) -> Result[StoredValue, StoreError] | None:
    """Return the next change; None, with the watch ended, if none comes.

    Values of one revision come without a wait between them, so the watch is
    never ended amid them.
    """
    patience = max(seconds, SHORTEST_WAIT)
    try:
        async with asyncio.timeout(patience):
            return await anext(watch, None)
    except TimeoutError:
        return None
