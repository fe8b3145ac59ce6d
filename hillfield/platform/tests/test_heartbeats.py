"""Heartbeats as they come, also from writers of another kind."""

from types import MappingProxyType

from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import decode, encode
from pytest import mark

from hillfield.platform.heartbeats import read_heartbeat

WHOLE = MappingProxyType(
    {
        'address': '10.0.0.9:8080',
        'info': {'service': 's', 'version': 'v', 'zone': 'z', 'slots': 3},
        'status': {'state': 'ready', 'sequence': 4, 'warmupLeftS': 0},
        'born': 1_764_720_000_000,
    }
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(),
)
STRAYS = st.recursive(SCALARS, st.lists, max_leaves=4)
PLACES = (
    ('address',),
    ('born',),
    ('info',),
    ('info', 'service'),
    ('info', 'slots'),
    ('status',),
    ('status', 'state'),
    ('status', 'sequence'),
    ('status', 'warmupLeftS'),
)


def change(place, found):
    changed = decode(encode(dict(WHOLE)))
    inner = changed
    for step in place[:-1]:
        inner = inner[step]
    inner[place[-1]] = found
    return encode(changed)


def test_when_a_target_was_born_is_its_incarnation():
    announcement, sequence = read_heartbeat(encode(dict(WHOLE))).ok
    assert announcement.incarnation == WHOLE['born']
    assert sequence == 4


def test_a_heartbeat_without_a_birth_is_read_as_ever():
    plain = {key: held for key, held in WHOLE.items() if key != 'born'}
    assert read_heartbeat(encode(plain)).ok[0].incarnation is None


@mark.parametrize('born', ['7', 7.5, True, None, [7]])
def test_a_birth_that_is_no_whole_number_is_refused(born):
    assert read_heartbeat(change(('born',), born)).is_error()


@mark.parametrize('slots', [0, -1, 10**9])
def test_slots_that_nobody_can_reckon_with_are_refused(slots):
    assert read_heartbeat(change(('info', 'slots'), slots)).is_error()


@mark.parametrize('state', ['resting', '', 'READY'])
def test_a_state_that_is_not_known_names_no_target(state):
    assert read_heartbeat(change(('status', 'state'), state)).is_error()


@given(st.sampled_from(PLACES), STRAYS)
def test_fuzz_a_changed_field_is_read_or_refused(place, found):
    read = read_heartbeat(change(place, found))
    if read.is_ok():
        announcement, sequence = read.ok
        assert 0 < announcement.slots <= 100_000
        assert isinstance(sequence, int)


@given(st.binary(max_size=64))
def test_fuzz_bytes_are_read_or_refused(noise):
    assert read_heartbeat(noise).is_error()
