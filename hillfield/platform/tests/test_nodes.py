"""Nodes on the platform, end to end over real sockets."""

import asyncio
from functools import partial

from pytest import fixture, mark

from hillfield.platform.tests.installation import (
    PROMISED,
    RULES,
    make_configuration,
    make_rule,
    open_installation,
    play_site,
)

TWO_AND_ONE = ('refunds', 'refunds', 'captures')


@fixture
def play(tmp_path):
    """Run a coroutine function over an installation and end it."""

    def run(story, services=TWO_AND_ONE):
        play_site(tmp_path, story, services)

    return run


def test_a_request_reaches_a_target_of_another_host(play):
    async def story(site):
        answer = await site.send(
            site.hosts[0],
            '/captures/1?a=b',
            'c1',
            headers={'X-Caller-Service': 'forged', 'X-Own': 'kept'},
        )
        assert answer.code == 200
        assert answer.body == b'i-3 ran c1'
        assert answer.headers['X-Server-Signature'] == 'sig-i-3'
        assert len(site.find_runs('c1')) == 1
        run = site.find_runs('c1')[0]
        assert run.caller == 'refunds'
        assert run.path == '/captures/1?a=b'
        assert run.body == b'x'
        assert 0 < run.deadline <= 2000

    play(story)


def test_routes_come_from_the_store_and_change_at_all_nodes(play):
    async def story(site):
        host = site.hosts[0]
        missing = await site.send(host, '/later/', 'x0')
        assert missing.code == 404
        rules = (*RULES, make_rule('/later/', 'captures'))
        site.store.put('op/config', make_configuration(4, *rules))

        await site.settle(partial(site.serves, '/later/'), PROMISED)

    play(story)


def test_an_unreadable_configuration_leaves_the_old_one_in_force(play):
    async def story(site):
        whole = make_configuration(5, *RULES)
        site.store.put('op/config', whole[: len(whole) // 2])
        await asyncio.sleep(0.5)
        answer = await site.send(site.hosts[0], '/refunds/', 'a')
        assert answer.code == 200

    play(story)


def test_before_any_configuration_callers_are_told_to_come_back(tmp_path):
    async def act():
        async with open_installation(tmp_path, (), ()) as site:
            site.store.down = True
            host = await site.add(1, 'refunds')
            answer = await site.send(host, '/refunds/', 'a')
            assert answer.code == 503
            assert float(answer.headers['Retry-After']) > 0
            ready = await site.client.fetch(
                f'http://{host.ready}/ready',
                raise_error=False,
            )
            assert ready.code == 503

    asyncio.run(act())


@mark.parametrize('mood', ['reset', 'unsigned'])
def test_work_that_runs_once_is_unknown_after_it_was_lost(play, mood):
    async def story(site):
        site.hosts[2].target.mood = mood
        answer = await site.send(site.hosts[0], '/captures/', 'a')
        assert answer.code == 502
        assert 'X-Server-Signature' not in answer.headers
        assert len(site.find_runs('a')) == 1

    play(story)


def test_what_a_full_target_refuses_has_not_run(play):
    async def story(site):
        site.hosts[2].target.mood = 'full'
        answer = await site.send(site.hosts[0], '/captures/', 'a')
        assert answer.code == 503
        assert 'Retry-After' in answer.headers
        assert not site.find_runs('a')

    play(story)


def test_the_target_s_own_failure_is_passed_on(play):
    async def story(site):
        site.hosts[2].target.mood = 'error'
        answer = await site.send(site.hosts[0], '/captures/', 'a')
        assert answer.code == 500
        assert answer.headers['X-Server-Signature'] == 'sig-i-3'

    play(story)


def test_idempotent_work_is_repeated_on_another_target(play):
    async def story(site):
        site.hosts[0].target.mood = 'reset'
        answers = await site.send_in_turn(
            site.hosts[0],
            '/reads/',
            10,
            method='GET',
        )
        assert all(answer.code == 200 for answer in answers)

    play(story)


def test_a_target_that_breaks_connections_gets_no_more_single_runs(play):
    async def story(site):
        site.hosts[0].target.mood = 'reset'
        answers = await site.send_in_turn(site.hosts[1], '/refunds/', 12)
        lost = [answer for answer in answers if answer.code != 200]
        assert len(lost) <= 1
        assert len(site.hosts[0].target.runs) <= 1

    play(story)


def test_a_stray_answer_never_reaches_the_next_caller(play):
    async def story(site):
        target = site.hosts[2].target
        await site.send(site.hosts[0], '/captures/', 'first')
        target.mood = 'stray'
        answer = await site.send(site.hosts[0], '/captures/', 'second')
        assert answer.body == b'i-3 ran second'

    play(story)


def test_an_answer_without_a_length_is_whole_at_the_connection_s_end(play):
    async def story(site):
        site.hosts[2].target.mood = 'loose'
        answer = await site.send(site.hosts[0], '/captures/', 'a')
        assert (answer.code, answer.body) == (200, b'loose')

    play(story)


def test_the_ack_of_a_leaving_target_binds_at_once(play):
    async def story(site):
        host = site.hosts[0]
        assert await host.target.announce(host.control, 'draining') == 200
        before = len(host.target.runs)
        answers = await site.send_in_turn(site.hosts[1], '/refunds/', 6)
        assert all(answer.code == 200 for answer in answers)
        assert len(host.target.runs) == before

    play(story)


def test_a_target_that_says_goodbye_gets_no_new_work(play):
    async def story(site):
        host = site.hosts[0]
        assert await host.target.leave(host.control) == 200
        late = await host.target.announce(host.control)
        assert late == 200
        before = len(host.target.runs)
        answer = await site.send(site.hosts[1], '/refunds/', 'a')
        assert answer.code == 200
        assert len(host.target.runs) == before

    play(story)


def test_a_late_heartbeat_does_not_take_a_farewell_back(play):
    async def story(site):
        host = site.hosts[0]
        await host.target.announce(host.control, 'draining', sequence=1000)
        await host.target.announce(host.control, 'ready', sequence=999)
        assert host.node.gate.serving is None

    play(story)


def test_a_malformed_heartbeat_is_refused_and_changes_nothing(play):
    async def story(site):
        host = site.hosts[0]
        seat = host.node.gate.serving
        answer = await site.client.fetch(
            f'http://{host.control}/instances/i-1',
            method='PUT',
            body=b'{"address": 1}',
            raise_error=False,
        )
        assert answer.code == 400
        assert b'address' in answer.body
        assert host.node.gate.serving == seat

    play(story)


def test_a_caller_that_leaves_ends_the_work_at_the_target(play):
    async def story(site):
        target = site.hosts[2].target
        target.mood = 'hang'
        host = site.hosts[0]
        reader, writer = await asyncio.open_connection(
            host.ip,
            host.callers.port,
        )
        writer.write(
            b'GET /captures/ HTTP/1.1\r\nHost: till.example\r\n'
            b'X-Request-Id: gone\r\nX-Deadline: 5000\r\n\r\n',
        )
        while not target.runs:
            await asyncio.sleep(0.02)
        writer.close()
        async with asyncio.timeout(2):
            while not target.ended_early:
                await asyncio.sleep(0.02)

    play(story)


async def stand_still(host):
    """End a host's node; what is sent to it is taken and never read."""
    node = host.node
    host.node = None
    await node.abandon()
    return await asyncio.start_server(
        lambda reader, writer: None,
        host.ip,
        host.hops.port,
    )


def test_a_node_that_takes_requests_and_stands_still_is_left_alone(play):
    """Requests hung at a frozen host's node until their deadlines."""

    async def story(site):
        deaf = await stand_still(site.hosts[0])
        caller = site.hosts[2]
        answers = await site.send_in_turn(
            caller,
            '/reads/',
            8,
            method='GET',
            deadline=5000,
        )
        assert all(answer.code == 200 for answer in answers)
        took = [answer.request_time for answer in answers]
        assert sum(seconds > 1 for seconds in took) == 0
        deaf.close()

    play(story)


def test_work_that_runs_once_is_not_lost_at_a_node_that_stands_still(play):
    """It waited there for its deadline, and was told unknown."""

    async def story(site):
        deaf = await stand_still(site.hosts[0])
        caller = site.hosts[2]
        answers = await site.send_in_turn(caller, '/refunds/', 8, deadline=5000)
        assert all(answer.code == 200 for answer in answers)
        runs = [len(site.find_runs(f'r{number}')) for number in range(8)]
        assert set(runs) == {1}
        deaf.close()

    play(story)


def test_callers_are_served_while_the_store_is_away(play):
    async def story(site):
        site.store.down = True
        answers = await site.send_in_turn(site.hosts[0], '/captures/', 5)
        assert all(answer.code == 200 for answer in answers)

    play(story)


def test_a_forgotten_history_is_read_anew(play):
    async def story(site):
        site.store.put('other', b'x')
        site.store.forget()
        rules = (*RULES, make_rule('/later/', 'captures'))
        site.store.put('op/config', make_configuration(4, *rules))

        await site.settle(partial(site.serves, '/later/'), PROMISED)

    play(story)


def test_a_change_that_no_watch_hears_is_in_force_soon(play):
    """Played: nodes used version 2 at 4 s after the ack of version 5.

    The store's watches had heard nothing for a second, in which it changed.
    """

    async def story(site):
        await site.settle(site.is_followed)
        site.store.muted = True
        rules = (*RULES, make_rule('/later/', 'captures'))
        site.store.put('op/config', make_configuration(4, *rules))

        await site.settle(partial(site.serves, '/later/'), PROMISED)

    play(story)


def test_a_node_that_stops_is_not_ready_and_finishes_what_it_has(play):
    async def story(site):
        host = site.hosts[0]
        site.hosts[2].target.seconds = 1
        sent = asyncio.create_task(site.send(host, '/captures/', 'a'))
        await asyncio.sleep(0.3)
        stopping = asyncio.create_task(host.node.stop())
        await asyncio.sleep(0.2)
        ready = await site.client.fetch(
            f'http://{host.ready}/ready',
            raise_error=False,
        )
        assert ready.code == 503
        late = await site.send(host, '/captures/', 'late')
        assert late.code == 200
        assert (await sent).code == 200
        await stopping
        host.node = None

    play(story)


def test_a_node_that_stops_lets_its_target_serve_on_for_a_while(play):
    """Each of 17 nodes restarted in turn left its target idle for 5 s."""

    async def story(site):
        host = site.hosts[2]
        stopping = asyncio.create_task(host.node.stop())
        await asyncio.sleep(1)
        answer = await site.send(site.hosts[0], '/captures/', 'a')
        assert answer.code == 200
        await stopping
        host.node = None

    play(story)


def test_a_deadline_ends_the_wait_with_its_own_answer(play):
    async def story(site):
        site.hosts[2].target.mood = 'hang'
        answer = await site.send(
            site.hosts[0],
            '/captures/',
            'a',
            deadline=300,
        )
        assert answer.code == 504

    play(story)
