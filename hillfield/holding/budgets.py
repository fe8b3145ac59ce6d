"""What a node may hold, from the memory that it has.

The load answered: many large requests at once, or callers and targets that
read slowly. A process that takes more memory than it has is ended with all
that it holds, so what finds no room is refused before its body is read.
"""

import sys
from typing import Final

from msgspec import Struct

from hillfield.holding.pools import BytePool

# Bytes of a node that holds nothing for anybody: twice what one takes in a
# fleet of 300 hosts.
OWN_BYTES: Final = 80_000_000
# The kernel may hold as much again for a connection as the process does, and
# the remainder is shared by requests and answers.
REMAINDER_SHARE: Final = 0.25
# With less than its own bytes a node still serves a few at a time.
MINIMUM_SHARE: Final = 0.05
# Of the memory that a host gives a process, what the bodies under way to its
# target may take there: they are held as bytes and again as what is made of
# them, beside the target itself.
TARGET_SHARE: Final = 0.25
# Seconds after which a refused request may come again: a body of a megabyte
# passes in as many at 10 Mbit/s.
COME_BACK: Final = 1.0


class ByteLimits(Struct, frozen=True):
    """Bound bytes held of requests and answers, and under way to the target."""

    requests: int = sys.maxsize
    answers: int = sys.maxsize
    target: int = sys.maxsize


class ByteBudget(Struct, frozen=True):
    """Hold the pools of a node; the servers of a node share one."""

    requests: BytePool
    answers: BytePool
    target: BytePool

    def find_refusal(self, account: str, kept: int, body: int) -> str:
        """Return why a request is not let in; empty: it may come.

        `kept` are the bytes that the node will hold of it at a time, `body`
        those that the target will. Who holds answers that nobody reads is
        refused as well: the answer to the next request would join them.
        """
        if not self.requests.admits(account, kept):
            return 'no room for its body'
        if not self.answers.admits(account, 0):
            return 'answers to this account are not taken'
        if not self.target.admits(account, body):
            return 'no room for its body at the target'
        return ''


def make_budget(limits: ByteLimits | None = None) -> ByteBudget:
    """Return empty pools; without limits they take anything."""
    limits = limits or ByteLimits()
    return ByteBudget(
        BytePool(limits.requests),
        BytePool(limits.answers),
        BytePool(limits.target),
    )


def share_with_callers(budget: ByteBudget) -> ByteBudget:
    """Return the budget of requests that go to targets of any host.

    Each of them has a gate of its own, which bounds what it holds.
    """
    anywhere = BytePool(ByteLimits().target)
    return ByteBudget(budget.requests, budget.answers, anywhere)


def make_limits(memory: int | None) -> ByteLimits:
    """Return the limits of a process with so many bytes; None: no limit.

    >>> make_limits(200_000_000)
    ByteLimits(requests=30000000, answers=30000000, target=50000000)
    >>> make_limits(60_000_000).requests
    3000000
    """
    if memory is None:
        return ByteLimits()
    rest = (memory - OWN_BYTES) * REMAINDER_SHARE
    share = int(max(rest, memory * MINIMUM_SHARE))
    return ByteLimits(share, share, int(memory * TARGET_SHARE))
