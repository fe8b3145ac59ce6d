"""Departures of targets that all nodes have forgotten."""

import asyncio
from functools import partial

from pytest import mark

from hillfield.platform.tests.installation import play_site
from hillfield.platform.tests.standin_target import StandInTarget
from hillfield.platform.tests.test_in_force import kill

TWO = ('refunds',) * 2
FOUR = ('refunds',) * 4
# Seconds of the users' pages: an answer later than this is no answer.
ACKNOWLEDGED_WITHIN = 1.0
# Seconds after the store's return within which what it holds is in force.
BACK = 2.0
# Seconds within which a living target is served while the store is away, where
# another node can tell that it has not left.
HELD = 2.5
# Seconds after its node's start within which a living target is served, where
# all nodes have started and only some can read the store.
SERVED_WITHIN = 8.0
# Seconds in which a started node finds the others and asks them.
WATCHED = 4.0


class BornTarget(StandInTarget):
    """Tell in heartbeats when it started."""

    def __init__(self, address, service, name):
        super().__init__(address, service, name)
        self.born = 1000


async def restart(site, hosts):
    """Kill nodes at one moment and start them again."""
    await kill(hosts)
    await asyncio.gather(*map(site.start_node, hosts))


async def serves(host):
    """Tell whether the node of a host serves its target."""
    return host.node.gate.serving is not None


async def stays_unserved(host):
    """Check that the node of a host doesn't serve its target for a while."""
    end = asyncio.get_running_loop().time() + WATCHED
    while asyncio.get_running_loop().time() < end:
        assert not await serves(host)
        await asyncio.sleep(0.05)


def choose_dying(site, dying):
    """Return the first host, those of its failure domain, or all."""
    if dying == len(site.hosts):
        return site.hosts
    here = site.hosts[::2]
    return here[:dying]


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
        await restart(site, site.hosts)
        assert not await find_late_runs(site, leaving)

    play_site(tmp_path, story, TWO)


def test_a_drain_outlives_all_nodes_and_a_late_heartbeat(tmp_path):
    # Guards against a late heartbeat that takes a forgotten drain back.
    async def story(site):
        leaving = site.hosts[0]
        control = leaving.control
        assert await leaving.target.announce(control, 'draining', 9000) == 200
        await restart(site, site.hosts)
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
        await restart(site, [host])
        await site.settle(partial(serves, host), HELD)

    play_site(tmp_path, story, TWO)


def test_a_departure_binds_while_nobody_can_tell_and_after_it(tmp_path):
    # Guards against farewells forgotten where the store is away at a start.
    async def story(site):
        leaving = site.hosts[0]
        assert await leaving.target.leave(leaving.control) == 200
        site.store.down = True
        await restart(site, site.hosts)
        await stays_unserved(leaving)
        site.store.down = False
        await stays_unserved(leaving)
        assert not await find_late_runs(site, leaving)

    play_site(tmp_path, story, TWO)


def test_a_living_target_is_served_soon_after_the_store_returns(tmp_path):
    # Guards against targets without requests after an outage at a start.
    async def story(site):
        host = site.hosts[0]
        site.store.down = True
        await restart(site, site.hosts)
        await asyncio.sleep(HELD)
        site.store.down = False
        await site.settle(partial(serves, host), BACK)

    play_site(tmp_path, story, TWO)


def turn_away(site, hosts, mode):
    """Let the store answer no node of these hosts."""
    site.store.turned_away = {host.ip: mode for host in hosts}


@mark.parametrize('mode', ['busy', 'silent'])
@mark.parametrize('dying', [1, 2, 4])
def test_a_departure_binds_where_the_store_turns_the_node_away(
    tmp_path,
    mode,
    dying,
):
    # Guards against a late heartbeat that revives a target that has left,
    # since a wait for the store has ended without its answer.
    async def story(site):
        leaving = site.hosts[0]
        assert await leaving.target.leave(leaving.control) == 200
        turn_away(site, [leaving], mode)
        await restart(site, choose_dying(site, dying))
        await stays_unserved(leaving)
        assert not await find_late_runs(site, leaving)

    play_site(tmp_path, story, FOUR)


@mark.parametrize('dying', [1, 2])
def test_a_departure_binds_where_the_store_ends_with_the_node(tmp_path, dying):
    # Guards against departures that only the store can tell.
    async def story(site):
        leaving = site.hosts[0]
        assert await leaving.target.leave(leaving.control) == 200
        site.store.down = True
        await restart(site, choose_dying(site, dying))
        await stays_unserved(leaving)
        assert not await find_late_runs(site, leaving)

    play_site(tmp_path, story, FOUR)


@mark.parametrize('mode', ['busy', 'silent'])
@mark.parametrize('dying', [1, 2, 4])
def test_a_living_target_is_served_where_the_store_turns_the_node_away(
    tmp_path,
    mode,
    dying,
):
    # Guards against nodes that serve nobody until the store answers them.
    async def story(site):
        host = site.hosts[0]
        turn_away(site, [host], mode)
        await restart(site, choose_dying(site, dying))
        await site.settle(partial(serves, host), SERVED_WITHIN)

    play_site(tmp_path, story, FOUR)


def test_a_target_reborn_after_its_departure_is_served(tmp_path):
    # Guards against a name that other nodes keep out for good.
    async def story(site):
        host = site.hosts[0]
        assert await host.target.leave(host.control) == 200
        turn_away(site, [host], 'silent')
        host.target.born += 1
        await restart(site, [host])
        await site.settle(partial(serves, host), SERVED_WITHIN)

    play_site(tmp_path, story, FOUR, BornTarget)
