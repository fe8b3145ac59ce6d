"""Racing operators, lost answers and refusals against a store in memory."""

from asyncio import gather, run, sleep
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

import pytest
from expression import Error, Result
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from hillfield.configuration.public import (
    AccountParameters,
    Bounds,
    ClientAccount,
    Configuration,
    Entry,
    Replica,
    RouteRule,
    ServiceUse,
    Template,
)
from hillfield.configuration.editing.editor import Authorship, Editor
from hillfield.configuration.editing.outcomes import (
    Applied,
    Contended,
    EditFailure,
    Raced,
    Refused,
    Unreachable,
    Unsettled,
)
from hillfield.configuration.editing.snapshots import DecodedSnapshot
from hillfield.configuration.storage.keys import bucket_of
from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_memory import MemoryStore
from hillfield.store.ports import (
    Accepted,
    Change,
    Conflict,
    StoreError,
    StoredValue,
)

Kind = TypeVar('Kind')
HASH = '0' * 64
CLAIMS = Template(
    service='claims',
    route=(RouteRule('claim', ('POST',), '/claims'),),
    deadline=2,
    account_parameters=AccountParameters(deadline=Bounds(1, 5)),
)
ANNA = Authorship('anna')
BJARNI = Authorship('bjarni')


def make_account(name: str, deadline: float = 2) -> ClientAccount:
    use = ServiceUse('claims', deadline=deadline)
    return ClientAccount(name, (HASH,), (use,))


def configure(*parts: Template | ClientAccount) -> Configuration:
    return Configuration(
        tuple(part for part in parts if isinstance(part, Template)),
        tuple(part for part in parts if isinstance(part, ClientAccount)),
    )


def find_bucket_mates(count: int) -> list[str]:
    """Return names of accounts that share a bucket."""
    names = (f'desk-{number}' for number in range(60000))
    return list(islice((name for name in names if not bucket_of(name)), count))


MATES = tuple(find_bucket_mates(30))
ONE = MATES[0]
OTHER = MATES[1]


@dataclass
class Script:
    """Say what happens at the next write.

    `before` and `after` are applied by Anna around it. `loses` takes the
    write away before it has an effect and gives it to `late`. Then, so many
    reads fail.
    """

    before: Configuration | None = None
    after: Configuration | None = None
    loses: bool = False
    broken: int = 0
    late: tuple[Change, ...] = ()


class ScriptedStore(MemoryStore):
    """Interfere with the next write, once."""

    def __init__(self) -> None:
        """Start empty and without interference."""
        super().__init__(clock=float)
        self.script = Script()
        self.broken = 0
        self.fails_at = 0
        self.sizes: list[int] = []

    async def swap(
        self,
        changes: tuple[Change, ...],
    ) -> Result[Accepted | Conflict, StoreError]:
        """Write, as the script wants it."""
        self.sizes.append(len(changes))
        script = self.script
        self.script = Script()
        await sleep(0)
        await self._apply(script.before)
        self.broken = script.broken
        if script.loses:
            script.late = changes
            return Error(StoreError('swap', 'memory', 'lost', maybe_done=True))
        if len(self.sizes) == self.fails_at:
            return Error(StoreError('swap', 'memory', 'down'))
        answer = await super().swap(changes)
        await self._apply(script.after)
        return answer

    async def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Read, unless reads are broken."""
        if self.broken:
            self.broken -= 1
            return Error(StoreError('get', 'memory', 'down'))
        # Others come in between, as over a network.
        await sleep(0)
        return await super().get(key)

    async def _apply(self, theirs: Configuration | None) -> None:
        if theirs is not None:
            assert (await make_editor(self).apply(theirs, ANNA)).is_ok()


def make_editor(store: MemoryStore) -> Editor:
    return Editor(store, 'test', clock=lambda: 1000, pause=0)


def load(store: MemoryStore) -> DecodedSnapshot:
    return run(make_editor(store).load()).ok


def load_history(store: MemoryStore) -> list[str]:
    history = run(make_editor(store).load_history()).ok
    stamps = [stamp for held in history.read.values() for stamp in held.stamps]
    return sorted(name for stamp in stamps for name in stamp.names)


def apply(
    store: MemoryStore,
    *parts: Template | ClientAccount,
    authorship: Authorship = BJARNI,
    based_on: int | None = None,
) -> Result[Applied, EditFailure]:
    wanted = replace(configure(*parts), based_on=based_on)
    return run(make_editor(store).apply(wanted, authorship))


def prepare(*parts: Template | ClientAccount) -> ScriptedStore:
    store = ScriptedStore()
    assert apply(store, CLAIMS, authorship=ANNA).is_ok()
    if parts:
        assert apply(store, *parts, authorship=ANNA).is_ok()
    return store


def find_reason(ending: Result[Applied, EditFailure], kind: type[Kind]) -> Kind:
    reason = ending.error.reason
    assert isinstance(reason, kind)
    return reason


def read_revision(store: MemoryStore) -> int:
    return store.state.core.revision


def test_apply_is_in_force_by_one_adoption():
    store = prepare(make_account(ONE))
    replica = Replica('test')
    page = run(store.read_range('/hillfield/test/', '', 100)).ok
    for found in page.entries:
        if replica.keys.holds_configuration(found.key):
            replica.adopt(Entry(found.key, found.revision, found.payload))
    assert replica.templates.find('claims') == CLAIMS
    assert replica.refusals == 0


def test_repeat_changes_nothing_and_writes_no_history():
    store = prepare(make_account(ONE))
    before = read_revision(store)
    applied = apply(store, CLAIMS, make_account(ONE)).ok
    assert not applied.changed
    assert applied.revision == before == read_revision(store)
    assert load_history(store) == [f'account {ONE}', 'template claims']


def test_race_in_one_bucket_merges():
    store = prepare(make_account(ONE))
    store.script = Script(before=configure(make_account(ONE, 4)))
    applied = apply(store, make_account(OTHER)).ok
    assert applied.changed == (f'account {OTHER}',)
    stands = {make_account(OTHER), make_account(ONE, 4)}
    assert set(load(store).accounts()) == stands
    assert load_history(store).count(f'account {ONE}') == 2


def test_race_for_one_account_names_the_other_and_loses_nothing():
    store = prepare(make_account(ONE))
    theirs = make_account(ONE, 4)
    store.script = Script(before=configure(theirs))
    mine = make_account(ONE, 3)
    lost = find_reason(apply(store, mine), Raced).races[0]
    assert (lost.author, lost.at) == ('anna', 1000)
    assert lost.revision == read_revision(store)
    assert (lost.theirs, lost.mine) == (theirs, mine)
    assert load(store).accounts() == (theirs,)


def test_race_for_one_template():
    store = prepare()
    theirs = replace(CLAIMS, floor=0.7)
    store.script = Script(before=configure(theirs))
    ending = apply(store, replace(CLAIMS, floor=0.6))
    assert find_reason(ending, Raced).races[0].author == 'anna'
    assert load(store).templates() == {'claims': theirs}


def test_race_to_the_same_end_is_none():
    store = prepare(make_account(ONE))
    store.script = Script(before=configure(make_account(ONE, 4)))
    assert not apply(store, make_account(ONE, 4)).ok.changed
    assert load_history(store).count(f'account {ONE}') == 2


def test_one_part_raced_leaves_all_of_the_edit_out():
    store = prepare(make_account(ONE))
    store.script = Script(before=configure(make_account(ONE, 4)))
    ending = apply(store, make_account(ONE, 3), make_account('desk-x'))
    assert len(find_reason(ending, Raced).races) == 1
    assert load(store).accounts() == (make_account(ONE, 4),)


def test_edit_based_on_an_older_state_is_a_race_until_told_over():
    store = prepare(make_account(ONE))
    base = read_revision(store)
    apply(store, make_account(ONE, 4), authorship=ANNA)
    # The other account of the bucket changes later, and is no race.
    apply(store, make_account(OTHER), authorship=ANNA)
    ending = apply(store, make_account(ONE, 3), based_on=base)
    lost = find_reason(ending, Raced).races[0]
    assert (lost.author, lost.revision) == ('anna', base + 1)
    over = replace(BJARNI, over=lost.revision)
    mine = make_account(ONE, 3)
    assert apply(store, mine, authorship=over, based_on=base).is_ok()
    assert len(load(store).accounts()) == 2


def test_edit_based_on_another_store_is_refused():
    store = prepare(make_account(ONE))
    later = read_revision(store) + 1
    ending = apply(store, make_account(ONE, 3), based_on=later)
    problem = find_reason(ending, Refused).problems[0]
    assert problem.field == 'based_on'
    assert 'hillfield config show' in problem.fix
    assert apply(store, make_account(ONE, 3), based_on=later - 1).is_ok()


def test_many_later_changes_of_a_bucket_count_as_a_race():
    store = prepare(make_account(ONE))
    base = read_revision(store)
    for name in MATES[1:10]:
        apply(store, make_account(name))
    ending = apply(store, make_account(ONE, 3), based_on=base)
    assert not find_reason(ending, Raced).races[0].author


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_lost_answer_is_recognised_and_written_once(lost):
    store = prepare()
    run(store.set_faults(StoreFaults(lost_answers=lost)))
    applied = apply(store, make_account(ONE)).ok
    assert applied.revision == read_revision(store)
    assert applied.changed == (f'account {ONE}',)
    assert load_history(store).count(f'account {ONE}') == 1


def test_lost_answer_then_overwritten_is_still_accepted():
    store = prepare(make_account(ONE))
    run(store.set_faults(StoreFaults(lost_answers=1)))
    store.script = Script(after=configure(make_account(ONE, 4)))
    applied = apply(store, make_account(ONE, 3)).ok
    assert applied.changed == (f'account {ONE}',)
    assert applied.revision == read_revision(store) - 1


def test_write_that_was_lost_on_its_way_is_made_again():
    store = prepare()
    store.script = Script(loses=True, broken=3)
    applied = apply(store, make_account(ONE)).ok
    assert applied.changed == (f'account {ONE}',)
    assert load(store).accounts() == (make_account(ONE),)


def test_lost_write_then_race_is_a_race_that_can_not_land_later():
    store = prepare(make_account(ONE))
    theirs = make_account(ONE, 4)
    script = Script(loses=True, before=configure(theirs))
    store.script = script
    find_reason(apply(store, make_account(ONE, 3)), Raced)
    assert isinstance(run(store.swap(script.late)).ok, Conflict)
    assert load(store).accounts() == (theirs,)


def test_unknown_is_said_when_the_store_stays_away():
    store = prepare()
    store.script = Script(loses=True, broken=100)
    assert find_reason(apply(store, make_account(ONE)), Unsettled).change


def test_store_that_is_down_is_unreachable():
    store = prepare()
    run(store.set_faults(StoreFaults(outage=Outage.REFUSE)))
    ending = apply(store, make_account(ONE))
    assert find_reason(ending, Unreachable).error.detail


def test_stale_reads_end_in_a_merge():
    store = prepare(make_account(ONE))
    run(store.set_faults(StoreFaults(stale_reads=3, stale_by=1)))
    assert apply(store, make_account(OTHER)).is_ok()
    assert len(load(store).accounts()) == 2


async def apply_at_once(
    store: MemoryStore,
    wanted: Sequence[ClientAccount],
) -> list[Result[Applied, EditFailure]]:
    return await gather(
        *(
            make_editor(store).apply(
                Configuration((), (one,), based_on=2),
                BJARNI,
            )
            for one in wanted
        ),
    )


def test_many_operators_in_one_bucket_lose_no_change():
    store = prepare()
    endings = run(apply_at_once(store, [make_account(name) for name in MATES]))
    written = [ending for ending in endings if ending.is_ok()]
    assert len(load(store).accounts()) == len(written)
    assert written
    for ending in endings:
        assert ending.is_ok() or find_reason(ending, Contended).tries == 8


@pytest.mark.parametrize(
    ('part', 'field'),
    [
        (make_account('x', 9), 'use[0].deadline'),
        (replace(make_account('x'), use=(ServiceUse('no'),)), '[0].service'),
        (
            replace(make_account('x'), use=(ServiceUse('claims', attempts=2),)),
            'use[0].attempts',
        ),
        (replace(CLAIMS, service='other'), 'other.route'),
        (replace(CLAIMS, deadline=9), 'claims.deadline'),
    ],
)
def test_what_does_not_fit_is_refused_and_nothing_written(part, field):
    store = prepare()
    before = read_revision(store)
    reason = find_reason(apply(store, part, make_account('good')), Refused)
    assert field in reason.problems[0].field
    assert read_revision(store) == before


def test_removal_is_explicit_and_not_while_in_use():
    store = prepare(make_account(ONE))
    editor = make_editor(store)
    apply(store, make_account(OTHER))
    assert len(load(store).accounts()) == 2
    refused = run(editor.remove_template('claims', ANNA))
    assert ONE in find_reason(refused, Refused).problems[0].found
    for name in (ONE, OTHER, ONE):
        assert run(editor.remove_account(name, ANNA)).is_ok()
    removed = run(editor.remove_template('claims', ANNA)).ok
    assert removed.changed == ('remove template claims',)
    assert not load(store).templates()
    # The key stays, so that a late reader can tell removed from unknown.
    stored = run(store.get(editor.keys.template('claims'))).ok
    assert stored is not None
    assert stored.payload


def test_large_edit_goes_in_parts_and_a_repeat_goes_on():
    accounts = [make_account(f'desk-{number}') for number in range(400)]
    store = prepare()
    store.fails_at = 3
    first = apply(store, *accounts)
    find_reason(first, Unreachable)
    second = apply(store, *accounts).ok
    assert first.error.accepted is not None
    assert len(first.error.accepted.changed) + len(second.changed) == 400
    assert max(store.sizes) <= 65
    assert len(load(store).accounts()) == 400


names = st.sampled_from((ONE, OTHER, 'desk-x'))
edits = st.lists(
    st.builds(make_account, names, st.integers(1, 5)),
    min_size=2,
    max_size=5,
)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(edits, st.integers(0, 3))
def test_racing_operators_agree_with_what_stands(wanted, lost):
    store = prepare()
    run(store.set_faults(StoreFaults(lost_answers=lost)))
    endings = run(apply_at_once(store, wanted))
    accepted = {
        account
        for account, ending in zip(wanted, endings, strict=True)
        if ending.is_ok()
    }
    # Each accepted part stands, and nothing else does.
    assert set(load(store).accounts()) == accepted
    for ending in endings:
        assert ending.is_ok() or find_reason(ending, Raced).races


def test_two_templates_made_at_once_never_take_the_same_requests():
    store = ScriptedStore()
    theirs = replace(CLAIMS, service='other')

    async def race():
        return await gather(
            make_editor(store).apply(configure(CLAIMS), ANNA),
            make_editor(store).apply(configure(theirs), BJARNI),
        )

    endings = run(race())
    assert [ending.is_ok() for ending in endings] == [True, False]
    problem = find_reason(endings[1], Refused).problems[0]
    assert problem.found == '/claims of claims too'
    assert set(load(store).templates()) == {'claims'}


def test_large_first_edit_finds_the_templates_of_its_earlier_parts():
    store = ScriptedStore()
    accounts = [make_account(f'desk-{number}') for number in range(200)]
    ending = apply(store, CLAIMS, *accounts)
    assert ending.is_ok()
    assert len(store.sizes) > 2
    assert len(load(store).accounts()) == 200


def test_history_keeps_more_changes_of_templates():
    store = ScriptedStore()
    deadlines = [1 + number / 100 for number in range(70)]
    for deadline in deadlines:
        apply(store, replace(CLAIMS, deadline=deadline))
    assert len(load_history(store)) == 70
