"""Limits of the bytes that a node holds, derived from its memory.

Many large requests at once, or callers and targets that read slowly, could use
up the memory. The kernel ends a process that exceeds its memory, with all its
requests, so a request beyond the budget is refused before its body is read.
"""

import sys
from typing import Final

from msgspec import Struct

from hillfield.holding.pools import BytePool

# Bytes of a node without requests: twice the memory that it uses in a fleet of
# 300 hosts.
OWN_BYTES: Final = 80_000_000
# Share of the remaining memory for requests, and the same for answers. The
# other half is for the kernel, which may buffer as much for a connection as
# the process.
REMAINDER_SHARE: Final = 0.25
# Least share of the memory, so that a node with less than its own bytes still
# serves a few requests at a time.
MINIMUM_SHARE: Final = 0.05
# Share of a process's memory on the host for bodies in flight to its target:
# the target holds them as bytes and again as decoded objects, beside its own
# memory.
TARGET_SHARE: Final = 0.25
# Seconds after which a refused request may be retried: about the time in which
# a body of 1 MB is transferred at 10 Mbit/s.
RETRY_AFTER: Final = 1.0


class ByteLimits(Struct, frozen=True):
    """Bound the bytes of requests, of answers, and in flight to the target."""

    requests: int = sys.maxsize
    answers: int = sys.maxsize
    target: int = sys.maxsize


class ByteBudget(Struct, frozen=True):
    """Hold the byte pools that all servers of a node share."""

    requests: BytePool
    answers: BytePool
    target: BytePool

    def find_refusal(self, account: str, kept: int, body: int) -> str:
        """Return why a request is refused; empty if it is admitted.

        `kept` is how many bytes the node will hold of it at a time, `body` how
        many the target will. An account whose answers are not read is refused
        too, since the answer to the next request would be added to them.
        """
        if not self.requests.admits(account, kept):
            return 'no room for its body'
        if not self.answers.admits(account, 0):
            return 'answers to this account are not taken'
        if not self.target.admits(account, body):
            return 'no room for its body at the target'
        return ''


def build_budget(limits: ByteLimits | None = None) -> ByteBudget:
    """Create empty pools; without limits they admit everything."""
    limits = limits or ByteLimits()
    return ByteBudget(
        BytePool(limits.requests),
        BytePool(limits.answers),
        BytePool(limits.target),
    )


def lift_target_limit(budget: ByteBudget) -> ByteBudget:
    """Return the same pools without a limit for the target.

    It is for requests to targets of any host: each target has a gate, which
    limits the bytes in flight to it.
    """
    anywhere = BytePool(ByteLimits().target)
    return ByteBudget(budget.requests, budget.answers, anywhere)


def compute_limits(memory: int | None) -> ByteLimits:
    """Compute the limits from a process's memory in bytes; None: no limits.

    >>> compute_limits(200_000_000)
    ByteLimits(requests=30000000, answers=30000000, target=50000000)
    >>> compute_limits(60_000_000).requests
    3000000
    """
    if memory is None:
        return ByteLimits()
    rest = (memory - OWN_BYTES) * REMAINDER_SHARE
    share = int(max(rest, memory * MINIMUM_SHARE))
    return ByteLimits(share, share, int(memory * TARGET_SHARE))
