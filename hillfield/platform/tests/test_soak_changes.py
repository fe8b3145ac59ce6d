"""Changes are in force in time, and none older again, while much else happens."""

import asyncio
import os
from functools import partial
from math import inf
from random import Random

from expression import Error
from pytest import mark

from hillfield.platform.tests.installation import PROMISED, play_site
from hillfield.platform.tests.test_in_force import change, find_held, kill
from hillfield.store.ports import StoreError

EIGHT = ('refunds',) * 8
SECONDS = 12
# Seconds after its start from which a node is held to the promise.
IN_TOUCH = 3
REFUSED = StoreError('store', '', 'HTTP 503')
# More seeds by hand: HILLFIELD_SOAK=FIRST-LAST.
FIRST, _, LAST = os.environ.get('HILLFIELD_SOAK', '1-3').partition('-')


async def refuse(call, kind):
    """Answer as a store that turns this node away."""
    return Error(REFUSED)


class Soak:
    """Change the configuration while nodes end and the store is odd."""

    def __init__(self, site, seed):
        self.site = site
        self.random = Random(seed)
        self.broken = []
        self.done = []
        self.started = {}
        self.held = {}
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.version = 1
        self.judged = 0

    async def play(self):
        """Run all at once; return what was broken."""
        deeds = (self.restart, self.restart, self.mute, self.turn_away)
        await asyncio.gather(
            self.change_on(),
            self.look_on(),
            *(self.act_on(deed) for deed in (*deeds, self.silence)),
        )
        return self.broken

    def is_over(self):
        return self.find_age() > SECONDS

    def find_age(self):
        return self.loop.time() - self.began

    def note(self, text):
        age = self.find_age()
        self.done.append(f'{age:.2f} {text}')

    async def act_on(self, deed):
        """Do one kind of deed at times, also several at once."""
        while not self.is_over():
            await asyncio.sleep(self.random.uniform(0.3, 3))
            await deed()

    def list_running(self):
        return [host for host in self.site.hosts if host.node]

    def choose_ending(self):
        """Return one or two nodes that run, while others are left."""
        running = self.list_running()
        count = self.random.choice((1, 2))
        spared = max(0, len(running) - 4)
        return self.random.sample(running, min(count, spared))

    async def restart(self):
        """End some nodes, one after another or at once, and start them."""
        chosen = self.choose_ending()
        names = [host.name for host in chosen]
        self.note(f'end {names}')
        pause = self.random.choice((0, 0.3))
        for host in chosen:
            if host.node:
                await kill([host])  # noqa: WPS476 one after another
                await asyncio.sleep(pause)  # noqa: WPS476
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        for ended in chosen:
            if not ended.node:
                await self.site.start_node(ended)  # noqa: WPS476
                self.started[ended.name] = self.loop.time()

    async def mute(self):
        """Let watches hear nothing for a while."""
        self.note('watches hear nothing')
        self.site.store.muted = True
        await asyncio.sleep(self.random.uniform(0.5, 4))
        self.site.store.muted = False

    async def turn_away(self):
        """Let the store refuse one node for a while."""
        host = self.random.choice(self.list_running())
        self.note(f'refuse {host.name}')
        # Others may tell it, but where they all end nobody can.
        self.started[host.name] = inf
        caller = host.node.parts.store._caller
        asking = caller.ask
        caller.ask = refuse
        await asyncio.sleep(2)
        caller.ask = asking
        self.started[host.name] = self.loop.time()

    async def silence(self):
        """Let the connections to the store fall silent for good."""
        self.note('connections fall silent')
        self.site.store.fall_silent()
        # As after a reset of its connections, no node is held to the promise.
        moment = self.loop.time()
        self.started = {
            host.name: max(moment, self.started.get(host.name, moment))
            for host in self.site.hosts
        }
        await asyncio.sleep(8)

    async def change_on(self):
        """Change the configuration, at times in quick succession."""
        waits = set()
        while not self.is_over():
            await asyncio.sleep(self.random.choice((0.08, 0.3, 0.9)))
            self.version += 1
            revision = change(self.site, self.version)
            wait = asyncio.create_task(self.judge(revision))
            waits.add(wait)
        await asyncio.gather(*waits)

    async def judge(self, revision):
        """Note who lacks a change when it is due."""
        await asyncio.sleep(PROMISED)
        due = self.loop.time()
        for host in self.site.hosts:
            since = self.started.get(host.name, self.began - IN_TOUCH)
            held_to = host.node and due - since >= IN_TOUCH
            self.judged += bool(held_to)
            if held_to and find_held(host) < revision:
                self.note(f'{host.name} lacks {revision}')
                self.broken.append((host.name, revision))

    async def look_on(self):
        """Note a revision that went back within one life of a node."""
        while not self.is_over():
            await asyncio.sleep(0.05)
            for host in self.site.hosts:
                held = find_held(host) if host.node else 0
                if host.node and held < self.held.get(host.name, 0):
                    self.broken.append((host.name, 'older again'))
                self.held[host.name] = held


async def soak(site, seed):
    await site.settle(site.is_followed)
    played = Soak(site, seed)
    broken = await played.play()
    assert not broken, '\n'.join(played.done)
    assert SECONDS < played.version < played.judged


@mark.parametrize('seed', range(int(FIRST), int(LAST) + 1))
def test_no_change_is_late_or_taken_back_in_a_soak(tmp_path, seed):
    play_site(tmp_path, partial(soak, seed=seed), EIGHT)
