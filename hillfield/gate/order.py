"""Decide who goes first at the gate of a target; pure.

This answers a crowd, while a target has fewer slots than requests: the more
urgent kind goes first, and no client account takes the slots of others by
asking for more of them.
"""

from collections.abc import Mapping, Sequence
from typing import Final

from msgspec import Struct

# The part of a call where accounts share the slots: before all of them.
PART_OF_CALLS: Final = -1.0


class Rank(Struct, frozen=True):
    """Say what counts for a request's turn; times are in seconds.

    `late`: its answer would come too late to be worth most; `long`: it holds
    a slot for longer than others; `priority` as its account and route say (0
    goes first); `expires` is when its caller gives up, by the monotonic clock;
    `account` is whose it is (empty: nobody's); `foreign`: it names no account
    and began on a host of another service; `cost` is how long it should hold
    its slot.
    """

    late: bool = False
    long: bool = False
    priority: int = 0
    expires: float = 0
    account: str = ''
    foreign: bool = False
    cost: float = 0


class Turn(Struct, frozen=True, order=True):
    """Order the waiting: the least goes first.

    `level` is the priority that counts, `part` the seconds of slots that the
    account has had by then, `number` tells who came first.
    """

    late: bool
    level: int
    part: float
    long: bool
    expires: float
    number: int


def is_call(rank: Rank, shared: bool) -> bool:
    """Tell whether a request is a call of running work, which holds a slot.

    `shared`: client accounts share the target, so what names none is no
    client's. Elsewhere calls are told by being short, too.

    >>> is_call(Rank(long=True, foreign=True), shared=True)
    True
    >>> is_call(Rank(long=True, foreign=True), shared=False)
    False
    """
    return rank.foreign and (shared or not rank.long)


def arrange(
    ranks: Sequence[Rank],
    parts: Mapping[str, float],
) -> tuple[Turn, ...]:
    """Return the turns of all that wait, given in the order they came.

    `parts` are the seconds of slots that each account has had lately. What
    waits of one account counts for those of it that come after, so accounts
    take turns. A call goes with the most urgent that waits.

    >>> first, second = arrange([Rank(priority=2), Rank(priority=1)], {})
    >>> second < first
    True
    >>> alike = [Rank(account=name, cost=1) for name in 'aab']
    >>> turns = arrange(alike, {})
    >>> sorted(range(3), key=turns.__getitem__)
    [0, 2, 1]
    """
    shared = any(rank.account for rank in ranks)
    least = min((rank.priority for rank in ranks), default=0)
    turns = [
        Turn(
            rank.late,
            least if is_call(rank, shared) else rank.priority,
            0,
            rank.long,
            rank.expires,
            number,
        )
        for number, rank in enumerate(ranks)
    ]
    return _share(ranks, turns, parts) if shared else tuple(turns)


def find_outranked(
    ranks: Sequence[Rank],
    turns: Sequence[Turn],
) -> tuple[int, ...]:
    """Return the numbers of those that the last one goes before by rank.

    Neither what is more urgent nor what differs only in length or expiry is
    among them: those have come first.
    """
    newcomer = turns[-1]
    account = ranks[-1].account
    return tuple(
        turn.number
        for turn in turns[:-1]
        if turn.level >= newcomer.level
        and _differs(ranks[turn.number], turn, account, newcomer)
        and (newcomer.late, newcomer.level, newcomer.part)
        < (turn.late, turn.level, turn.part)
    )


def find_last(
    ranks: Sequence[Rank],
    turns: Sequence[Turn],
) -> int | None:
    """Return the number of the one that makes way for the last one, if any.

    Never a call: what waits for it holds a slot of another target.
    """
    shared = any(rank.account for rank in ranks)
    outranked = [
        number
        for number in find_outranked(ranks, turns)
        if not is_call(ranks[number], shared)
    ]
    return max(outranked, key=turns.__getitem__, default=None)


def _differs(rank: Rank, turn: Turn, account: str, other: Turn) -> bool:
    return rank.account != account or turn.level != other.level


def _share(
    ranks: Sequence[Rank],
    turns: Sequence[Turn],
    parts: Mapping[str, float],
) -> tuple[Turn, ...]:
    """Put the accounts' parts into turns, in the order of their own work."""
    had = dict(parts)
    shared = {}
    for turn in sorted(turns):
        rank = ranks[turn.number]
        part: float = PART_OF_CALLS
        if not rank.foreign:
            part = had.get(rank.account, 0)
            had[rank.account] = part + rank.cost
        shared[turn.number] = Turn(
            turn.late,
            turn.level,
            part,
            turn.long,
            turn.expires,
            turn.number,
        )
    return tuple(shared[number] for number in range(len(turns)))
