"""Targets that say in their answers that they leave."""

from hillfield.platform.tests.installation import play_site
from hillfield.platform.tests.noticing import Callers

THREE = ('refunds',) * 3
LEAVING = 'Server-Leaving'
# The users' rule: seconds from the word that a node passed on.
DRAIN = 2.0


def test_a_target_that_says_so_in_answers_is_left_alone(tmp_path):
    async def story(site):
        callers = Callers(site)
        leaving = site.hosts[0].target
        await callers.send_for(0.5)
        leaving.notice = {LEAVING: '1'}
        await callers.send_for(DRAIN + 1)
        told = [name for name, header in callers.told if header == LEAVING]
        assert told
        assert not callers.find_counted(leaving, LEAVING, DRAIN)

    play_site(tmp_path, story, THREE)


def test_a_gate_that_starts_anew_hears_of_it_from_nodes_that_know(tmp_path):
    async def story(site):
        callers = Callers(site)
        host = site.hosts[0]
        host.target.notice = {LEAVING: '1'}
        await callers.send_for(DRAIN)
        await site.restart_node(host)
        callers.hosts = site.hosts[1:]
        await callers.send_for(DRAIN)
        assert not callers.find_counted(host.target, LEAVING, DRAIN)

    play_site(tmp_path, story, THREE)
