"""A stand-in of the platform's store, by its published calls."""

import asyncio
import base64
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from msgspec import Struct
from msgspec.json import decode, encode
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from hillfield.platform.tests.standin_target import find_stream

MILLISECONDS = 1000


@dataclass
class StoreState:
    """Hold keys, their history and what is broken on purpose.

    `down`: calls get 503; `lossy`: writes are done and their answer is lost;
    `deaf`: nothing is answered; `muted`: watches hear of no change, and go
    on from after it; `silent`: connections on which nothing comes any more;
    `turned_away`: by the address that a host calls, `busy` (503) or `silent`.
    """

    revision: int = 0
    stored: dict[str, Any] = field(default_factory=dict)
    history: list[Any] = field(default_factory=list)
    calls: list[str] = field(default_factory=list)
    leases: Any = field(default_factory=lambda: count(77))
    alive: set[int] = field(default_factory=set)
    forgotten: int = 0
    down: bool = False
    lossy: bool = False
    deaf: bool = False
    muted: bool = False
    opened: set[int] = field(default_factory=set)
    silent: set[int] = field(default_factory=set)
    turned_away: dict[str, str] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key, payload, lease=0):
        self.revision += 1
        created = self.stored.get(key, {}).get('createdAt', self.revision)
        self.stored[key] = {
            'key': key,
            'value': base64.b64encode(payload).decode(),
            'revision': self.revision,
            'createdAt': created,
            'lease': lease,
        }
        self._tell(self.stored[key])

    def fall_silent(self):
        """Let nothing more come on the connections that are open now."""
        self.silent |= self.opened

    def delete(self, key):
        self.revision += 1
        self.stored.pop(key, None)
        self._tell({'key': key, 'revision': self.revision, 'deleted': True})

    def forget(self):
        """Drop the history, as after a compaction."""
        self.forgotten = self.revision
        self.history.clear()

    def _tell(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()


class OpenedStore(Struct, frozen=True):
    """Hold a store's state and its server."""

    state: StoreState
    server: HTTPServer


class StoreHandler(RequestHandler):
    """Answer one call."""

    def initialize(self, state):
        self.state = state

    async def prepare(self):
        self.state.calls.append(self.request.path)
        self.state.opened.add(self._connection)
        mode = self._find_mode()
        is_deaf = self.state.deaf or mode == 'silent'
        if is_deaf or self._connection in self.state.silent:
            await asyncio.sleep(3600)
        if self.state.down or mode == 'busy':
            self.set_status(503)
            self.finish()

    async def get(self, call):
        if call == 'kv-key':
            self._get_key()
        elif call == 'kv-range':
            self._get_range()
        else:
            await self._watch()

    def post(self, call):
        body = decode(self.request.body) if self.request.body else {}
        if call == 'kv-txn':
            self._swap(body)
        elif call == 'kv-lease':
            lease = next(self.state.leases)
            self.state.alive.add(lease)
            self._answer({'lease': lease, 'ttlS': body['ttlS']})
        else:
            self._keep(int(call.rpartition('/')[-1]))

    def delete(self, call):
        lease = int(call.rpartition('/')[-1])
        self._keep(lease)
        self.state.alive.discard(lease)

    def _find_mode(self):
        """Return how the host is treated that calls here."""
        called = find_stream(self.request).socket
        if called is None or not self.state.turned_away:
            return ''
        return self.state.turned_away.get(called.getsockname()[0], '')

    @property
    def _connection(self):
        return id(find_stream(self.request))

    def _answer(self, message, status=200):
        if self._connection in self.state.silent:
            self._auto_finish = False
            return
        if self.state.lossy and self.request.method != 'GET':
            find_stream(self.request).close()
            return
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(encode(message))

    def _get_key(self):
        stored = self.state.stored.get(self.get_argument('key'))
        if stored is None:
            self._answer({'currentRev': self.state.revision}, 404)
            return
        self._answer({**stored, 'currentRev': self.state.revision})

    def _get_range(self):
        prefix = self.get_argument('prefix')
        after = self.get_argument('after', '')
        found = [
            stored
            for key, stored in sorted(self.state.stored.items())
            if key.startswith(prefix) and key > after
        ]
        page = {'items': found[:2], 'hasMore': len(found) > 2}
        self._answer({**page, 'currentRev': self.state.revision})

    async def _watch(self):
        after = int(self.get_argument('after'))
        if after < self.state.forgotten:
            self._answer({'error': 'gone'}, 410)
            return
        prefix = self.get_argument('prefix')
        wait = int(self.get_argument('waitMs')) / MILLISECONDS
        end = asyncio.get_running_loop().time() + wait
        events = self._find_events(prefix, after)
        while not events and asyncio.get_running_loop().time() < end:
            left = end - asyncio.get_running_loop().time()
            try:
                await asyncio.wait_for(self.state.changed.wait(), left)
            except TimeoutError:
                break
            events = self._find_events(prefix, after)
        self._answer({'events': events, 'currentRev': self.state.revision})

    def _find_events(self, prefix, after):
        heard = () if self.state.muted else self.state.history
        return [
            event
            for event in heard
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    def _swap(self, body):
        rows = body['expectedRev']
        current = [self.state.stored.get(row['key']) for row in rows]
        held = [stored['revision'] if stored else 0 for stored in current]
        if held != [row['revision'] for row in rows]:
            self._answer(
                {'items': [stored for stored in current if stored]}, 412
            )
            return
        for put in body['puts']:
            payload = base64.b64decode(put['value'], validate=True)
            self.state.put(put['key'], payload, put['lease'])
        for key in body['deletes']:
            self.state.delete(key)
        self._answer({'revision': self.state.revision})

    def _keep(self, lease):
        known = lease in self.state.alive
        self._answer({'ttlS': 3}, 200 if known else 404)


def open_store(address):
    """Listen; return what was opened."""
    state = StoreState()
    paths = [('/(kv-.+)', StoreHandler, {'state': state})]
    server = HTTPServer(Application(paths, log_function=lambda _: None))
    server.listen(address.port, address.ip)
    return OpenedStore(state, server)
