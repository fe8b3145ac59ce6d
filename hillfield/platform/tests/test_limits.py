"""Targets that name a limit of requests a second in their answers."""

from hillfield.platform.tests.installation import play_site
from hillfield.platform.tests.noticing import (
    CONTACT,
    TOLD_BEFORE,
    WINDOW,
    WORK,
    Callers,
    allow,
    find_most,
)

THREE = ('refunds',) * 3
SLOTS = 20
LOW_RATE = 0.5
LONG_WORK = 0.4
SHORT_PAUSE = 0.015
LIMIT = 'Server-Limit'
RATE = 2.4


def test_a_target_gets_no_more_requests_than_the_limit_that_it_names(tmp_path):
    async def story(site):
        callers = Callers(site)
        limited = site.hosts[0].target
        for host in site.hosts:
            host.target.seconds = WORK
        await callers.send_for(0.5)
        limited.notice = {LIMIT: f'{RATE}'}
        await callers.send_for(CONTACT + WINDOW)
        counted = callers.find_counted(limited, LIMIT, TOLD_BEFORE)
        assert counted
        assert find_most(counted) <= allow(RATE)

    play_site(tmp_path, story, THREE)


def test_a_gate_that_starts_anew_holds_the_limit_that_nodes_were_told(tmp_path):
    async def story(site):
        callers = Callers(site)
        limited = site.hosts[0].target
        limited.slots = SLOTS
        for host in site.hosts:
            host.target.seconds = LONG_WORK
        await callers.send_for(1)
        limited.notice = {LIMIT: f'{LOW_RATE}'}
        await callers.send_for(CONTACT)
        await site.restart_node(site.hosts[0])
        callers.hosts = callers.list_told(LIMIT, site.hosts[1:])
        assert callers.hosts
        await callers.send_for(CONTACT, SHORT_PAUSE)
        counted = callers.find_counted(limited, LIMIT, TOLD_BEFORE)
        assert find_most(counted) <= allow(LOW_RATE)

    play_site(tmp_path, story, THREE)
