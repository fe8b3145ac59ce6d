"""A gate's room in a header."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from hillfield.loadreports import Held, LoadReport, read_room, write_room
from hillfield.model import Address, TargetId

TARGET = TargetId('fees', Address('10.0.0.1', 80), 7)
numbers = st.integers(min_value=0, max_value=2**53)
reports = st.builds(
    LoadReport,
    service=st.just('fees'),
    ip=st.just('10.0.0.1'),
    port=st.just(80),
    incarnation=st.just(7),
    number=numbers,
    free=numbers,
    waiting=numbers,
    held=st.sampled_from(Held),
    wait=st.floats(min_value=0, max_value=3600),
    usable=numbers,
)


@given(reports)
def test_what_is_written_is_read(report):
    assert read_room(TARGET, write_room(report)) == report


@given(st.text())
def test_what_cannot_be_read_tells_nothing(text):
    told = read_room(TARGET, text)
    assert told is None or told.target == TARGET


def test_the_room_of_another_life_tells_nothing():
    """A target that starts again has the address that it had."""
    report = LoadReport('fees', '10.0.0.1', 80, 8, 1, 5)
    assert read_room(TARGET, write_room(report)) is None
    same = replace(report, incarnation=7)
    assert read_room(TARGET, write_room(same)) == same
