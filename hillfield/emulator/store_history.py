"""Hold the changes of the store stand-in, to replay or to undo them."""

from collections import deque
from collections.abc import Mapping
from typing import Final

from expression import Error, Ok, Result

from hillfield.emulator.store_values import Change, Record, Refusal, Span

HISTORY_LIMIT: Final = 100_000
OUT_OF_RANGE: Final = 11


class History:
    """Hold the newest changes in order, at most `limit` and one revision."""

    def __init__(self, limit: int = HISTORY_LIMIT) -> None:
        """Start empty."""
        self.newest = 0
        self.compacted = 0
        self._limit = limit
        self._changes: deque[Change] = deque()

    def append(self, change: Change) -> None:
        """Add the newest change."""
        surplus = len(self._changes) - self._limit
        if surplus >= 0 and change.revision > self.newest:
            self.compact(self._changes[surplus].revision)
        self.newest = change.revision
        self._changes.append(change)

    def find(
        self, span: Span, since: int
    ) -> Result[tuple[Change, ...], Refusal]:
        """Return the span's changes from revision `since` on, in order."""
        if since <= self.compacted:
            return Error(self.refuse())
        found: list[Change] = []
        for change in reversed(self._changes):
            if change.revision < since:
                break
            if span.covers(change.key):
                found.append(change)
        return Ok(tuple(reversed(found)))

    def rewind(
        self,
        records: Mapping[bytes, Record],
        revision: int,
    ) -> dict[bytes, Record]:
        """Return the records as they were at an older revision."""
        past = dict(records)
        for change in reversed(self._changes):
            if change.revision <= revision:
                break
            past.pop(change.key, None)
            if change.before is not None:
                past[change.key] = change.before
        return past

    def compact(self, revision: int) -> None:
        """Forget the changes up to and with this revision."""
        self.compacted = max(self.compacted, revision)
        changes = self._changes
        while changes and changes[0].revision <= self.compacted:
            changes.popleft()

    def refuse(self) -> Refusal:
        """Say from where on the history is known."""
        message = 'required revision has been compacted'
        return Refusal(OUT_OF_RANGE, message, self.compacted)
