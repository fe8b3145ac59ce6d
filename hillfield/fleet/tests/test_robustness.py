"""Limits of the harm that a faulty node with the cluster's key can do."""

from math import inf, nan

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.msgpack import encode
from msgspec.structs import replace

from hillfield.configuration.entries import Entry
from hillfield.fleet.effects import Refused, SendTo, Ticked
from hillfield.fleet.envelope import Body, Codec, Received
from hillfield.fleet.messages import (
    Entries,
    Goodbye,
    Hashes,
    Have,
    Heartbeat,
    Hello,
    Referral,
    StateUpdate,
    StateUpdates,
    Version,
    Versions,
    Want,
)
from hillfield.fleet.records import (
    NodeRecord,
    RecordCodec,
    TargetRow,
    UpdateKind,
)
from hillfield.fleet.state_updates import (
    HELD_BYTES_LIMIT,
    PAYLOAD_LIMIT,
    receive_update,
)
from hillfield.fleet.synthetic_fleet import (
    START,
    load_state,
    make_node_settings,
    make_targets_update,
)
from hillfield.model import Address, Locality, TargetState

NODES = 6
LEAST = -(1 << 63)
MOST = (1 << 64) - 1
EXTREMES = (-1, 0, 1, 63, 64, 1 << 52, MOST, LEAST)
number = st.sampled_from(EXTREMES) | st.integers(LEAST, MOST)
word = st.sampled_from(
    ('', 'node-0000', 'node-0001', 'node-0002', 'mnode-0002', 'foreign'),
) | st.text(max_size=8)
address = st.builds(
    Address,
    st.sampled_from(('127.0.0.1', '::1', '', 'no number', '999.1.1.1')),
    st.sampled_from((-1, 0, 2000, 2001, 65536)) | number,
)
place = st.builds(Locality, word, word, word)
version = st.builds(Version, word, number, number)
versions = st.lists(version, max_size=3).map(tuple)
names = st.lists(word, max_size=3).map(tuple)
kind = st.sampled_from([*UpdateKind, 'x', ''])


def listed(strategy):
    return st.lists(strategy, max_size=3).map(tuple)


rows = st.recursive(
    number | word | st.none() | st.floats(),
    listed,
    max_leaves=12,
)
record = st.builds(
    NodeRecord,
    word,
    place,
    address,
    address,
    address,
    receives_from=names,
    relay_slot=word,
)
counts = (number,) * 4
target_row = st.tuples(word, word, *counts, st.floats(), word)
rows_of_targets = listed(target_row)
payload = st.binary(max_size=12) | st.one_of(
    rows,
    record,
    rows_of_targets,
).map(encode)
update = st.builds(StateUpdate, kind, word, number, number, payload)
buckets = st.lists(number, min_size=64, max_size=64).map(tuple)
message = st.one_of(
    st.builds(Hello, address, place, st.booleans()),
    st.builds(Goodbye, word),
    st.builds(Heartbeat, number, number, st.booleans()),
    st.builds(StateUpdates, listed(update)),
    st.builds(Entries, listed(st.builds(Entry, word, number, payload))),
    st.builds(Have, versions),
    st.builds(Want, number, names),
    st.builds(Hashes, number, listed(number) | buckets, number),
    st.builds(Versions, number, number, versions),
    st.builds(Referral, listed(address)),
)
received_message = st.builds(
    Received,
    st.sampled_from(('node-0001', 'node-0001', 'node-0003', 'foreign', '')),
    st.sampled_from((1, 1, 2, MOST, LEAST)),
    message,
)


def handle_all(state, messages):
    """Handle all messages, and encode the state's answers as links would."""
    codec = Codec(state.core.settings)
    now = state.core.times.ticked
    for received in messages:
        now += 0.3
        body = Body(received.sender, received.incarnation, received.message)
        opened = codec.open(seal(codec, encode(body)))
        event = opened.ok if opened.is_ok() else Refused(opened.error)
        for effect in state.handle_event(now, event) + state.handle_event(
            now, Ticked()
        ):
            if isinstance(effect, SendTo):
                codec.seal(effect.message, state.core.own.incarnation)


def seal(codec, body):
    return b''.join((codec._head, codec._mac(body), body))


arbitrary_bytes = st.binary(max_size=80)
positions = st.integers(0, 70)
FUZZ = settings(derandomize=True, deadline=None, database=None)


@settings(FUZZ, max_examples=400)
@given(st.lists(received_message, max_size=6))
def test_any_authenticated_message_is_handled(messages):
    state = load_state(NODES, 1)
    handle_all(state, messages)
    core = state.core
    assert len(core.links) <= core.settings.accepted_links + NODES
    for target in core.view.targets():
        assert min(target.slots, target.weight, target.id.address.port) > 0
    for observed in core.evidence_view.evidence():
        assert all(0 <= piece.slowness < inf for piece in observed.evidence)


def test_update_with_the_highest_incarnation_is_refused():
    state = load_state(NODES, 1)
    extreme = StateUpdate(UpdateKind.EVIDENCE, 'node-0000', MOST, MOST, b'')
    handle_all(state, [Received('node-0001', 1, StateUpdates((extreme,)))])
    assert state.core.own.incarnation == 1
    assert state.core.counts['absurd-version'] == 1


def test_targets_with_invalid_numbers_are_left_out():
    codec = RecordCodec()
    home = make_node_settings(2).locality
    valid = TargetRow('s', '127.0.0.1', 80, 1, 8, 8, 1, TargetState.READY)
    invalid = [
        replace(valid, slots=0),
        replace(valid, slots=MOST),
        replace(valid, connection_limit=-1),
        replace(valid, port=MOST),
        replace(valid, weight=-inf),
        replace(valid, weight=nan),
    ]
    decoded = codec.decode_targets(home, encode([valid, *invalid]))
    assert [target.slots for target in decoded] == [8]


def test_flood_of_unknown_names_does_not_block_known_nodes():
    state = load_state(NODES, 1)
    core = state.core
    heavy = bytes(PAYLOAD_LIMIT)
    for foreign in range(1000):
        name = f'foreign-{foreign}'
        receive_update(
            core,
            START,
            StateUpdate(UpdateKind.EVIDENCE, name, 1, 1, heavy),
            None,
        )
    assert core.state_table.held_bytes < HELD_BYTES_LIMIT + PAYLOAD_LIMIT
    assert core.counts['no-room'] > 400
    newer = make_targets_update(core.codec, 2, 2)
    receive_update(core, START, replace(newer, version=2), None)
    assert len(core.view.targets()) == NODES
    core.lost_since = dict.fromkeys(core.lost_since, 0)
    state.handle_event(core.times.ticked, Ticked())
    assert core.state_table.held_bytes < PAYLOAD_LIMIT


@settings(FUZZ, max_examples=500)
@given(arbitrary_bytes, positions, st.binary(max_size=4))
def test_no_bytes_raise(arbitrary, position, spliced):
    codec = Codec(make_node_settings(0))
    whole = codec.seal(Heartbeat(1, 2, ready=True), 1)
    rest = whole[position + len(spliced) :]
    mutated = b''.join((whole[:position], spliced, rest))
    assert codec.open(arbitrary).is_error()
    assert codec.open(mutated).is_error() or mutated == whole
    assert codec.open(seal(codec, arbitrary)).is_error()
