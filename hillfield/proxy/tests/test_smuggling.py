"""Ambiguous and oversized requests are refused, and the node serves on."""

# The tests and their shared functions are untyped.
# mypy: disable-error-code="no-untyped-call"

import json
from types import MappingProxyType

import pytest

from hillfield.events import EventCode

GOOD = b'GET / HTTP/1.1\r\nHost: t\r\n\r\n'
AMBIGUOUS = MappingProxyType(
    {
        'both lengths': b'POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        'differing lengths': b'POST / HTTP/1.1\r\nHost: t\r\n'
        b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
        'listed lengths': b'POST / HTTP/1.1\r\nHost: t\r\n'
        b'Content-Length: 1, 2\r\n\r\nab',
        'signed length': b'POST / HTTP/1.1\r\nHost: t\r\n'
        b'Content-Length: +1\r\n\r\na',
        'coding twice': b'POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: x\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        'unknown coding': b'POST / HTTP/1.1\r\nHost: t\r\n'
        b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n',
        'old version chunked': b'POST / HTTP/1.0\r\nHost: t\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        'bad chunk size': b'POST / HTTP/1.1\r\nHost: t\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n',
        'bad chunk end': b'POST / HTTP/1.1\r\nHost: t\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n1\r\nabc0\r\n\r\n',
        'folded header': b'GET / HTTP/1.1\r\nHost: t\r\nA: b\r\n c\r\n\r\n',
        'bare line feed': b'GET / HTTP/1.1\r\nHost: t\nA: b\r\n\r\n',
        'bare line feeds at the end': b'GET / HTTP/1.1\r\nHost: t\n\n',
        'bare carriage return': b'GET / HTTP/1.1\r\nHost: t\r\nA: b\rc\r\n\r\n',
        'null byte': b'GET / HTTP/1.1\r\nHost: t\r\nA: \0\r\n\r\n',
        'space before colon': b'GET / HTTP/1.1\r\nHost: t\r\n'
        b'Content-Length : 3\r\n\r\nabc',
        'name is no token': b'GET / HTTP/1.1\r\nHost: t\r\nA(b): c\r\n\r\n',
        'no host': b'GET / HTTP/1.1\r\n\r\n',
        'two hosts': b'GET / HTTP/1.1\r\nHost: t\r\nHost: u\r\n\r\n',
        'other authority': b'GET http://u/ HTTP/1.1\r\nHost: t\r\n\r\n',
        'no path': b'GET fees HTTP/1.1\r\nHost: t\r\n\r\n',
        'tunnel': b'CONNECT t:80 HTTP/1.1\r\nHost: t\r\n\r\n',
        'two spaces': b'GET  / HTTP/1.1\r\nHost: t\r\n\r\n',
        'other version': b'GET / HTTP/2.0\r\nHost: t\r\n\r\n',
    },
)


async def read_refusal(proxy, raw):
    """Return the refusal; the connection must end and the node serve on."""
    answer = await proxy.ask(raw, end=False)
    head, _, body = answer.partition(b'\r\n\r\n')
    assert b'HTTP/1.1' not in body
    assert b'Connection: close' in head
    assert (await proxy.ask(GOOD))[1] == b'ok'
    return int(head.split()[1]), json.loads(body)


@pytest.mark.parametrize('ambiguity', AMBIGUOUS)
async def test_ambiguous_requests(proxy, ambiguity):
    target = await proxy.start()
    status, failure = await read_refusal(proxy, AMBIGUOUS[ambiguity] + GOOD)
    assert status == 400
    assert failure['outcome'] == 'not-run'
    assert failure['event'] == EventCode.REQUEST_MALFORMED
    assert len(target.requests) == 1


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'GET /%s HTTP/1.1\r\nHost: t\r\n\r\n' % (b'a' * 9000), 414),
        (b'GET / HTTP/1.1\r\nHost: t\r\nA: %s\r\n\r\n' % (b'a' * 20000), 431),
        (b'GET / HTTP/1.1\r\nA: %s' % (b'a' * 200000), 431),
        (b'POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 5000\r\n\r\n', 413),
        (b'GET / HTTP/1.1\r\nHost: t\r\nExpect: joy\r\n\r\n', 417),
        (
            b'POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n1000\r\n%s\r\n0\r\n\r\n' % (b'a' * 4096),
            413,
        ),
    ],
)
async def test_oversized_requests(proxy, raw, status):
    target = await proxy.start(body_limit=4000)
    given, failure = await read_refusal(proxy, raw)
    assert given == status
    assert failure['outcome'] == 'not-run'
    assert len(target.requests) == 1
