"""Reading of spans, page by page."""

from asyncio import run

from expression import Ok

from hillfield.emulator.store_memory import MemoryStore
from hillfield.store.paging import Span, read_span
from hillfield.store.ports import Change, Page

KEYS = tuple(f'/a/{number}' for number in range(6))


class EmptyPages(MemoryStore):
    """Say that more follows, and give nothing."""

    async def read_range(self, prefix, after, limit, *, stale=False):
        """Answer with an empty page."""
        return Ok(Page(1, (), True))


def fill() -> MemoryStore:
    store = MemoryStore(clock=float)
    for key in KEYS:
        assert run(store.swap((Change(key, 0, b'x'),))).is_ok()
    return store


def read(store: MemoryStore, span: Span) -> list[str]:
    return [entry.key for entry in run(read_span(store, span, 2)).ok.entries]


def test_reads_all_pages_or_up_to_the_last_key_wanted():
    store = fill()
    assert read(store, Span('/a/')) == list(KEYS)
    later = Span('/a/', after='/a/0')
    assert read(store, later) == list(KEYS[1:])
    first = Span('/a/', last='/a/2')
    assert read(store, first) == list(KEYS[:4])


def test_store_that_always_promises_more_ends_in_an_error():
    answer = run(read_span(EmptyPages(clock=float), Span('/a/'), 2))
    assert answer.error.detail == 'an empty page'
