"""Targets that name a limit of requests a second in their answers."""

import asyncio
from functools import partial
from time import monotonic

from pytest import mark

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


def find_rate(host):
    """Return the limit that the gate of a host holds."""
    notice = host.node.gate.report(monotonic()).notice
    return None if notice is None else notice.rate


async def holds(host, rate):
    """Tell whether the gate of a host holds this limit."""
    return find_rate(host) == rate


def test_callers_get_the_words_as_the_target_wrote_them(tmp_path):
    async def story(site):
        host = site.hosts[0]
        words = {LIMIT: '2.40', 'Server-Leaving': '0'}
        host.target.notice = words
        answer = await site.send(host, '/refunds/', 'a')
        assert {name: answer.headers[name] for name in words} == words

    play_site(tmp_path, story, ('refunds',))


def test_the_words_of_a_caller_are_believed_by_nobody(tmp_path):
    async def story(site):
        host = site.hosts[0]
        words = {LIMIT: '0.1', 'Server-Leaving': '1'}
        answers = await site.send_in_turn(host, '/refunds/', 9, headers=words)
        assert {answer.code for answer in answers} == {200}
        assert find_rate(host) is None

    play_site(tmp_path, story, ('refunds',))


@mark.parametrize('mood', ('unsigned', 'cut', 'reset'))
def test_an_answer_that_is_not_passed_on_says_nothing(tmp_path, mood):
    async def story(site):
        host = site.hosts[0]
        host.target.mood = mood
        host.target.notice = {LIMIT: '0.1', 'Server-Leaving': '1'}
        answer = await site.send(host, '/refunds/', 'a')
        assert answer.code != 200
        assert find_rate(host) is None
        assert host.node.gate.serving is not None

    play_site(tmp_path, story, ('refunds',))


def test_an_answer_that_goes_on_for_long_is_heard_as_it_begins(tmp_path):
    async def story(site):
        host = site.hosts[0]
        host.target.mood = 'endless'
        host.target.notice = {LIMIT: '0.5'}
        asking = asyncio.create_task(site.send(host, '/refunds/', 'a'))
        await site.settle(partial(holds, host, 0.5))
        assert not asking.done()
        asking.cancel()

    play_site(tmp_path, story, ('refunds',))
