"""Departures of targets that all nodes have forgotten."""

import asyncio
from functools import partial

from hillfield.platform.tests.installation import play_site
from hillfield.platform.tests.test_in_force import kill

TWO = ('refunds', 'refunds')
# Seconds of the users' pages: an answer later than this is no answer.
ACKNOWLEDGED_WITHIN = 1.0
# Seconds after the store's return within which what it holds is in force.
BACK = 2.0
# Seconds, longer than heartbeats wait for the store.
HELD = 2.5


async def kill_all(site):
    """Kill all nodes at one moment and start them again."""
    await kill(site.hosts)
    await asyncio.gather(*map(site.start_node, site.hosts))


async def serves(host):
    """Tell whether the node of a host serves its target."""
    return host.node.gate.serving is not None


async def find_late_runs(site, leaving):
    """Return what a target ran of the requests that were sent just now."""
    before = len(leaving.target.runs)
    asking = site.hosts[1]
    await site.settle(partial(serves, asking))
    await site.settle(partial(site.serves, '/refunds/'))
    await site.send_in_turn(asking, '/refunds/', 8)
    return leaving.target.runs[before:]


def test_a_farewell_outlives_all_nodes_and_the_heartbeats_after_it(tmp_path):
    # Guards against late heartbeats that revive a target that has left.
    async def story(site):
        leaving = site.hosts[0]
        assert await leaving.target.leave(leaving.control) == 200
        await kill_all(site)
        assert not await find_late_runs(site, leaving)

    play_site(tmp_path, story, TWO)


def test_a_drain_outlives_all_nodes_and_a_late_heartbeat(tmp_path):
    # Guards against a late heartbeat that takes a forgotten drain back.
    async def story(site):
        leaving = site.hosts[0]
        control = leaving.control
        assert await leaving.target.announce(control, 'draining', 9000) == 200
        await kill_all(site)
        assert not await find_late_runs(site, leaving)

    play_site(tmp_path, story, TWO)


def test_a_departure_is_acknowledged_only_once_the_store_has_it(tmp_path):
    # Guards against acknowledgements that end with the nodes' memory.
    async def story(site):
        leaving = site.hosts[0]
        site.store.down = True
        async with asyncio.timeout(ACKNOWLEDGED_WITHIN):
            assert await leaving.target.leave(leaving.control) == 503
        assert leaving.node.gate.serving is None
        site.store.down = False
        assert await leaving.target.leave(leaving.control) == 200

    play_site(tmp_path, story, TWO)


def test_a_departure_whose_answer_the_store_loses_is_acknowledged(tmp_path):
    # Guards against departures that are stored and never acknowledged.
    async def story(site):
        leaving = site.hosts[0]
        site.store.lossy = True
        await leaving.target.leave(leaving.control)
        site.store.lossy = False
        assert await leaving.target.leave(leaving.control) == 200

    play_site(tmp_path, story, TWO)


def test_a_living_target_is_served_while_the_store_is_away(tmp_path):
    # Guards against nodes that start while the store is away and serve nobody.
    async def story(site):
        host = site.hosts[0]
        site.store.down = True
        await kill([host])
        await site.start_node(host)
        await site.settle(partial(serves, host), HELD)

    play_site(tmp_path, story, TWO)


def test_a_departure_binds_once_the_store_answers_again(tmp_path):
    # Guards against farewells forgotten where the store is away at a start.
    async def story(site):
        leaving = site.hosts[0]
        assert await leaving.target.leave(leaving.control) == 200
        site.store.down = True
        await kill_all(site)
        await site.settle(partial(serves, leaving))
        site.store.down = False
        async with asyncio.timeout(BACK):
            while await serves(leaving):
                await asyncio.sleep(0.05)
        assert not await find_late_runs(site, leaving)

    play_site(tmp_path, story, TWO)
