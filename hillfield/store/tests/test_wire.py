"""Messages as etcd's gateway writes them, byte by byte."""

from typing import Any

from hillfield.store.ports import Change, StoredValue
from hillfield.store.gateway_messages import (
    build_range,
    build_swap,
    read_events,
    read_page,
    read_swap,
)
from hillfield.store.streams import build_watch
from hillfield.store.wire import RangeResponse, decode_message, encode_message
from hillfield.store.wire_leases import KeepAliveLine, LeaseRequest
from hillfield.store.wire_transactions import TransactionResponse
from hillfield.store.wire_watches import WatchLine

# An unsigned 64-bit number over the signed limit, as cluster numbers are.
HEADER = (
    b'"header":{"cluster_id":"14841639068965178418",'
    b'"member_id":"10276657743932975437","revision":"7","raft_term":"3"}'
)
PAIR = (
    b'{"key":"L2E=","create_revision":"2","mod_revision":"5",'
    b'"version":"4","value":"eA=="}'
)


def decode(kind: Any, text: bytes) -> Any:
    return decode_message(kind, text).ok


def read_accepted(message: TransactionResponse) -> Any:
    return read_swap(message).ok


def test_range_request():
    message = build_range('/a/', '', 5)
    assert encode_message(message) == (
        b'{"key":"L2Ev","range_end":"L2Ew","limit":"5"}'
    )


def test_swap_request():
    write = Change('/a', 0, b'x', lease=9)
    encoded = encode_message(build_swap((write, Change('/b', 4, b''))))
    assert encoded == (
        b'{"compare":[{"key":"L2E=","target":"MOD","mod_revision":"0"},'
        b'{"key":"L2I=","target":"MOD","mod_revision":"4"}],'
        b'"success":[{"request_put":{"key":"L2E=","value":"eA==",'
        b'"lease":"9"}},{"request_delete_range":{"key":"L2I="}}],'
        b'"failure":[{"request_range":{"key":"L2E="}},'
        b'{"request_range":{"key":"L2I="}}]}'
    )


def test_watch_request():
    assert encode_message(build_watch('/a/', 6).message) == (
        b'{"create_request":{"key":"L2Ev","range_end":"L2Ew",'
        b'"start_revision":"7","progress_notify":true}}'
    )


def test_lease_request():
    assert encode_message(LeaseRequest(lease=7587848390)) == (
        b'{"ID":"7587848390"}'
    )


def test_range_answer():
    text = b'{%s,"kvs":[%s],"more":true,"count":"9"}' % (HEADER, PAIR)
    page = read_page(decode(RangeResponse, text)).ok
    assert page.revision == 7
    assert page.entries == (StoredValue('/a', 5, b'x'),)
    assert page.more


def test_swap_answers():
    accepted = b'{%s,"succeeded":true,"responses":[{"response_put":{%s}}]}'
    decoded = decode(TransactionResponse, accepted % (HEADER, HEADER))
    assert read_accepted(decoded).revision == 7
    refused = b'{%s,"responses":[{"response_range":{%s,"kvs":[%s]}}]}'
    text = refused % (HEADER, HEADER, PAIR)
    decoded = decode(TransactionResponse, text)
    assert read_accepted(decoded).current[0].payload == b'x'


def test_lapsed_lease_has_no_time_to_live():
    text = b'{"result":{%s,"ID":"7587848390"}}' % HEADER
    assert decode(KeepAliveLine, text).outcome.seconds == 0


def test_watch_lines():
    text = (
        b'{"result":{%s,"events":[{"kv":%s},'
        b'{"type":"DELETE","kv":{"key":"L2I=","mod_revision":"6"}}]}}'
    )
    line = decode(WatchLine, text % (HEADER, PAIR))
    assert read_events(line.outcome.events).ok == (
        StoredValue('/a', 5, b'x'),
        StoredValue('/b', 6, b''),
    )
    text = b'{"result":{%s,"canceled":true,"compact_revision":"4"}}' % HEADER
    line = decode(WatchLine, text)
    assert line.outcome.compact_revision == 4
