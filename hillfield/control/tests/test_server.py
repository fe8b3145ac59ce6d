"""The control server over real sockets, with valid and invalid input."""

from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest
from msgspec.json import decode
from msgspec.structs import replace
from tornado.httpclient import HTTPRequest
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from hillfield.announcements import TargetRegistry
from hillfield.control import (
    ConfigurationPage,
    ControlPorts,
    ControlServer,
    MemberPage,
    Readiness,
    ServicePage,
)
from hillfield.control.connections import MAXIMUM_LOCAL, MAXIMUM_REMOTE
from hillfield.control.hostaddresses import HostAddresses
from hillfield.events import EventCode, SilentLogger, Timeline
from hillfield.metrics import NodeMetrics
from hillfield.model import Address, Target
from hillfield.settings import (
    AnnouncementSettings,
    ListenSettings,
)
from hillfield.settings.examples import make_example

LOOPBACK = Address('127.0.0.1', 0)
SETTINGS = make_example()
GOOD = b'{"service": "search", "address": "127.0.0.1:81", "slots": 3}'


BOTH_LENGTHS = b"""POST /v1/targets HTTP/1.1\r
Host: x\r
Content-Length: 5\r
Transfer-Encoding: chunked\r
\r
0\r
\r
"""


class FixedView:
    def read_readiness(self) -> Readiness:
        return Readiness(ready=False, reasons=('no configuration',))

    def list_loads(self):
        return ()

    def list_refused(self):
        return ()

    def lift(self, text):
        return False

    def explain(self, service: str) -> ServicePage | None:
        if service != 'search':
            return None
        return ServicePage('n1', service, 0.5, 3, 3, 0, ())

    def list_services(self) -> tuple[str, ...]:
        return ('search',)

    def list_targets(self) -> tuple[Target, ...]:
        return ()

    def read_configuration(self) -> ConfigurationPage:
        return ConfigurationPage('n1', 7, 'abc', 2, 0)

    def list_members(self) -> tuple[MemberPage, ...]:
        return ()


class RunningServer:
    """A server in a separate loop, called from synchronous tests."""

    def __init__(self) -> None:
        self.loop = IOLoop(make_current=False)
        timeline = Timeline(SETTINGS, logger=SilentLogger())
        ports = ControlPorts(
            TargetRegistry(SETTINGS, timeline),
            timeline,
            NodeMetrics(),
            FixedView(),
        )
        self.server = ControlServer(SETTINGS, ports)
        self.address = self.run(self.start)

    def run(self, work: Any, *arguments: Any) -> Any:
        return self.loop.run_sync(partial(work, *arguments), timeout=10)

    def call(self, path: str, method: str = 'GET', body: Any = None) -> Any:
        """Return the status and the decoded page."""
        return self.run(self._call, path, method, body)

    def close(self) -> None:
        self.run(self.server.stop)
        self.loop.close()

    async def start(self) -> Address:
        return self.server.start()

    async def write_until_closed(self, raw: bytes) -> None:
        stream = await TCPClient().connect('127.0.0.1', self.address.port)
        await stream.write(raw)
        while True:
            await stream.read_bytes(1000, partial=True)

    async def _call(self, path: str, method: str, body: Any) -> Any:
        request = HTTPRequest(
            f'http://{self.address}{path}',
            method=method,
            body=body,
            allow_nonstandard_methods=True,
            request_timeout=5,
        )
        client = SimpleAsyncHTTPClient(force_instance=True)
        response = await client.fetch(request, raise_error=False)
        client.close()
        if 'json' in response.headers.get('Content-Type', ''):
            return response.code, decode(response.body)
        return response.code, response.body


@pytest.fixture
def running() -> Iterator[RunningServer]:
    server = RunningServer()
    yield server
    server.close()


def test_announces_and_withdraws(running: RunningServer) -> None:
    status, page = running.call('/v1/targets', 'POST', GOOD)
    assert (status, page['state'], page['heartbeat']) == (200, 'ready', 1)
    _, listed = running.call('/v1/targets')
    assert [each['address'] for each in listed['own']] == ['127.0.0.1:81']
    _, others = running.call('/v1/targets?service=claims')
    assert others['own'] == []
    path = '/v1/targets/search/127.0.0.1:81'
    later = page['incarnation'] + 1
    stale = running.call(f'{path}?incarnation={later}', 'DELETE')
    assert stale[0] == 409
    assert running.call(path, 'DELETE')[0] == 200
    assert running.call(path, 'DELETE')[0] == 404


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status', 'field'),
    [
        ('POST', '/v1/targets', b'{', 400, 'body'),
        ('POST', '/v1/targets', b'', 400, 'body'),
        ('POST', '/v1/targets', GOOD.replace(b'3', b'0'), 400, 'slots'),
        ('POST', '/v1/targets', GOOD.replace(b':81', b':0'), 400, 'address'),
        ('POST', '/v1/targets', GOOD.replace(b'127', b'10'), 403, 'address'),
        ('DELETE', '/v1/targets/search/localhost:1', None, 400, 'address'),
        (
            'DELETE',
            '/v1/targets/s/127.0.0.1:1?incarnation=x',
            None,
            400,
            'incarnation',
        ),
        ('PUT', '/v1/targets', b'', 405, 'request'),
        ('GET', '/v1/nothing', None, 404, 'path'),
        ('POST', '/v1/nothing', b'', 404, 'path'),
        ('GET', '/v1/explain/claims', None, 404, 'service'),
        ('GET', '/v1/timeline?since=yesterday', None, 400, 'since'),
        ('GET', '/v1/timeline?limit=-1', None, 400, 'limit'),
    ],
)
def test_names_the_problem_and_keeps_serving(
    running, method, path, body, status, field
):
    found, page = running.call(path, method, body)
    assert found == status
    assert [each['field'] for each in page['problems']] == [field]
    assert all(each['fix'] for each in page['problems'])
    assert running.call('/v1/targets', 'POST', GOOD)[0] == 200


@pytest.mark.parametrize(
    'raw',
    [
        b'\x00\xff\r\n\r\n',
        b'POST /v1/targets HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n',
        BOTH_LENGTHS,
        b'GET / HTTP/1.1\r\nX: %b\r\n\r\n' % bytes(20000),
    ],
)
def test_closes_connections_with_invalid_http(running, raw):
    with pytest.raises(StreamClosedError):
        running.run(running.write_until_closed, raw)
    assert running.call('/healthz')[0] == 200


def test_refuses_senders_on_other_hosts():
    host_addresses = HostAddresses(
        replace(
            SETTINGS, announcements=AnnouncementSettings(own_ips=('10.1.1.1',))
        )
    )
    assert host_addresses.check_sender('10.1.1.2') is not None
    for own in ('10.1.1.1', '::ffff:10.1.1.1', '127.0.0.1', '::1'):
        assert host_addresses.check_sender(own) is None


def test_loopback_targets_are_refused_where_other_hosts_exist():
    outside = Address('10.1.1.1', 0)
    host_addresses = HostAddresses(
        replace(SETTINGS, listen=ListenSettings(outside, LOOPBACK, outside))
    )
    assert host_addresses.check_announced(Address('127.0.0.1', 80)) is not None
    assert host_addresses.check_announced(Address('10.1.1.1', 80)) is None


def test_operators_pages(running: RunningServer) -> None:
    status, page = running.call('/readyz')
    assert (status, page['reasons']) == (503, ['no configuration'])
    assert running.call('/v1/explain/search')[1]['slots'] == 3
    assert running.call('/v1/configuration')[1]['revision'] == 7
    assert running.call('/v1/members')[1]['members'] == []
    status, text = running.call('/metrics')
    assert status == 200
    assert b'hillfield_added_seconds_bucket' in text


def fail(view: FixedView) -> tuple[str, ...]:
    raise ZeroDivisionError('an internal error')


def test_internal_errors_are_events_and_bad_requests_write_no_lines(
    running: RunningServer,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    status, page = running.call('/v1/targets?service=%FF')
    problem = page['problems'][0]
    assert status == 400
    assert 'UTF-8' in problem['fix']
    assert '%FF' in problem['found']
    assert running.call('/v1/explain/%FF')[0] == 400
    monkeypatch.setattr(FixedView, 'list_services', fail)
    assert running.call('/v1/explain/{0}'.format('x' * 500))[0] == 500
    events = running.call('/v1/timeline')[1]
    assert [event['code'] for event in events] == [7006]
    assert 'ZeroDivisionError' in events[0]['detail']
    assert len(events[0]['step']) <= 200
    assert not caplog.records


def test_serves_the_time_line(running: RunningServer) -> None:
    running.call('/v1/targets', 'POST', GOOD)
    running.call('/v1/targets', 'POST', b'{')
    _, entries = running.call('/v1/timeline')
    codes = [entry['code'] for entry in entries]
    assert codes == [
        EventCode.TARGET_ANNOUNCED,
        EventCode.ANNOUNCEMENT_REFUSED,
    ]
    _, newest = running.call('/v1/timeline?service=search&limit=1')
    assert newest == entries[:1]


def test_refuses_a_number_of_thousands_of_digits(
    running: RunningServer,
) -> None:
    number = '1' * 5000
    path = f'/v1/targets/search/127.0.0.1:81?incarnation={number}'
    assert running.call(path, 'DELETE')[0] == 400
    assert running.call(f'/v1/timeline?since={number}')[0] == 400


def test_connections_of_other_hosts_do_not_block_targets(
    running: RunningServer,
) -> None:
    silent = [object() for _ in range(MAXIMUM_REMOTE)]
    held = running.server.connections.bound.counted
    held.update(dict.fromkeys(silent, False))
    assert running.call('/v1/targets', 'POST', GOOD)[0] == 200


def test_closes_connections_beyond_the_limit(running: RunningServer) -> None:
    silent = [object() for _ in range(MAXIMUM_LOCAL)]
    held = running.server.connections.bound.counted
    held.update(dict.fromkeys(silent, True))
    with pytest.raises(StreamClosedError):
        running.run(running.write_until_closed, b'')
    held.clear()
    assert running.call('/healthz')[0] == 200
    assert not held


def test_a_node_without_requests_shows_no_load(running):
    status, page = running.call('/v1/load')
    assert (status, page['services']) == (200, [])
