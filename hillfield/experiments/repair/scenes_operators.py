"""Scenes in which operators race while the store loses answers."""

from asyncio import gather
from collections.abc import Callable, Iterator
from functools import partial
from itertools import count
from typing import Final

from expression import Result
from msgspec.structs import replace

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.editing import Applied, Authorship, EditFailure
from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.storage.keys import Keys
from hillfield.demo.layout import CLUSTER
from hillfield.experiments.repair.ground import Ground
from hillfield.experiments.repair.outcomes import Outcome, Wish
from hillfield.experiments.repair.steps import expect, in_turn
from hillfield.experiments.repair.store_steps import (
    lose_answers,
    mend_store,
    read_revision,
)

ROUNDS: Final = 5
LOST: Final = 3
TENTH: Final = 0.1
LEAST_DEADLINE: Final = 2

Ended = Result[Applied, EditFailure]
Accounts = tuple[ClientAccount, ...]
Standing = dict[str, ClientAccount]
Told = tuple[tuple[ClientAccount, Ended], ...]
Judge = Callable[[Told, Standing], bool]


async def race_on_one(ground: Ground) -> Outcome:
    """Let two operators change the same account, again and again."""
    account = ground.example.configuration.accounts[0]
    return await _race_often(ground, (account, account), _find_winner)


async def race_on_two(ground: Ground) -> Outcome:
    """Let two operators change accounts that share one value in the store."""
    account = ground.example.configuration.accounts[0]
    accounts = tuple(replace(account, name=name) for name in find_pair())
    return await _race_often(ground, accounts, _find_both)


def find_pair() -> tuple[str, str]:
    """Return two accounts that lie in one bucket.

    >>> first, second = find_pair()
    >>> first != second
    True
    """
    keys = Keys(CLUSTER)
    seen: dict[str, str] = {}
    names = (f'racer-{number}' for number in count())
    name = next(names)
    while keys.account(name) not in seen:
        seen[keys.account(name)] = name
        name = next(names)
    return seen[keys.account(name)], name


async def _race_often(
    ground: Ground,
    accounts: tuple[ClientAccount, ...],
    judge: Judge,
) -> Outcome:
    rounds = range(ROUNDS)
    wishes = await in_turn(
        partial(_race, ground, _vary(accounts, number), judge)
        for number in rounds
    )
    return Outcome(
        accepted=(expect(ground.revision, ground.hosts),),
        wishes=wishes,
    )


async def _race(ground: Ground, wanted: Accounts, judge: Judge) -> Wish:
    seen = read_revision(ground)
    await lose_answers(ground, LOST)
    ended = await gather(*(_apply(ground, each, seen) for each in wanted))
    await mend_store(ground)
    standing = await ground.make_editor().load()
    accounts = {known.name: known for known in standing.ok.accounts()}
    held = judge(tuple(zip(wanted, ended, strict=True)), accounts)
    stood = ', '.join(_show_standing(accounts, wanted))
    told = '; '.join(map(_show, ended))
    return Wish('what was accepted stands', held, f'{told}; stood: {stood}')


async def _apply(
    ground: Ground,
    account: ClientAccount,
    seen: int,
) -> Ended:
    ended = await ground.make_editor().apply(
        Configuration((), (account,)),
        Authorship('racer', over=seen),
    )
    if ended.is_ok():
        ground.note_accepted(ended.ok)
    return ended


def _show_standing(standing: Standing, wanted: Accounts) -> Iterator[str]:
    for account in wanted:
        found = standing.get(account.name)
        yield str(found.use[0].deadline) if found else 'nothing'


def _show(ended: Ended) -> str:
    if ended.is_ok():
        revision = ended.ok.revision
        return f'accepted at {revision}'
    return type(ended.error.reason).__name__


def _find_winner(
    ended: Told,
    standing: Standing,
) -> bool:
    """Tell whether just one was accepted, and stands.

    Both knew the same, so that the second would undo the first unseen.
    """
    accepted = [account for account, end in ended if end.is_ok()]
    return [
        standing.get(account.name) for account in accepted
    ] == accepted and (len(accepted) == 1)


def _find_both(
    ended: Told,
    standing: Standing,
) -> bool:
    """Tell whether each was accepted and stands."""
    return all(
        end.is_ok() and standing.get(account.name) == account
        for account, end in ended
    )


def _vary(accounts: Accounts, number: int) -> Accounts:
    return tuple(
        _turn(account, number * len(accounts) + side)
        for side, account in enumerate(accounts)
    )


def _turn(account: ClientAccount, number: int) -> ClientAccount:
    first, *others = account.use
    deadline = round(LEAST_DEADLINE + number * TENTH, 1)
    return replace(
        account,
        use=(replace(first, deadline=deadline), *others),
    )
