"""A log reader that hangs or exits neither blocks nor stops the node."""

import os
from collections.abc import Iterator

import pytest

from hillfield.events.streams import LineStream


@pytest.fixture
def pipe_ends() -> Iterator[list[int]]:
    pair = list(os.pipe())
    yield pair
    for descriptor in pair:
        os.close(descriptor)


def fill(stream: LineStream) -> None:
    while not stream.lost:
        stream.write('x' * 4000)


def test_full_pipe_drops_lines_and_counts_them(pipe_ends):
    stream = LineStream(pipe_ends[1])
    fill(stream)
    stream.write('dropped\n')
    assert stream.lost == 2
    os.read(pipe_ends[0], 1 << 20)
    stream.write('written\n')
    assert stream.lost == 0
    assert os.read(pipe_ends[0], 100) == b'written\n'


def test_closed_reader_does_not_raise(pipe_ends):
    stream = LineStream(pipe_ends[1])
    os.close(pipe_ends.pop(0))
    stream.write('nobody reads\n')
    assert stream.lost == 1


def test_long_line_is_cut(pipe_ends):
    stream = LineStream(pipe_ends[1])
    stream.write('x' * 100000)
    line = os.read(pipe_ends[0], 1 << 20)
    assert len(line) == 4096
    assert line.endswith(b'...\n')
