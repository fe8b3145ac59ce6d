"""Count what this process asks of the store."""

from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from enum import StrEnum


class CallKind(StrEnum):
    """Name the kinds of calls; each counts against the store's rate."""

    GET = 'get'
    READ_RANGE = 'read-range'
    SWAP = 'swap'
    GRANT = 'grant'
    RENEW = 'renew'
    REVOKE = 'revoke'
    WATCH = 'watch'


@dataclass(slots=True)
class CallCounts:
    """Hold running totals since the start, and the watches that wait now."""

    started: Counter[CallKind] = field(default_factory=Counter)
    failed: Counter[CallKind] = field(default_factory=Counter)
    maybe_done: int = 0
    calls_in_flight: int = 0
    waiting_watches: int = 0

    def note_started(self, kind: CallKind) -> None:
        """Count one more call as it is sent."""
        self.started[kind] += 1

    def note_failed(self, kind: CallKind, *, maybe_done: bool) -> None:
        """Count a failure, and whether a write is left in doubt."""
        self.failed[kind] += 1
        self.maybe_done += maybe_done

    @contextmanager
    def calling(self) -> Iterator[None]:
        """Count a call in flight while the body runs."""
        self.calls_in_flight += 1
        with ExitStack() as stack:
            stack.callback(self._end_call)
            yield

    @contextmanager
    def watching(self) -> Iterator[None]:
        """Count a waiting watch while the body runs."""
        self.waiting_watches += 1
        with ExitStack() as stack:
            stack.callback(self._end_watch)
            yield

    def _end_call(self) -> None:
        self.calls_in_flight -= 1

    def _end_watch(self) -> None:
        self.waiting_watches -= 1
