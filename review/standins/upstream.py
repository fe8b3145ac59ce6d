"""A stand-in of an application upstream, by PROTOCOL.md."""

import asyncio
import hashlib
import json
import time

from web import Connection, render, serve


def sign(name, body):
    return f'{name}.{hashlib.sha256(body).hexdigest()[:16]}'


class Upstream:
    """Serve one lifetime; `record(text)` notes what it saw.

    `make_body(request)` returns the answer's body, and `cut(request)` after
    how many bytes of it the connection breaks off (None: it is whole).
    """

    def __init__(self, name, service, zone, address, control, record, seconds=0.02, slots=4):
        self.name = name
        self.service = service
        self.zone = zone
        self.ip, self.port = address
        self.control = control
        self.record = record
        self.seconds = seconds
        self.slots = slots
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []
        self.make_body = lambda message: f'{name} ran {message.path}'.encode()
        self.cut = lambda message: None
        self._close = None
        self._beating = None
        self._gone = False
        self._slots = asyncio.Semaphore(slots)

    async def start(self):
        self._close = await serve(self.ip, self.port, self._answer)
        self._beating = asyncio.create_task(self._beat())

    def exit(self):
        """End the process: every connection breaks."""
        if not self._gone:
            self._gone = True
            self.stop_pings()
            self._close()

    def stop_pings(self):
        self._beating.cancel()

    def make_ping(self):
        """Return the body of the next ping."""
        self.sequence += 1
        return json.dumps(
            {
                'address': f'{self.ip}:{self.port}',
                'born': self.born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'warmupLeftS': 0,
                },
            }
        ).encode()

    async def call_control(self, method, body=b''):
        """Send a ping or a farewell; return the status (None: no answer)."""
        fields = {'Host': 'control', 'Content-Type': 'application/json'}
        connection = Connection(*self.control)
        try:
            await connection.open()
            answer = await connection.ask(
                method, f'/instances/{self.name}', fields, body, 1
            )
        except (OSError, TimeoutError):
            return None
        finally:
            connection.close()
        return None if answer is None else answer.status

    async def ping(self):
        return await self.call_control('PUT', self.make_ping())

    async def leave(self):
        """Say goodbye; pings end with it."""
        self.stop_pings()
        return await self.call_control('DELETE')

    async def _beat(self):
        while True:
            await self.ping()
            await asyncio.sleep(1.5)

    async def _answer(self, message, writer):
        request = message.fields.get('x-request-id')
        if message.method == 'GET' and message.path == '/health':
            healthy = self.state == 'ready'
            return render(200 if healthy else 503, {'X-Instance-Id': self.name})
        base = {'X-Server-Load': f'{self.running},0,{self.slots}'}
        if request is None:
            return render(400, {**base, 'X-Not-Executed': '1'})
        base['X-Request-Id'] = request
        meant = message.fields.get('x-target-instance', self.name)
        if meant != self.name:
            self.record(f'{self.name} gets {request} meant for {meant}: 421')
            fields = {**base, 'X-Not-Executed': '1', 'X-Instance-Id': self.name}
            return render(421, fields)
        async with self._slots:
            self.running += 1
            try:
                return await self._run(message, writer, request, base)
            finally:
                self.running -= 1

    async def _run(self, message, writer, request, base):
        caller = message.fields.get('x-caller-service', '')
        self.runs.append((time.monotonic(), request, caller))
        self.record(
            f'{self.name} ({self.service}) runs {request} {message.method} '
            f'{message.path} for caller service {caller!r}'
        )
        await asyncio.sleep(self.seconds)
        if self._gone:
            self.record(f'{self.name} has exited before the end of {request}')
            return None
        self.record(f'{self.name} has run {request} to its end')
        body = self.make_body(message)
        answer = render(200, {**base, 'X-Server-Signature': sign(self.name, body)}, body)
        whole = self.cut(message)
        if whole is None:
            return answer
        writer.write(answer[: len(answer) - len(body) + whole])
        await writer.drain()
        self.record(f'{self.name} breaks off its answer to {request} after {whole} bytes')
        return None
