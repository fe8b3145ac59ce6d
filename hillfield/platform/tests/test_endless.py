"""Bytes that are no answer and come without end."""

import asyncio
import re

from pytest import mark

from hillfield.platform.tests.endless import KINDS, EndlessTarget
from hillfield.platform.tests.installation import (
    HOST,
    make_rule,
    open_installation,
)

SERVICES = ('refunds', 'refunds', 'captures')
TIMEOUT = 2
RULES = (
    make_rule('/refunds/', 'refunds', timeout=TIMEOUT),
    make_rule('/reads/', 'refunds', 'safe', timeout=TIMEOUT),
)
REQUESTS = 8
# Seconds after a route's timeout within which its caller has the end.
LATE = 0.5
STATUS = re.compile(rb'^HTTP/1.1 (\d{3}) ', re.MULTILINE)
# Bytes that one connection may take of what is no answer: what the system
# buffers for sockets of loopback addresses, and some more.
TAKEN = 32_000_000
# Kinds that begin as answers: their bytes are the caller's.
ANSWERS = frozenset(('loose', 'chunks'))


async def ask(host, method, path, name):
    """Send a request; return the status, what was read, and if it ended well.

    The status is 0 where no whole head came.
    """
    reader, writer = await asyncio.open_connection(
        host.callers.ip, host.callers.port
    )
    lines = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {name}',
        'X-Deadline: 2000',
        'Content-Length: 0',
        'Connection: close',
    )
    writer.write('\r\n'.join((*lines, '', '')).encode())
    taken = b''
    try:
        while part := await reader.read(65536):
            taken = (taken + part)[:4096]
    except ConnectionError:
        return read_status(taken), taken, False
    finally:
        writer.close()
    return read_status(taken), taken, True


def read_status(taken):
    """Return the status of the first answer that is not an interim one."""
    statuses = map(int, STATUS.findall(taken))
    return next((status for status in statuses if status >= 200), 0)


async def ask_all(site, method, path):
    """Send requests at once, one of them after the others' end."""
    asking = site.hosts[-1]
    names = [f'{method}-{number}' for number in range(REQUESTS)]
    async with asyncio.timeout(2 * (TIMEOUT + LATE)):
        answers = await asyncio.gather(
            *(ask(asking, method, path, name) for name in names[1:]),
        )
        last = await ask(asking, method, path, names[0])
    return (*answers, last)


def is_as_it_should_be(kind, answer):
    """Tell whether a caller got an answer, or an end that shows."""
    status, taken, whole = answer
    if kind == 'behind':
        return status == 200 and taken.endswith(b'\r\n\r\nok')
    if kind in ANSWERS and status == 200:
        return not whole or not taken.endswith(b'0\r\n\r\n')
    return status in {502, 503, 504}


@mark.parametrize('method, path', [('POST', '/refunds/1'), ('GET', '/reads/1')])
@mark.parametrize('kind', sorted(KINDS))
def test_endless_bytes_end_with_their_request(tmp_path, kind, method, path):
    # Guards against targets whose bytes hold a request, a slot or memory.
    async def story(site):
        targets = [host.target for host in site.hosts[:2]]
        for endless in targets:
            endless.kind = kind
        answers = await ask_all(site, method, path)
        assert all(is_as_it_should_be(kind, answer) for answer in answers)
        await asyncio.sleep(LATE)
        sendings = [each for target in targets for each in target.sendings]
        assert sendings
        for sending in sendings:
            assert sending.ended is not None
            assert sending.ended - sending.began < TIMEOUT + LATE
            assert kind in ANSWERS or sending.taken < TAKEN

    async def act():
        async with open_installation(
            tmp_path, SERVICES, RULES, EndlessTarget
        ) as site:
            await story(site)

    asyncio.run(act())
