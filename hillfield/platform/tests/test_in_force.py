"""How soon a change is in force at all nodes that can know of it."""

import asyncio
from functools import partial

from pytest import mark

from hillfield.platform.tests.installation import (
    PROMISED,
    RULES,
    make_configuration,
    make_rule,
    play_site,
)

KEY = 'op/config'
ONE_SERVICE = ('refunds',) * 12


def change(site, version):
    """Write another version; return its revision."""
    rules = (*RULES, make_rule(f'/later-{version}/', 'captures'))
    site.store.put(KEY, make_configuration(version, *rules))
    return site.store.revision


async def find_late(site, version):
    """Change the configuration; return the nodes that lack it when due."""
    revision = change(site, version)
    loop = asyncio.get_running_loop()
    due = loop.time() + PROMISED
    while loop.time() < due and list_behind(site, revision):
        await asyncio.sleep(0.02)
    return list_behind(site, revision)


def list_behind(site, revision):
    running = [host for host in site.hosts if host.node]
    return [host.name for host in running if find_held(host) < revision]


def find_held(host):
    ledger = find_core(host).entry_index
    return ledger.revision_of(KEY)


def find_core(host):
    page = host.node.page
    return page.core


def holds_slot(host):
    return bool(find_core(host).own.record.relay_slot)


async def kill(hosts):
    """End nodes at one moment, without a word."""
    ended = [host.node for host in hosts]
    for host in hosts:
        host.node = None
    await asyncio.gather(*(node.abandon() for node in ended))


def play(folder, story, services):
    """Run a story over an installation once the store is followed."""

    async def act(site):
        await site.settle(site.is_followed)
        await story(site)

    play_site(folder, act, services)


async def change_unheard(site, times):
    """Change what no watch hears, at moments apart from one another."""
    site.store.muted = True
    late = []
    version = 1
    while version <= times:
        version += 1
        late.extend(await find_late(site, version))
        await asyncio.sleep(0.37)
    assert not late


@mark.parametrize('hosts', [2, 4])
def test_no_change_that_watches_miss_is_late_by_the_chance_of_readings(
    tmp_path, hosts
):
    play(tmp_path, partial(change_unheard, times=8), ('refunds',) * hosts)


def find_pair(site):
    """Return two nodes that hear each other and follow no store."""
    free = [host for host in site.hosts if not holds_slot(host)]
    named = {host.name: host for host in free}
    pairs = [
        (host, named[link.name])
        for host in free
        for link in find_core(host).reachable_links()
        if link.name in named
    ]
    return pairs[0]


async def leave_a_pair(site, gap):
    """End two nodes at a time, followers last; then change."""
    pair = find_pair(site)
    rest = [host for host in site.hosts if host not in pair]
    rest.sort(key=holds_slot, reverse=True)
    while rest:
        await kill([rest.pop(), rest.pop()])
        await asyncio.sleep(gap if rest else 0)
    assert not await find_late(site, 2)


@mark.parametrize('gap', [0.3, 0.6])
def test_two_nodes_that_hear_only_each_other_are_not_left_behind(tmp_path, gap):
    play(tmp_path, partial(leave_a_pair, gap=gap), ONE_SERVICE)


async def change_amid_silence(site):
    """Let all connections to the store fall silent for good; then change."""
    site.store.fall_silent()
    assert not await find_late(site, 2)


@mark.parametrize('hosts', [2, 8])
def test_connections_to_the_store_that_fall_silent_keep_no_change_back(
    tmp_path, hosts
):
    play(tmp_path, change_amid_silence, ('refunds',) * hosts)


def drop(peer, sealed):
    """Lose a message between nodes."""


async def change_amid_silent_links(site, pause):
    """Let all links between nodes fall silent; then change."""
    for host in site.hosts:
        host.node.fleet.links.send = drop
    await asyncio.sleep(pause)
    assert not await find_late(site, 2)


@mark.parametrize('pause', [0, 1.3])
def test_links_that_fall_silent_leave_no_node_behind(tmp_path, pause):
    story = partial(change_amid_silent_links, pause=pause)
    play(tmp_path, story, ('refunds',) * 8)


async def end_followers(site, version):
    """End who reads the store, at the moment of an unheard change."""
    site.store.muted = True
    await asyncio.sleep(0.4)
    await kill([host for host in site.hosts if holds_slot(host)])
    assert not await find_late(site, version)


def test_the_end_of_all_followers_keeps_no_change_back(tmp_path):
    play(tmp_path, partial(end_followers, version=2), ONE_SERVICE)
