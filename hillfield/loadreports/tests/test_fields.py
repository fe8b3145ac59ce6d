"""The header with a target's capacity."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from hillfield.loadreports import (
    LoadReport,
    WithheldWork,
    read_capacity,
    write_capacity,
)
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
    held=st.sampled_from(WithheldWork),
    wait=st.floats(min_value=0, max_value=3600),
    usable=numbers,
)


@given(reports)
def test_a_written_report_is_read(report):
    assert read_capacity(TARGET, write_capacity(report)) == report


@given(st.text())
def test_malformed_values_are_ignored(text):
    report = read_capacity(TARGET, text)
    assert report is None or report.target == TARGET


def test_reports_of_another_incarnation_are_ignored():
    """A restarted target has the address of the earlier incarnation."""
    report = LoadReport('fees', '10.0.0.1', 80, 8, 1, 5)
    assert read_capacity(TARGET, write_capacity(report)) is None
    same_incarnation = replace(report, incarnation=7)
    assert (
        read_capacity(TARGET, write_capacity(same_incarnation))
        == same_incarnation
    )
