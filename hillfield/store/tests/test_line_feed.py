"""Lines of a watch, however the connection cuts them."""

from asyncio import run

import pytest

from hillfield.store.store_settings import StoreSettings
from hillfield.store.line_feed import LineFeed

TEXT = b'one\n\nthree\nfo'


def read_lines(feed: LineFeed, count: int) -> list[bytes]:
    return [run(feed.next_line()).ok for _ in range(count)]


@pytest.mark.parametrize('size', [1, 2, 5, 100])
def test_lines_are_whole_wherever_they_are_cut(size):
    feed = LineFeed(StoreSettings(()))
    for start in range(0, len(TEXT), size):
        feed.take(TEXT[start : start + size])
    assert read_lines(feed, 3) == [b'one', b'', b'three']
    feed.take(b'ur\n')
    assert read_lines(feed, 1) == [b'four']
    feed.finish('over')
    assert run(feed.next_line()).error == 'over'


def test_reader_that_is_too_slow_gets_what_is_whole_and_then_the_end():
    feed = LineFeed(StoreSettings((), answer_limit=8))
    for _ in range(5):
        feed.take(b'1234\n')
    assert read_lines(feed, 2) == [b'1234', b'1234']
    feed.take(b'5678\n')
    assert 'not read as fast' in run(feed.next_line()).error


def test_what_was_read_makes_room():
    feed = LineFeed(StoreSettings((), answer_limit=8))
    for number in range(9):
        feed.take(b'%d234\n' % number)
        assert read_lines(feed, 1) == [b'%d234' % number]
