"""The control calls and the measurements of the store stand-in."""

import json
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from hillfield.emulator.store_calls import CallLog
from hillfield.emulator.store_control import ControlListener
from hillfield.emulator.store_faults import Outage, StoreFaults
from hillfield.emulator.store_server import StoreServer
from hillfield.model import Address, parse_address
from hillfield.store.counters import CallKind
from hillfield.store.gateway import GatewayStore
from hillfield.store.ports import Change
from hillfield.store.store_settings import StoreSettings


async def call(address: Address, path: str, **choices: Any) -> Any:
    client = AsyncHTTPClient()
    url = f'http://{address}{path}'
    answer = await client.fetch(url, raise_error=False, **choices)
    return answer.code, answer.body


@asynccontextmanager
async def open_both() -> AsyncIterator[Any]:
    server = StoreServer()
    listener = ControlListener(server)
    address = server.start()
    store = GatewayStore(StoreSettings((address,), client='node-7'))
    yield store, server, listener.start()
    store.close()
    await listener.stop()
    await server.stop()


async def test_sets_faults_while_refusing():
    async with open_both() as (store, server, control):
        down = b'{"outage":"refuse","delay":0.5}'
        status, body = await call(control, '/faults', method='PUT', body=down)
        assert status == 200
        assert server.state.faults == StoreFaults(Outage.REFUSE, delay=0.5)
        assert (await store.get('/a')).is_error()
        await call(control, '/faults', method='PUT', body=b'{}')
        assert (await store.get('/a')).is_ok()
        _, faults = await call(control, '/faults')
        assert json.loads(faults)['delay'] == 0


async def test_wrong_faults_change_nothing():
    async with open_both() as (store, server, control):
        for body in (b'', b'{"delay":"x"}', b'{"outage":"maybe"}', b'{"a":1}'):
            status, _ = await call(  # noqa: WPS476 - one after another
                control,
                '/faults',
                method='PUT',
                body=body,
            )
            assert status == 400
        assert server.state.faults == StoreFaults()


async def test_counts_by_kind_and_client():
    async with open_both() as (store, server, control):
        await store.swap((Change('/a', 0, b'x'),))
        await store.get('/a')
        await store.read_range('/', '', 5)
        await anext(store.watch('/', 0))
        measured = json.loads((await call(control, '/calls'))[1])
        counted = {
            (row['kind'], row['client'], row['calls'])
            for row in measured['totals']
        }
        kinds = ('swap', 'get', 'read-range', 'watch')
        assert counted == {(kind, 'node-7', 1) for kind in kinds}
        assert measured['most_watches'] == 1
        assert measured['revision'] == 2


async def test_expires_leases():
    async with open_both() as (store, server, control):
        lease = (await store.grant(60)).ok
        await call(control, '/expire', method='POST', body=b'')
        assert (await store.renew(lease)).ok is False


def test_peak_is_of_one_second():
    log = CallLog(start=10)
    for now in (10, 11.2, 11.9, 13):
        log.note_call(now, CallKind.GET, 'a')
    log.note_call(11.5, CallKind.SWAP, 'b')
    assert log.find_peak() == 3
    assert log.find_peak(CallKind.GET) == 2
    assert log.count() == 5
    assert log.count(CallKind.SWAP) == 1


def test_log_is_bounded():
    log = CallLog(start=0, cell_limit=2)
    for now in range(5):
        log.note_call(now, CallKind.GET, 'a')
    assert (log.count(), log.dropped) == (2, 3)


def test_command_serves_until_told_to_stop():
    code = 'import typer; from hillfield.cli.emulator_store import store;'
    with subprocess.Popen(
        [sys.executable, '-c', f'{code} typer.run(store)'],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        addresses = [
            parse_address(process.stdout.readline().strip()) for _ in '12'
        ]
        assert all(address.ok.port for address in addresses)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0


def test_command_refuses_a_name():
    code = 'import typer; from hillfield.cli.emulator_store import store;'
    finished = subprocess.run(
        [sys.executable, '-c', f'{code} typer.run(store)', '--listen', 'x:1'],
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    assert finished.returncode == 2
    assert 'not an IP number' in finished.stderr
