"""A stand-in of the platform's target, by its published behaviour."""

import asyncio
from time import monotonic
from types import MappingProxyType
from typing import Any

from msgspec import Struct
from msgspec.json import encode
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.web import Application, RequestHandler

# What is sent of a body that is twice as long, by mood.
PARTS = MappingProxyType({'cut': b'half', 'endless': bytes(100_000)})


class Run(Struct, frozen=True):
    """Hold what a target saw of a request that it ran."""

    request: str
    caller: str
    deadline: int
    method: str
    path: str
    body: bytes
    account: str | None = None
    credentials: str | None = None


class Reached(Struct, frozen=True):
    """Hold when a request came, its id, and the port that it came from."""

    moment: float
    request: str
    port: int


class StandInTarget:
    """Serve one life of a target; `mood` says how it behaves.

    Moods: `well`, `reset` (ends the connection unanswered after the run),
    `error` (500), `hang`, `full` (refuses), `unsigned` (no digest), `stray`
    (answers the request before once more first), `loose` (no length), `cut`
    (ends amid the body), `endless` (a long body that does not end). It says
    `notice` of itself in all its answers, and notes in `arrivals` the moments
    ids and ports of all requests that reach it. Its heartbeats tell when it
    was `born`, unless that is None.
    """

    born: int | None = None
    answering: Any = None

    def __init__(self, address, service, name, seconds=0.005):
        self.address = address
        self.service = service
        self.name = name
        self.seconds = seconds
        self.slots = 3
        self.mood = 'well'
        self.notice = {}
        self.arrivals = []
        self.sequence = 0
        self.runs = []
        self.refused = []
        self.ended_early = []
        self._server: Any = None
        self.renew()

    def renew(self):
        """Make a server that has not been stopped yet."""
        paths = [('/.*', self.answering, {'target': self})]
        self._server = HTTPServer(
            Application(paths, log_function=lambda _: None),
        )

    def start(self):
        self._server.listen(self.address.port, self.address.ip)

    async def stop(self):
        self._server.stop()
        await self._server.close_all_connections()

    def note_arrival(self, request):
        """Note that a request has reached the target."""
        name = request.headers.get('X-Request-Id', '')
        port = find_stream(request).socket.getpeername()[1]
        self.arrivals.append(Reached(monotonic(), name, port))

    def note_run(self, run):
        """Begin to run a request; return the seconds that it takes."""
        self.runs.append(run)
        return 3600 if self.mood == 'hang' else self.seconds

    async def announce(self, control, state='ready', sequence=None):
        """Send a heartbeat; return the status of the answer."""
        self.sequence += 1
        message: dict[str, Any] = {
            'address': str(self.address),
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'a',
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'sequence': sequence or self.sequence,
                'warmupLeftS': 0,
            },
        }
        if self.born is not None:
            message['born'] = self.born
        return await self._call(control, 'PUT', encode(message))

    async def leave(self, control):
        """Say goodbye; return the status of the answer."""
        return await self._call(control, 'DELETE', None)

    async def _call(self, control, method, body):
        request = HTTPRequest(
            f'http://{control}/instances/{self.name}',
            method=method,
            body=body,
        )
        answer = await AsyncHTTPClient().fetch(request, raise_error=False)
        return answer.code


class TargetHandler(RequestHandler):
    """Run one request as the mood says."""

    def initialize(self, target):
        self.target = target

    async def prepare(self):
        headers = self.request.headers
        target = self.target
        target.note_arrival(self.request)
        is_meant = headers.get('X-Target-Instance', target.name) == target.name
        is_free = target.mood != 'full' and 'X-Request-Id' in headers
        if is_meant and is_free:
            await self._run()
        else:
            self._refuse(503 if is_meant else 421)

    def on_connection_close(self):
        self.target.ended_early.append(self.request.headers['X-Request-Id'])

    def _refuse(self, status):
        self.target.refused.append(self.request.headers.get('X-Request-Id'))
        self.set_status(status)
        self._say()
        self.set_header('X-Not-Executed', '1')
        self.finish()

    async def _answer_in_part(self, stream, part):
        head = HTTPHeaders(self.target.notice)
        head['X-Server-Signature'] = 'sig'
        head['X-Request-Id'] = self.request.headers['X-Request-Id']
        head['Content-Length'] = str(2 * len(part))
        lines = f'HTTP/1.1 200 OK\n{head}\n'.replace('\n', '\r\n')
        await stream.write(lines.encode() + part)
        if self.target.mood == 'endless':
            await asyncio.sleep(3600)
        stream.close()

    def _say(self):
        for name, text in self.target.notice.items():
            self.set_header(name, text)

    async def _run(self):
        headers = self.request.headers
        target = self.target
        earlier = target.runs[-1:]
        seconds = target.note_run(
            Run(
                headers['X-Request-Id'],
                headers.get('X-Caller-Service', ''),
                int(headers['X-Deadline']),
                self.request.method,
                self.request.uri,
                self.request.body,
                headers.get('X-Tenant'),
                headers.get('Authorization'),
            ),
        )
        await asyncio.sleep(seconds)
        stream = find_stream(self.request)
        if target.mood == 'reset':
            stream.close()
            return
        if target.mood == 'stray' and earlier:
            await stream.write(
                b'HTTP/1.1 200 OK\r\nX-Server-Signature: old\r\n'
                b'X-Request-Id: %s\r\nContent-Length: 5\r\n\r\nstray'
                % earlier[0].request.encode(),
            )
        part = PARTS.get(target.mood)
        if part is not None:
            await self._answer_in_part(stream, part)
            return
        if target.mood == 'loose':
            await stream.write(
                b'HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\n'
                b'X-Request-Id: %s\r\nConnection: close\r\n\r\nloose'
                % headers['X-Request-Id'].encode(),
            )
            stream.close()
            return
        self._say()
        if target.mood == 'error':
            self.set_status(500)
        signature = f'sig-{target.name}'
        if target.mood == 'unsigned':
            signature = ''
        if signature:
            self.set_header('X-Server-Signature', signature)
        self.set_header('X-Request-Id', headers['X-Request-Id'])
        self.finish(f'{target.name} ran {headers["X-Request-Id"]}')


StandInTarget.answering = TargetHandler


def find_stream(request: Any) -> Any:
    """Return the stream of a request's connection."""
    return request.connection.stream
