"""Seeded stories of targets' words, restarts and sickness that overlap."""

import asyncio
from collections import Counter
from random import Random
from time import monotonic
from typing import Any

from msgspec import Struct
from tornado.httpclient import AsyncHTTPClient

from hillfield.platform.tests.noticing import (
    TOLD_BEFORE,
    WINDOW,
    allow,
    find_most,
)

LIMIT = 'Server-Limit'
LEAVING = 'Server-Leaving'
DRAIN = 2.0
# Seconds of a story, and of what overlaps in it.
SECONDS = 10.0
SHORTEST = 1.0
LONGEST = 5.0
# Seconds for which a target that leaves serves on, and is away after it.
SERVES_ON = 4.5
AWAY = 0.5
PAUSE = 0.03
RATES = (0, 0.5, 2, 5)
MOODS = ('error', 'reset', 'unsigned', 'full', 'cut')
KINDS = ('limit', 'limit', 'leave', 'restart', 'restart', 'mood', 'store')
EVENTS = 14
SLOTS = 12
CLIENTS = 400
WORK = 0.4
# Requests that run once at most, and others.
ONCE = '/refunds/'
PATHS = (ONCE, '/reads/')
ANSWERED = 200
REFUSED = frozenset((429, 503))


class Word(Struct):
    """Hold what one life of a target said: a rate, or None for leaving."""

    target: Any
    life: str
    rate: float | None
    begin: float
    end: float = float('inf')


class Sent(Struct, frozen=True):
    """Hold a request of a caller, and what it was told."""

    host: str
    moment: float
    path: str
    answer: Any


class Soak:
    """Play one seed over an installation; say which rules broke."""

    def __init__(self, site, seed):
        self.site = site
        self.words: list[Word] = []
        self.told: dict[tuple[str, str, str], float] = {}
        self.sent: dict[str, Sent] = {}
        self.moments: dict[str, tuple[str, float]] = {}
        self.schedule: list[str] = []
        self._random = Random(seed)
        self._asking = Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._restarting: set[str] = set()
        site.client = AsyncHTTPClient(force_instance=True, max_clients=CLIENTS)
        for host in site.hosts:
            host.target.slots = SLOTS
            host.target.seconds = WORK

    async def play(self):
        began = monotonic()
        acts = [self._act_at(began) for _ in range(EVENTS)]
        await asyncio.gather(self._ask_until(began + SECONDS), *acts)
        await asyncio.gather(*self._tasks)
        return tuple(self._find_broken())

    async def _ask_until(self, end):
        number = 0
        while monotonic() < end:
            for host in self._list_running():
                number += 1
                self._start(self._ask(host, f'{host.name}-{number}'))
            await asyncio.sleep(PAUSE * self._asking.uniform(0.5, 1.5))

    def _list_running(self):
        return [host for host in self.site.hosts if host.node is not None]

    def _start(self, doing):
        task = asyncio.create_task(doing)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, host, name):
        path = self._asking.choice(PATHS)
        moment = monotonic()
        self.moments[name] = (host.name, moment)
        try:
            answer = await self.site.send(host, path, name)
        except OSError:
            # Its node was killed: nobody was told anything.
            return
        self.sent[name] = Sent(host.name, moment, path, answer)
        life = answer.headers.get('X-Server-Signature', '')
        if host.name in self._restarting:
            return
        for header in (LIMIT, LEAVING):
            if header in answer.headers:
                key = (host.name, life, header)
                self.told.setdefault(key, monotonic())

    async def _act_at(self, began):
        kind = self._random.choice(KINDS)
        host = self._random.choice(self.site.hosts)
        moment = self._random.uniform(0, SECONDS - LONGEST)
        seconds = self._random.uniform(SHORTEST, LONGEST)
        planned = (f'{moment:.1f}', kind, host.name, f'{seconds:.1f}')
        self.schedule.append(' '.join(planned))
        wait = began + moment - monotonic()
        await asyncio.sleep(max(0, wait))
        await getattr(self, f'_do_{kind}')(host, seconds)

    async def _do_limit(self, host, seconds):
        target = host.target
        if LEAVING in target.notice:
            return
        rate = self._random.choice(RATES)
        word = Word(target, target.name, rate, monotonic())
        self._end_words(target)
        target.notice = {LIMIT: str(rate)}
        self.words.append(word)
        await asyncio.sleep(seconds)
        if word.end > monotonic():
            self._end_words(target)
            target.notice = {}

    async def _do_leave(self, host, seconds):
        target = host.target
        if LEAVING in target.notice:
            return
        self._end_words(target)
        target.notice = {LEAVING: '1'}
        self.words.append(Word(target, target.name, None, monotonic()))
        await asyncio.sleep(SERVES_ON)
        self._end_words(target)
        await target.stop()
        await asyncio.sleep(AWAY)
        target.name = f'{target.name}n'
        target.sequence = 0
        target.notice = {}
        target.renew()
        target.start()

    async def _do_restart(self, host, seconds):
        host = self._find_speaking() or host
        if host.name in self._restarting or host.node is None:
            return
        self._restarting.add(host.name)
        await self.site.restart_node(host)
        self._restarting.discard(host.name)
        for key in tuple(self.told):
            if key[0] == host.name:
                self.told.pop(key)

    async def _do_mood(self, host, seconds):
        host.target.mood = self._random.choice(MOODS)
        await asyncio.sleep(SHORTEST)
        host.target.mood = 'well'

    async def _do_store(self, host, seconds):
        self.site.store.down = True
        await asyncio.sleep(SHORTEST)
        self.site.store.down = False

    def _find_speaking(self):
        """Return a host whose target says something of itself."""
        speaking = [host for host in self.site.hosts if host.target.notice]
        return self._random.choice(speaking) if speaking else None

    def _end_words(self, target):
        for word in self.words:
            if word.target is target:
                word.end = min(word.end, monotonic())

    def _find_broken(self):
        for word in self.words:
            yield from self._judge(word)
        runs = Counter(
            run.request for host in self.site.hosts for run in host.target.runs
        )
        for name, sent in self.sent.items():
            yield from judge_answer(name, sent, runs[name])

    def _judge(self, word):
        header = LEAVING if word.rate is None else LIMIT
        after = DRAIN if word.rate is None else TOLD_BEFORE
        counted = [
            reached.moment
            for reached in word.target.arrivals
            if word.begin <= reached.moment < word.end
            and self._was_told(word, header, reached.request, after)
        ]
        if word.rate is None:
            if counted:
                yield f'{word.life} left and got {len(counted)}'
            return
        most = find_most(counted, WINDOW)
        if most > allow(word.rate):
            yield f'{word.life} named {word.rate} and got {most}'

    def _was_told(self, word, header, request, after):
        host, moment = self.moments.get(request, ('', 0))
        told = self.told.get((host, f'sig-{word.life}', header))
        return told is not None and moment >= max(told, word.begin) + after


def judge_answer(name, sent, runs):
    """Say what a caller was told wrongly of a request that ran so often."""
    code = sent.answer.code
    if sent.path == ONCE:
        if runs > 1:
            yield f'{name} ran {runs} times'
        if runs and code in REFUSED:
            yield f'{name} was refused and ran'
    if code == ANSWERED and f'ran {name}'.encode() not in sent.answer.body:
        yield f'{name} got another answer'
