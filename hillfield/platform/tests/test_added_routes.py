"""Requests on a route that is added in a crowd, with sick and ended targets."""

import asyncio
from collections import Counter
from random import Random
from types import MappingProxyType

from hillfield.platform.tests.installation import (
    RULES,
    make_configuration,
    make_rule,
    play_site,
)
from hillfield.platform.tests.standin_target import StandInTarget

SIX = ('refunds',) * 6
ADDED = '/added/'
ADDED_RULE = MappingProxyType(
    {**make_rule(ADDED, 'refunds', 'safe', timeout=1), 'priority': 0},
)
# Seconds of usual work, and of that on the added route.
WORK = 0.8
SHORT = 0.003
# Callers that each send one request after the other; targets have 18 slots.
CROWD = 30
SENT = 60
PAUSE = 0.05
# Users grant no less than a quarter of what the first routes get.
LEAST_PART = 0.25


class UnevenTarget(StandInTarget):
    """Work long, but for requests on the added route."""

    def note_run(self, run):
        self.runs.append(run)
        return SHORT if run.path.startswith(ADDED) else WORK


class Callers:
    """Count what callers get, by the first part of their path."""

    def __init__(self, site, seed):
        self.site = site
        self.served: Counter[str] = Counter()
        self.asked: Counter[str] = Counter()
        self._random = Random(seed)

    async def send(self, path, method='GET'):
        host = self._random.choice(self.site.hosts)
        number = self.asked.total()
        name = f'{path}{number}'
        self.asked[path] += 1
        answer = await self.site.send(host, path, name, method)
        self.served[path] += answer.code == 200

    async def send_later(self, seconds):
        await asyncio.sleep(seconds)
        await self.send(ADDED)

    async def crowd(self, path, method):
        while True:
            await self.send(path, method)
            await asyncio.sleep(0.01)

    def find_share(self, *paths):
        asked = sum(self.asked[path] for path in paths)
        return sum(self.served[path] for path in paths) / asked


async def add_route(site):
    site.store.put('op/config', make_configuration(4, *RULES, dict(ADDED_RULE)))

    async def is_known():
        answers = await asyncio.gather(
            *(
                site.send(host, ADDED, f'k-{host.name}', 'GET')
                for host in site.hosts
            ),
        )
        return all(answer.code != 404 for answer in answers)

    await site.settle(is_known)


def test_an_added_route_is_served_beside_a_crowd_and_sick_targets(tmp_path):
    async def story(site):
        callers = Callers(site, seed=1)
        kinds = [('/refunds/', 'POST'), ('/reads/', 'GET')]
        running = [
            asyncio.create_task(callers.crowd(*kinds[number % 2]))
            for number in range(CROWD)
        ]
        await asyncio.sleep(2)
        await add_route(site)
        site.store.down = True
        site.hosts[0].target.mood = 'reset'
        site.hosts[1].target.mood = 'reset'
        await site.hosts[2].target.stop()
        callers.asked.clear()
        callers.served.clear()
        later = (PAUSE * number for number in range(SENT))
        await asyncio.gather(*map(callers.send_later, later))
        for task in running:
            task.cancel()
        first = callers.find_share('/refunds/', '/reads/')
        assert callers.find_share(ADDED) >= LEAST_PART * first

    play_site(tmp_path, story, SIX, UnevenTarget)
