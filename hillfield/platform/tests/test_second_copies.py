"""A target that sends its answer to a request a second time."""

import asyncio
from collections import Counter
from typing import Any

from pytest import mark

from hillfield.platform.tests.copying import CopyingTarget
from hillfield.platform.tests.installation import make_rule, open_installation

# Statuses that promise that the request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
SERVICES = ('refunds', 'refunds', 'captures')
RULES = (
    make_rule('/refunds/', 'refunds', attempts=3),
    make_rule('/reads/', 'refunds', 'safe', attempts=3),
)
REQUESTS = 12
# Plain requests between two that fail first, which keep the targets in use.
BETWEEN = 12
# Seconds that a run takes: the copy comes well before the answer.
WORK = 0.03


def play(folder, story):
    async def act():
        async with open_installation(
            folder, SERVICES, RULES, CopyingTarget
        ) as site:
            for host in site.hosts:
                host.target.seconds = WORK
            await story(site)

    asyncio.run(act())


async def send_all(site, prefix, failure):
    """Send requests that fail first, and others; return answers by id."""
    for host in site.hosts:
        host.target.failure = failure
    asking = site.hosts[-1]
    answers: dict[str, Any] = {}
    while len(answers) < REQUESTS:
        await site.send_in_turn(asking, f'{prefix}plain', BETWEEN)
        name = f'first-{len(answers)}'
        answers[name] = await site.send(asking, f'{prefix}first', name)
    return answers


def list_carried_twice(site, names):
    """Return the connections that have carried one of these ids twice."""
    carried = Counter(
        (host.name, came.port, came.request)
        for host in site.hosts
        for came in host.target.arrivals
        if came.request in names
    )
    return [connection for connection, times in carried.items() if times > 1]


def test_a_second_copy_of_a_refusal_answers_no_later_attempt(tmp_path):
    # Guards against a request that runs and is answered as not run.
    async def story(site):
        answers = await send_all(site, '/refunds/', 503)
        await asyncio.sleep(2 * WORK)
        for name, answer in answers.items():
            runs = len(site.find_runs(name))
            assert runs <= 1
            assert not (runs and answer.code in PROMISES)
        assert any(answer.code == 200 for answer in answers.values())
        assert not list_carried_twice(site, answers)

    play(tmp_path, story)


@mark.parametrize('failure', [500, 503])
def test_a_second_copy_of_a_failure_hides_no_good_answer(tmp_path, failure):
    # Guards against a lookup that is answered with its earlier failure.
    async def story(site):
        answers = await send_all(site, '/reads/', failure)
        for name, answer in answers.items():
            if site.find_runs(name):
                assert answer.code == 200
        assert any(answer.code == 200 for answer in answers.values())
        assert not list_carried_twice(site, answers)

    play(tmp_path, story)
