"""Arbitrary input never raises: it is parsed, or refused with field and fix."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.announcements import Announcement, read_announcement

FIELDS = st.sampled_from(Announcement.__struct_fields__) | st.text(max_size=5)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['127.0.0.1:80', '[::1]:0', 'ready', '::1:99999999'])
)
NESTED = st.recursive(SCALARS, st.lists, max_leaves=4)
TABLES = st.dictionaries(FIELDS, NESTED | st.dictionaries(FIELDS, SCALARS))
FAIR = settings(derandomize=True, max_examples=150, deadline=None)


def check_parsed(body: bytes) -> None:
    read = read_announcement(body)
    if read.is_error():
        assert read.error
        assert all(
            each.field and each.found and each.fix for each in read.error
        )
    else:
        assert read.ok.slots >= 1


@FAIR
@given(st.binary(max_size=60))
def test_any_bytes(body):
    check_parsed(body)


@FAIR
@given(TABLES)
def test_any_table(table):
    check_parsed(json.dumps(table).encode())
