"""Any order in which pipelined requests end."""

# Tests are untyped, so are the doubles that they share.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.proxy.tests.conftest import TRIAL_SECONDS, Path
from hillfield.proxy.tests.gatetarget import (
    open_with,
    safe,
    settle,
    start,
    unsafe,
)

LARGE = 100_000
KINDS = st.sampled_from(('read', 'write', 'refused', 'large', 'broken'))
STORIES = st.lists(KINDS, min_size=1, max_size=9).flatmap(
    lambda kinds: st.tuples(
        st.just(kinds),
        st.permutations(range(len(kinds))),
        st.integers(1, 5),
    ),
)


class Story:
    """Play pipelined requests, and judge each answer by its body and id."""

    def __init__(self, kinds, order, depth):
        self.kinds = kinds
        self.order = order
        self.depth = depth
        self.path = Path()
        self.answered = 0

    def name(self, number):
        kind = self.kinds[number]
        first = {'write': 'u', 'refused': 'x'}.get(kind, 's')
        return f'/{first}{number}.'.encode()

    def raw(self, number):
        name = self.name(number)
        return unsafe(name) if self.kinds[number] == 'write' else safe(name)

    async def play(self):
        gate = await start(self.path, pipeline_depth=self.depth)
        self.prepare(gate)
        asked = map(self.raw, range(len(self.kinds)))
        reader, writer = await open_with(self.path, *asked)
        letting = asyncio.create_task(self.let_out(gate))
        await self.judge_all(gate, reader)
        await letting
        self.judge_begun(gate)
        writer.close()
        self.path.server.abandon()

    def prepare(self, gate):
        gate.broken = self.names_of('broken')
        large = gate.broken | self.names_of('large')
        gate.sizes = dict.fromkeys(large, LARGE)

    def names_of(self, wanted):
        return {
            self.name(number)
            for number, kind in enumerate(self.kinds)
            if kind == wanted
        }

    async def let_out(self, gate):
        left = list(self.order)
        while left:
            gate.let_out(self.name(left.pop()))
            await settle()

    async def judge_all(self, gate, reader):
        while self.answered < len(self.kinds):
            try:
                head, body = await self.path.read(reader)
            except (ConnectionError, asyncio.IncompleteReadError):
                # Only an answer that breaks off in its turn ends it all.
                assert self.kinds[self.answered] == 'broken'
                return
            self.judge(gate, head, body)
            self.answered += 1

    def judge(self, gate, head, body):
        name = self.name(self.answered)
        kind = self.kinds[self.answered]
        assert b'X-Request-Id: %s\r\n' % name in head
        status = {'refused': b'429', 'broken': b'502'}
        assert head.split()[1] == status.get(kind, b'200')
        if kind not in status:
            assert body == gate.body_of(name)

    def judge_begun(self, gate):
        """Look when requests began, above all those that run once."""
        assert len(set(gate.begun)) == len(gate.begun)
        begun = set(gate.begun)
        assert not begun & self.names_of('refused')
        answered = set(map(self.name, range(self.answered)))
        assert answered - self.names_of('refused') <= begun
        for name in begun & self.names_of('write'):
            self.judge_turn(gate, name)

    def judge_turn(self, gate, turn):
        """Nothing before is open, and nothing behind has begun."""
        names = list(map(self.name, range(len(self.kinds))))
        number = names.index(turn)
        assert number <= self.answered
        place = gate.log.index(('begun', turn))
        before = gate.log[:place]
        known = {name for _, name in before}
        assert known == {name for event, name in before if event == 'out'}
        assert not known & set(names[number:])


@settings(max_examples=60, deadline=None)
@given(STORIES)
def test_any_interleaving_gives_each_request_its_own_answer(story):
    playing = Story(*story).play()
    asyncio.run(asyncio.wait_for(playing, TRIAL_SECONDS))
