"""Log lines written to a descriptor that may be slow, full or closed."""

import os
from select import PIPE_BUF, POLLOUT, poll
from typing import Final

CUT_MARK: Final = b'...\n'


class LineStream:
    """Write complete lines without waiting for the reader.

    A writable pipe accepts at least `PIPE_BUF` bytes, so a line of at most
    that many does not block; a longer one is cut. If the reader has stopped,
    lines are dropped and counted in `lost`, so that a hanging log collector
    does not block the node.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to this descriptor, such as 2 for standard error."""
        self.lost = 0
        self._descriptor = descriptor
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)

    def write(self, line: str) -> None:
        """Write a line that ends in a newline, or drop it."""
        encoded = line.encode('utf-8', 'replace')
        if len(encoded) > PIPE_BUF:
            encoded = encoded[: PIPE_BUF - len(CUT_MARK)] + CUT_MARK
        if self._write_now(encoded):
            self.lost = 0
        else:
            self.lost += 1

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def _write_now(self, encoded: bytes) -> bool:
        if not self._poll.poll(0):
            return False
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            return False
        return True
