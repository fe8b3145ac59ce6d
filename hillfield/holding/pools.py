"""One number of bytes, shared out among client accounts."""

from collections import Counter


class BytePool:
    """Count what accounts hold, and say which of them may hold more.

    An account may come to hold as much as is left free then. So a single one gets half
    of the pool and leaves the other half, two greedy ones a third each; one
    that holds nothing always finds room, with no figure set for any account.
    """

    def __init__(self, limit: int) -> None:
        """Start with nothing held; `limit` is in bytes."""
        self.limit = limit
        self.total = 0
        self._held: Counter[str] = Counter()

    def held_by(self, account: str) -> int:
        """Return the bytes of one account."""
        return self._held[account]

    def admits(self, account: str, size: int) -> bool:
        """Tell whether an account may hold so many bytes more.

        What is alone may pass at any size: else it never could.

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
        """Count bytes that an account holds more, or fewer (below zero)."""
        self.total += size
        left = self._held[account] + size
        if left:
            self._held[account] = left
        else:
            # No trace is kept of accounts that hold nothing.
            self._held.pop(account, None)
