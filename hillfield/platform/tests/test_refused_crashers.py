"""What callers get once a request is known to end its targets."""

import asyncio
from functools import partial
from itertools import repeat
from time import monotonic
from types import MappingProxyType

from pytest import mark

from hillfield.cli.refused import ask_all, format_page
from hillfield.platform.tests.crashers import (
    DEADLY,
    KNOWN_WITHIN,
    Callers,
    count_runs,
    find_refused,
    is_refusal,
    play_crashing,
)
from hillfield.platform.tests.installation import make_configuration, make_rule

TENANTS = (
    MappingProxyType({'name': 'baker', 'apiKeys': ['k-1']}),
    MappingProxyType({'name': 'grocer', 'apiKeys': ['k-2']}),
)


async def is_refused_everywhere(site, **more):
    return all(map(is_refusal, await find_refused(site, **more)))


async def is_back(site):
    """Tell whether each target has come back and serves."""
    return await are_all(site, 200)


def test_it_is_refused_at_once_and_others_are_served(tmp_path):
    async def story(site):
        callers = Callers(site)
        await callers.end_three()
        await asyncio.sleep(KNOWN_WITHIN)
        before = monotonic()
        answers = await find_refused(site)
        assert monotonic() < before + 1
        assert all(map(is_refusal, answers))
        assert all(float(told.headers['Retry-After']) > 60 for told in answers)
        await site.settle(partial(is_back, site))
        other = await callers.send('/reads/well?of=till-8')
        assert other.code == 200

    play_crashing(tmp_path, story)


def test_a_node_that_starts_learns_of_it_from_the_others(tmp_path):
    async def story(site):
        await Callers(site).end_three()
        await asyncio.sleep(KNOWN_WITHIN)
        host = site.hosts[0]
        node = host.node
        host.node = None
        await node.abandon()
        await site.settle(partial(is_kept, site))
        forget_stored(site)
        await site.start_node(host)
        await site.settle(site.is_complete)
        before = count_runs(site)
        await asyncio.sleep(KNOWN_WITHIN)
        assert await is_refused_everywhere(site)
        assert count_runs(site) == before

    play_crashing(tmp_path, story)


def test_a_node_that_heard_no_news_hears_it_when_it_is_back(tmp_path):
    async def story(site):
        deaf = find_socket(site.hosts[0])
        await deaf.stop()
        await Callers(site).end_three()
        await asyncio.sleep(KNOWN_WITHIN)
        deaf.start()
        before = count_runs(site)
        await asyncio.sleep(2 * KNOWN_WITHIN)
        assert await is_refused_everywhere(site)
        assert count_runs(site) == before

    play_crashing(tmp_path, story)


def test_it_is_refused_after_all_nodes_ended_at_one_moment(tmp_path):
    async def story(site):
        await Callers(site).end_three()
        await site.settle(partial(is_kept, site))
        nodes = [host.node for host in site.hosts]
        forget_nodes(site)
        await asyncio.gather(*(node.abandon() for node in nodes))
        await asyncio.gather(*(site.start_node(host) for host in site.hosts))
        await site.settle(site.is_complete)
        before = count_runs(site)
        assert await is_refused_everywhere(site)
        assert count_runs(site) == before

    play_crashing(tmp_path, story)


def test_two_nodes_write_it_and_all_read_it(tmp_path):
    async def story(site):
        await Callers(site).end_three()
        await site.settle(partial(is_kept, site))
        await asyncio.sleep(KNOWN_WITHIN)
        assert site.store.calls.count('/kv-txn') <= len(site.hosts) + 2

    play_crashing(tmp_path, story)


def test_no_store_is_needed_to_know_it(tmp_path):
    async def story(site):
        site.store.down = True
        await Callers(site).end_three()
        await asyncio.sleep(KNOWN_WITHIN)
        assert await is_refused_everywhere(site)

    play_crashing(tmp_path, story)


def test_work_that_runs_once_is_never_sent_on(tmp_path):
    async def story(site):
        callers = Callers(site)
        path = '/refunds/deadly'
        set_deadly(site, path)
        await callers.end_three(path, method='POST')
        await asyncio.sleep(KNOWN_WITHIN)
        told = await callers.send(path, method='POST')
        assert is_refusal(told)
        ids = list_ids(site)
        assert len(ids) == len(set(ids))

    play_crashing(tmp_path, story)


def test_long_bodies_are_known_again_by_how_they_begin(tmp_path):
    async def story(site):
        callers = Callers(site)
        path = '/refunds/deadly'
        set_deadly(site, path)
        body = b'x' * 200_000
        await callers.end_three(path, method='POST', body=body)
        await asyncio.sleep(KNOWN_WITHIN)
        assert is_refusal(await callers.send(path, method='POST', body=body))

    play_crashing(tmp_path, story)


def test_no_caller_can_have_another_account_s_requests_refused(tmp_path):
    async def story(site):
        rules = [make_rule('/reads/', 'refunds', 'safe')]
        tenants = [dict(tenant) for tenant in TENANTS]
        site.store.put(
            'op/config',
            make_configuration(9, *rules, tenants=tenants),
        )
        baker = {'Authorization': 'Token k-1'}
        grocer = {'Authorization': 'Token k-2'}
        callers = Callers(site)
        await site.settle(partial(is_keyed, site))
        await callers.end_three(headers=baker)
        await asyncio.sleep(KNOWN_WITHIN)
        set_deadly(site, '/none')
        await site.settle(partial(are_all, site, 200, grocer))
        assert is_refusal(await callers.send(DEADLY, headers=baker))
        assert (await callers.send(DEADLY, headers=grocer)).code == 200

    play_crashing(tmp_path, story)


@mark.parametrize('mood', ['reset', 'error'])
def test_targets_that_fail_and_live_on_are_no_evidence(tmp_path, mood):
    async def story(site):
        callers = Callers(site)
        set_deadly(site, '/none')
        set_mood(site, mood)
        await asyncio.gather(*map(callers.send, repeat(DEADLY, 12)))
        assert not any(map(read_cases, site.hosts))
        set_mood(site, 'well')
        await site.settle(partial(is_served, site))

    play_crashing(tmp_path, story)


def test_an_operator_lifts_it_when_the_target_bears_it(tmp_path):
    async def story(site):
        callers = Callers(site)
        await callers.end_three()
        await asyncio.sleep(KNOWN_WITHIN)
        set_deadly(site, '/none')
        await site.settle(partial(is_back, site))
        host = site.hosts[0]
        fingerprint = next(iter(read_cases(host))).hex()
        shown = await call_control(host, '')
        text = format_page(shown.ok)
        assert f'{host.name}: 1 refused of 1 followed' in text
        assert fingerprint in text
        unknown = await call_control(host, 'ab')
        assert 'fingerprint' in str(unknown.error)
        lifted = await call_control(host, fingerprint)
        assert not lifted.ok.requests
        await site.settle(partial(is_forgotten, site))
        answers = await find_refused(site)
        assert {answer.code for answer in answers} == {200}

    play_crashing(tmp_path, story)


async def is_served(site):
    """Tell whether each node serves it; none may ever refuse it."""
    answers = await find_refused(site)
    assert not any(map(is_refusal, answers))
    return all(answer.code == 200 for answer in answers)


def find_socket(host):
    return host.node.crashes.socket


async def call_control(host, lift):
    settings = host.node.parts.settings
    answers = await ask_all((settings.listen.control,), lift)
    return answers[0]


def set_deadly(site, path):
    for host in site.hosts:
        host.target.deadly = path


def set_mood(site, mood):
    for host in site.hosts:
        host.target.mood = mood


def forget_nodes(site):
    for host in site.hosts:
        host.node = None


def forget_stored(site):
    kept = [key for key in site.store.stored if '/crashes/' in key]
    for key in kept:
        site.store.delete(key)


def list_ids(site):
    return [run.request for host in site.hosts for run in host.target.runs]


def find_book(host):
    return host.node.crashes.tracker


def read_cases(host):
    return find_book(host).registry.cases


async def is_kept(site):
    """Tell whether the store keeps what is refused."""
    return any('/crashes/' in key for key in site.store.stored)


async def is_forgotten(site):
    return not await is_kept(site)


async def is_keyed(site):
    return await are_all(site, 401, {'Authorization': 'Token k'})


async def are_all(site, status, headers=None):
    """Tell whether each node answers a harmless request so."""
    callers = Callers(site)
    answers = await asyncio.gather(
        *(
            callers.send('/reads/well', host, headers=headers)
            for host in site.hosts
        ),
    )
    return all(answer.code == status for answer in answers)
