"""Bring one batch of goals into the store."""

from asyncio import sleep
from random import uniform
from typing import Final

from expression import Error, Ok, Result

from hillfield.configuration.editing.changes import Signature, rewrite
from hillfield.configuration.editing.goals import Goal, choose_segment
from hillfield.configuration.editing.judgement import find_fault, judge
from hillfield.configuration.editing.outcomes import (
    Applied,
    Contended,
    Reason,
    Unreachable,
    Unsettled,
)
from hillfield.configuration.editing.races import Basis
from hillfield.configuration.editing.reading import read_snapshot
from hillfield.configuration.editing.snapshots import DecodedSnapshot
from hillfield.configuration.storage.keys import Keys
from hillfield.store.ports import Accepted, Store, StoreError

TRIES: Final = 8
Ending = Result[Applied, Reason]


class Transaction:
    """Write a batch by compare-and-swap, merging with others' changes.

    Each try starts from what stands in the store. A change of another part
    of the same value is kept; one of the same part ends the edit. The id of
    the change, in the history, tells whether a write whose answer was lost
    took effect; a write that was sent twice takes effect once, since both
    expect the same revisions.
    """

    def __init__(
        self,
        keys: Keys,
        goals: tuple[Goal, ...],
        signature: Signature,
        first: DecodedSnapshot,
    ) -> None:
        """Start from the first reading, which races are judged by."""
        self._keys = keys
        self._goals = goals
        self._signature = signature
        self._basis = Basis(first)
        self._segment = choose_segment(keys, goals, signature.change)
        self._doubt: StoreError | None = None

    async def run(
        self,
        store: Store,
        pause: float,
        now: DecodedSnapshot | None,
    ) -> Ending:
        """Try until the goals stand, can't stand, or the tries are used up.

        The first try starts from `now`; None: it reads first.
        """
        if now is None:
            ending = await self._read_and_try(store)
        else:
            ending = await self._try(store, now)
        tried = 1
        while ending is None and tried < TRIES:
            await sleep(uniform(0, pause * 2**tried))
            ending = await self._read_and_try(store)
            tried += 1
        return Error(self._give_up()) if ending is None else ending

    def _give_up(self) -> Reason:
        if self._doubt is None:
            return Contended(TRIES)
        return Unsettled(self._signature.change, self._doubt)

    async def _read_and_try(self, store: Store) -> Ending | None:
        reading = await read_snapshot(
            store,
            self._keys,
            self._goals,
            self._segment,
        )
        if reading.is_ok():
            return await self._try(store, reading.ok)
        # A lost write is worth more readings; nothing else is.
        return Error(reading.error) if self._doubt is None else None

    async def _try(self, store: Store, now: DecodedSnapshot) -> Ending | None:
        """Judge and write once; None: read again."""
        step = judge(self._goals, now, self._signature, self._segment)
        if isinstance(step, Applied):
            return Ok(step)
        fault = find_fault(self._goals, now, self._basis)
        if fault is not None:
            return await self._fail(store, now, fault)
        answer = await store.swap(step.changes)
        match answer:
            case Result(tag='ok', ok=Accepted(revision=revision)):
                return Ok(Applied(revision, step.names))
            case Result(tag='error', error=failure):
                return self._note_failure(failure)
        return None

    def _note_failure(self, failure: StoreError) -> Ending | None:
        if failure.maybe_done:
            self._doubt = failure
        if self._doubt is None:
            return Error(Unreachable(failure))
        return None

    async def _fail(
        self,
        store: Store,
        now: DecodedSnapshot,
        fault: Reason,
    ) -> Ending | None:
        """End with a fault once a lost write can't take effect any more.

        The reading may be old and the lost write may be under way. Writing
        the history segment again as it was read settles both: if that is
        accepted, no write that expected the segment can follow.
        """
        if self._doubt is None:
            return Error(fault)
        answer = await store.swap((rewrite(now.held(self._segment)),))
        settled = answer.is_ok() and isinstance(answer.ok, Accepted)
        return Error(fault) if settled else None
