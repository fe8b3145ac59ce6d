"""Byte limit shared among client accounts."""

from collections import Counter


class BytePool:
    """Count the bytes that accounts hold, and decide who may hold more.

    An account may hold at most as much as is free afterwards. A single account
    thus gets half of the pool, two greedy ones a third each, and an account
    that holds nothing always finds some bytes free, without a limit per
    account.
    """

    def __init__(self, limit: int) -> None:
        """Create an empty pool; `limit` is in bytes."""
        self.limit = limit
        self.total = 0
        self._held: Counter[str] = Counter()

    def held_by(self, account: str) -> int:
        """Return the bytes that one account holds."""
        return self._held[account]

    def admits(self, account: str, size: int) -> bool:
        """Return whether an account may hold `size` bytes more.

        While the pool is empty, any size is admitted; otherwise a request
        larger than half of the pool never would be.

        >>> pool = BytePool(100)
        >>> pool.change('baker', 40)
        >>> pool.admits('baker', 10), pool.admits('baker', 11)
        (True, False)
        >>> pool.admits('till', 30)
        True
        """
        held = self._held.get(account, 0)
        if not self.total or not held + size:
            return True
        return held + size <= self.limit - self.total - size

    def change(self, account: str, size: int) -> None:
        """Add bytes to those of an account; a negative size removes them."""
        self.total += size
        left = self._held[account] + size
        if left:
            self._held[account] = left
        else:
            # Accounts without bytes are removed, so that the pool stays small.
            self._held.pop(account, None)
