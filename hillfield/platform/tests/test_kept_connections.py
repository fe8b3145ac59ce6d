"""Connections that were open when a configuration changed the limits."""

import asyncio
from functools import partial

from hillfield.platform.tests.installation import (
    HOST,
    LIMITS,
    PROMISED,
    RULES,
    make_configuration,
    play_site,
)
from hillfield.platform.tests.test_in_force import KEY, list_behind

TWO = ('desk', 'refunds')
LOW = 16384
HIGH = 65536
BETWEEN = 30000


class Caller:
    """Send requests on one connection to a node."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    async def ask(self, name, body=b'x', padding=0):
        """Send a request; return the status of its answer."""
        fields = {
            'Host': HOST,
            'X-Request-Id': name,
            'X-Deadline': '2000',
            'Content-Length': str(len(body)),
            'X-Padding': padding * 'x',
        }
        lines = ['POST /refunds/ HTTP/1.1', *map(': '.join, fields.items())]
        head = '\r\n'.join((*lines, '', ''))
        self._writer.write(head.encode() + body)
        answer = await self._reader.readuntil(b'\r\n\r\n')
        length = answer.split(b'Content-Length: ')[1].split(b'\r\n')[0]
        await self._reader.readexactly(int(length))
        return int(answer.split(b' ')[1])


async def open_caller(host):
    opened = await asyncio.open_connection(host.callers.ip, host.callers.port)
    return Caller(*opened)


async def is_in_force(site, revision):
    """Tell whether no node lacks a revision."""
    return not list_behind(site, revision)


async def change(site, version, **limits):
    """Change the limits; return once all nodes have them in force."""
    limits = {**LIMITS, **limits}
    entry = make_configuration(version, *RULES, limits=limits)
    site.store.put(KEY, entry)
    revision = site.store.revision
    await site.settle(partial(is_in_force, site, revision), PROMISED)


def test_a_kept_connection_gets_the_body_limit_in_force(tmp_path):
    # Guards against refusals (413) by the limits of a replaced configuration.
    async def story(site):
        await change(site, 2, maxBodyBytes=LOW)
        caller = await open_caller(site.hosts[0])
        assert await caller.ask('before') == 200
        await change(site, 3, maxBodyBytes=HIGH)
        assert await caller.ask('after', BETWEEN * b'x') == 200
        await change(site, 4, maxBodyBytes=LOW)
        assert await caller.ask('lowered', BETWEEN * b'x') == 413

    play_site(tmp_path, story, TWO)


def test_a_long_head_passes_both_nodes_once_it_is_allowed(tmp_path):
    # Guards against heads that the node beside the target refuses always.
    async def story(site):
        caller = await open_caller(site.hosts[0])
        assert await caller.ask('before') == 200
        await change(site, 2, maxHeaderBytes=HIGH)
        assert await caller.ask('kept', padding=BETWEEN) == 200
        fresh = await open_caller(site.hosts[0])
        assert await fresh.ask('fresh', padding=BETWEEN) == 200

    play_site(tmp_path, story, TWO)


def test_a_head_of_the_limit_passes_both_nodes(tmp_path):
    # Guards against heads that are over a limit only with the node's own part.
    async def story(site):
        caller = await open_caller(site.hosts[0])
        assert await caller.ask('long', padding=LOW - 150) == 200

    play_site(tmp_path, story, TWO)
