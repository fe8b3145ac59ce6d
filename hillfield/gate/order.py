"""Decide the order of requests that wait at the gate of a target; pure.

The order matters in an overload, when a target has fewer slots than requests:
more urgent requests go first, and no client account gets the slots of others
by sending more requests.
"""

from collections.abc import Mapping, Sequence
from typing import Final

from msgspec import Struct

# Usage that calls of other services count with where accounts share the
# target: less than that of any account, so that they go first.
USAGE_OF_CALLS: Final = -1.0


class Rank(Struct, frozen=True):
    """Hold the properties that decide a request's order; times are seconds.

    `late`: its answer would come after the time in which it is worth most;
    `long`: it holds a slot for longer than other requests; `priority`: that of
    its account and route (0 goes first); `expires`: when its caller gives up,
    by the monotonic clock; `account`: its client account (empty: none);
    `service_call`: it names no account and began on a host of another service;
    `cost`: how long it is expected to hold its slot.
    """

    late: bool = False
    long: bool = False
    priority: int = 0
    expires: float = 0
    account: str = ''
    service_call: bool = False
    cost: float = 0


class QueueOrder(Struct, frozen=True, order=True):
    """Order the waiting requests: the least goes first.

    `level` is the effective priority, `used` the seconds of slots that the
    account will have used by then, `number` the position in the order of
    arrival.
    """

    late: bool
    level: int
    used: float
    long: bool
    expires: float
    number: int


def is_call(rank: Rank, by_account: bool) -> bool:
    """Return whether a request is a call made by running work of a service.

    Running work holds a slot of another target while it waits for its calls.
    `by_account`: client accounts share the target, so a request that names
    none is from no client. Elsewhere only short requests count as calls.

    >>> is_call(Rank(long=True, service_call=True), by_account=True)
    True
    >>> is_call(Rank(long=True, service_call=True), by_account=False)
    False
    """
    return rank.service_call and (by_account or not rank.long)


def compute_order(
    ranks: Sequence[Rank],
    usage: Mapping[str, float],
) -> tuple[QueueOrder, ...]:
    """Return the order of all waiting requests, given in order of arrival.

    `usage` holds the seconds of slots that each account has used lately. Each
    waiting request adds to the usage that the next one of its account counts
    with, so that accounts alternate. A call gets the priority of the most
    urgent waiting request.

    >>> first, second = compute_order([Rank(priority=2), Rank(priority=1)], {})
    >>> second < first
    True
    >>> alike = [Rank(account=name, cost=1) for name in 'aab']
    >>> orders = compute_order(alike, {})
    >>> sorted(range(3), key=orders.__getitem__)
    [0, 2, 1]
    """
    by_account = any(rank.account for rank in ranks)
    least = min((rank.priority for rank in ranks), default=0)
    orders = [
        QueueOrder(
            rank.late,
            least if is_call(rank, by_account) else rank.priority,
            0,
            rank.long,
            rank.expires,
            number,
        )
        for number, rank in enumerate(ranks)
    ]
    return _add_usage(ranks, orders, usage) if by_account else tuple(orders)


def list_outranked(
    ranks: Sequence[Rank],
    orders: Sequence[QueueOrder],
) -> tuple[int, ...]:
    """Return the numbers of the requests that go after the newest by rank.

    Requests that differ from it only in length or expiry are not among them:
    they have come first.
    """
    newcomer = orders[-1]
    account = ranks[-1].account
    return tuple(
        order.number
        for order in orders[:-1]
        if order.level >= newcomer.level
        and _differs(ranks[order.number], order, account, newcomer)
        and (newcomer.late, newcomer.level, newcomer.used)
        < (order.late, order.level, order.used)
    )


def select_displaced(
    ranks: Sequence[Rank],
    orders: Sequence[QueueOrder],
) -> int | None:
    """Return the number of the request that the newest one displaces, if any.

    Calls are never displaced: the work that waits for them holds a slot of
    another target.
    """
    by_account = any(rank.account for rank in ranks)
    outranked = [
        number
        for number in list_outranked(ranks, orders)
        if not is_call(ranks[number], by_account)
    ]
    return max(outranked, key=orders.__getitem__, default=None)


def _differs(
    rank: Rank,
    order: QueueOrder,
    account: str,
    other: QueueOrder,
) -> bool:
    return rank.account != account or order.level != other.level


def _add_usage(
    ranks: Sequence[Rank],
    orders: Sequence[QueueOrder],
    usage: Mapping[str, float],
) -> tuple[QueueOrder, ...]:
    """Set the accounts' usage, in the order of each account's own requests."""
    used = dict(usage)
    by_number = {}
    for order in sorted(orders):
        rank = ranks[order.number]
        seconds: float = USAGE_OF_CALLS
        if not rank.service_call:
            seconds = used.get(rank.account, 0)
            used[rank.account] = seconds + rank.cost
        by_number[order.number] = QueueOrder(
            order.late,
            order.level,
            seconds,
            order.long,
            order.expires,
            order.number,
        )
    return tuple(by_number[number] for number in range(len(orders)))
