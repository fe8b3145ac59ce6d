"""Test a node's start, its own pages and its stop on loopback."""

import asyncio
from pathlib import Path

from hillfield.node.direct import DirectNode
from hillfield.settings import parse_settings

SETTINGS = """
name = 'node-1'
cluster = 'test'
cluster_key = 'key-of-a-test-only'
stores = ['127.0.0.1:1']
[locality]
region = 'home'
failure_domain = 'domain-1'
host = 'host-1'
[listen]
callers = '{0}'
control = '127.0.0.1:0'
links = '127.0.0.1:0'
"""


def make_node(callers='127.0.0.1:0'):
    """Return a node that listens on free ports."""
    return DirectNode(parse_settings(SETTINGS.format(callers), Path()).ok)


def test_starts_alone_and_says_what_it_waits_for():
    """Without a peer or a store a node isn't ready, and says why."""

    async def play():
        node = make_node()
        opened = await node.start()
        readiness = node.page.read_readiness()
        members = node.page.list_members()
        await node.stop()
        return opened, readiness, members, node.page.read_readiness()

    opened, readiness, members, after = asyncio.run(play())
    assert opened.is_ok()
    assert not readiness.ready
    assert 'live peer' in readiness.reasons[0]
    assert [member.node for member in members] == ['node-1']
    assert after.reasons == ('shutting down',)


def test_taken_address_is_an_error_that_names_it():
    """A node whose address is taken says which one."""

    async def play():
        first = make_node()
        opened = await first.start()
        second = await make_node(str(opened.ok)).start()
        await first.stop()
        return opened.ok, second

    taken, second = asyncio.run(play())
    assert second.error.step == 'listen'
    assert second.error.peer == str(taken)
