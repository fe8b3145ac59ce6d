"""Read a range of keys page by page."""

from expression import Error, Ok, Result
from msgspec import Struct

from hillfield.store.ports import Page, Store, StoredValue, StoreError


class Span(Struct, frozen=True):
    """Name the keys under a prefix that follow `after`.

    With `last`, those beyond it may be left out; with `stale`, what is read
    may be some seconds old.
    """

    prefix: str
    after: str = ''
    last: str = ''
    stale: bool = False

    def is_read(self, page: Page) -> bool:
        """Tell whether the span ends with a page."""
        if not page.more:
            return True
        reached = page.entries[-1].key
        return '' < self.last <= reached


class Snapshot(Struct, frozen=True):
    """Hold all keys of a span, each with its own revision.

    Take a key that isn't here as deleted at `revision`, unless what is held
    of it is newer; a change that follows may say otherwise. Entries may be
    newer than `revision`.
    """

    revision: int
    entries: tuple[StoredValue, ...]


async def read_span(
    store: Store,
    span: Span,
    limit: int,
) -> Result[Snapshot, StoreError]:
    """Read all keys of a span, at most `limit` a call."""
    entries: list[StoredValue] = []
    revision = 0
    page: Page | None = None
    while page is None or not span.is_read(page):
        after = entries[-1].key if entries else span.after
        reply = await store.read_range(
            span.prefix,
            after,
            limit,
            stale=span.stale,
        )
        if reply.is_error():
            return Error(reply.error)
        page = reply.ok
        if page.more and not page.entries:
            return Error(StoreError('store read-range', '', 'an empty page'))
        entries.extend(page.entries)
        # What changes while the rest is read may be missing, so the oldest
        # of the pages tells up to where the snapshot is whole.
        revision = min(revision or page.revision, page.revision)
    return Ok(Snapshot(revision, tuple(entries)))
