"""A small HTTP/1.1 server and client for the stand-ins; standard library only."""

import asyncio

REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class Message:
    """Hold one request or answer; `fields` has lower-case names."""

    def __init__(self, first, fields, body=b''):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def method(self):
        return self.first[0]

    @property
    def path(self):
        return self.first[1]

    @property
    def status(self):
        return int(self.first[1])


async def read_head(reader):
    """Return a message without its body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in filter(None, lines[1:]):
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return Message(lines[0].split(' ', 2), fields)


async def read_body(reader, message):
    """Read the body of a message; raises IncompleteReadError if it is cut."""
    if 'chunked' in message.fields.get('transfer-encoding', '').lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    length = int(message.fields.get('content-length', '0'))
    return await reader.readexactly(length)


def render(status, fields=(), body=b''):
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
    lines += [f'{name}: {text}' for name, text in dict(fields).items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


async def serve(ip, port, handle):
    """Serve; `handle(message, writer)` returns bytes, or None to close."""
    open_writers = set()

    async def run(reader, writer):
        open_writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                if 'expect' in message.fields:
                    writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
                message.body = await read_body(reader, message)
                answer = await handle(message, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            open_writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(run, ip, port)

    def close():
        server.close()
        for writer in tuple(open_writers):
            writer.transport.abort()

    return close


class Connection:
    """A client's connection, kept for many requests."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, self.port), 1
        )
        return self

    def send(self, method, path, fields, body=b''):
        """Write a request without waiting for its answer."""
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in fields.items()]
        if body or method in ('POST', 'PUT'):
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join([*lines, '', '']).encode() + body)

    async def receive(self, seconds=10):
        """Return the next answer; None if the connection ended before it."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    message = await read_head(self.reader)
                    if message is None:
                        return None
                    if message.status >= 200:
                        break
                message.body = await read_body(self.reader, message)
                return message
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return None

    async def ask(self, method, path, fields, body=b'', seconds=10):
        self.send(method, path, fields, body)
        return await self.receive(seconds)

    def close(self):
        if self.writer is not None:
            self.writer.close()
