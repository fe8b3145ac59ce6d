"""Order of waiting requests."""

from msgspec import Struct


class QueueOrder(Struct, frozen=True, order=True):
    """Order the requests that wait for one service: the least goes first.

    `long` says that a request takes about as long as others or longer,
    `priority` is that of its route (0 is the highest).

    >>> QueueOrder(long=False, priority=2) < QueueOrder(long=True, priority=0)
    True
    """

    long: bool = True
    priority: int = 0
