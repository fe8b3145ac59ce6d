"""Whose turn it is among requests that wait."""

from msgspec import Struct


class QueueOrder(Struct, frozen=True, order=True):
    """Order requests that wait for one service: the least goes first.

    `long` says that it takes about as long as others or longer, `priority` is
    the rank that its route has (0 is the highest).

    >>> QueueOrder(long=False, priority=2) < QueueOrder(long=True, priority=0)
    True
    """

    long: bool = True
    priority: int = 0
