"""A stand-in of the platform's store, by the calls that PROTOCOL.md names."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from web import render, serve

PAGE = 500


class Store:
    """Hold keys and their history; nothing is ever forgotten or refused."""

    def __init__(self):
        self.revision = 0
        self.items = {}
        self.history = []
        self.leases = {}
        self._lease = 100
        self._changed = asyncio.Event()
        self._close = None

    async def start(self, ip, port):
        self._close = await serve(ip, port, self._answer)

    def stop(self):
        self._close()

    def put(self, key, value, lease=0):
        """Write a key; when it returns, the write is acknowledged."""
        self.revision += 1
        created = self.items.get(key, {}).get('createdAt', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'createdAt': created,
            'lease': lease,
        }
        self._tell(self.items[key])

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell({'key': key, 'revision': self.revision, 'deleted': True})

    def _tell(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, message, _):
        await asyncio.sleep(0.004)
        parts = urlsplit(message.path)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        self._drop_lapsed()
        status, told = await self._call(message.method, parts.path, query, message.body)
        fields = {'Content-Type': 'application/json'}
        return render(status, fields, json.dumps(told).encode())

    async def _call(self, method, path, query, body):
        if path == '/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'currentRev': self.revision}
            return 200, {**item, 'currentRev': self.revision}
        if path == '/kv-range':
            return 200, self._range(query)
        if path == '/kv-watch':
            return 200, await self._watch(query)
        if path == '/kv-txn':
            return self._swap(json.loads(body))
        if path == '/kv-lease':
            self._lease += 1
            seconds = json.loads(body)['ttlS']
            self.leases[self._lease] = (seconds, time.monotonic() + seconds)
            return 200, {'lease': self._lease, 'ttlS': seconds}
        lease = int(path.rpartition('/')[-1])
        if lease not in self.leases:
            return 404, {}
        seconds, _ = self.leases[lease]
        if path.startswith('/kv-keep/'):
            self.leases[lease] = (seconds, time.monotonic() + seconds)
        else:
            self.leases[lease] = (seconds, 0)
            self._drop_lapsed()
        return 200, {'ttlS': seconds}

    def _range(self, query):
        after = query.get('after', '')
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(query['prefix']) and key > after
        ]
        return {
            'items': found[:PAGE],
            'hasMore': len(found) > PAGE,
            'currentRev': self.revision,
        }

    async def _watch(self, query):
        end = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > int(query['after'])
                and event['key'].startswith(query['prefix'])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _swap(self, body):
        rows = body['expectedRev']
        for row in rows:
            held = self.items.get(row['key'], {}).get('revision', 0)
            if held != row['revision']:
                current = [self.items.get(other['key']) for other in rows]
                return 412, {'items': [item for item in current if item]}
        if any(put['lease'] and put['lease'] not in self.leases for put in body['puts']):
            return 404, {}
        for put in body['puts']:
            self.put(put['key'], base64.b64decode(put['value']), put['lease'])
        for key in body['deletes']:
            self._delete(key)
        return 200, {'revision': self.revision}

    def _drop_lapsed(self):
        now = time.monotonic()
        for lease, (_, ends) in tuple(self.leases.items()):
            if ends <= now:
                self.leases.pop(lease)
                for key, item in tuple(self.items.items()):
                    if item['lease'] == lease:
                        self._delete(key)
