"""The keeper of a lease against a store that fails, on a clock of our own."""

from random import Random

import pytest

from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_memory import MemoryStore
from hillfield.events import EventCode, ListJournal
from hillfield.store.lease_clock import LeaseSettings
from hillfield.store.leases import LeaseKeeper
from hillfield.store.ports import Change


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Trial:
    def __init__(self) -> None:
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.journal = ListJournal()
        self.keeper = LeaseKeeper(
            self.store,
            LeaseSettings(seconds=9, margin=2),
            Random(1),
            self.journal,
            self.clock,
        )

    @property
    def held(self):
        return self.keeper.held(self.clock.now)

    @property
    def codes(self):
        return [event.code for event in self.journal.occurrences]

    async def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.now += 0.1
            # Each step depends on the one before.
            await self.keeper.step()  # noqa: WPS476


@pytest.fixture
def trial():
    return Trial()


async def test_holds_on_by_renewing(trial):
    assert not trial.held
    await trial.pass_time(60)
    assert trial.held
    assert trial.codes == [EventCode.LEASE_HELD]
    assert (await trial.store.renew(trial.keeper.number)).ok


async def test_paused_holder_wakes_without_the_lease(trial):
    await trial.pass_time(1)
    trial.clock.now += 60
    assert not trial.held
    first = trial.keeper.number
    await trial.pass_time(1)
    assert trial.held
    assert trial.keeper.number != first
    assert trial.codes[1:] == [
        EventCode.LEASE_DOUBTFUL,
        EventCode.LEASE_LOST,
        EventCode.LEASE_HELD,
    ]


async def test_write_under_a_lapsed_lease_is_refused(trial):
    await trial.pass_time(1)
    number = trial.keeper.number
    trial.clock.now += 60
    swapped = await trial.store.swap((Change('/r', 0, b'me', number),))
    assert not swapped.error.maybe_done


async def test_never_held_when_the_store_has_ended_it(trial):
    await trial.pass_time(1)
    await trial.store.set_faults(StoreFaults(outage=Outage.UNAVAILABLE))
    for _ in range(300):
        await trial.pass_time(0.1)  # noqa: WPS476 - one step at a time
        trial.store.state.settle()
        assert trial.store.state.leases.numbers or not trial.held
    assert not trial.held
    await trial.store.set_faults(StoreFaults())
    await trial.pass_time(10)
    assert trial.held


async def test_lost_answer_to_a_grant_ends_in_one_held_lease(trial):
    await trial.store.set_faults(StoreFaults(lost_answers=1))
    await trial.pass_time(20)
    assert trial.held
    assert trial.store.state.leases.numbers == (trial.keeper.number,)


async def test_expired_lease_is_noticed_and_replaced(trial):
    await trial.pass_time(1)
    trial.store.state.expire_all()
    await trial.pass_time(4)
    assert trial.held
    assert EventCode.LEASE_LOST in trial.codes


async def test_gives_up(trial):
    await trial.pass_time(1)
    await trial.keeper.give_up()
    assert not trial.held
    assert trial.store.state.leases.numbers == ()
