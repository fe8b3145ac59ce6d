"""Start, pages and stop of a node over loopback."""

import asyncio
from pathlib import Path

from hillfield.node.direct import DirectNode
from hillfield.settings.reader import parse_settings

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


def test_a_node_alone_is_not_ready_and_names_the_reason():
    """Without a peer or a store a node is not ready."""

    async def run_scenario():
        node = make_node()
        opened = await node.start()
        readiness = node.page.read_readiness()
        members = node.page.list_members()
        await node.stop()
        return opened, readiness, members, node.page.read_readiness()

    opened, readiness, members, after = asyncio.run(run_scenario())
    assert opened.is_ok()
    assert not readiness.ready
    assert 'live peer' in readiness.reasons[0]
    assert [member.node for member in members] == ['node-1']
    assert after.reasons == ('shutting down',)


def test_an_address_in_use_is_an_error_that_names_it():
    """The error holds the step and the address in use."""

    async def run_scenario():
        first = make_node()
        opened = await first.start()
        second = await make_node(str(opened.ok)).start()
        await first.stop()
        return opened.ok, second

    taken, second = asyncio.run(run_scenario())
    assert second.error.step == 'listen'
    assert second.error.peer == str(taken)
