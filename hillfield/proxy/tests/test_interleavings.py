"""Random orders in which pipelined requests end."""

# The tests and their shared doubles are untyped.
# mypy: disable-error-code="no-untyped-call, var-annotated"

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from hillfield.proxy.tests.conftest import TRIAL_SECONDS, ProxyHarness
from hillfield.proxy.tests.gatedtarget import (
    idempotent_request,
    once_request,
    open_with,
    run_pending,
    start,
)

LARGE = 100_000
KINDS = st.sampled_from(('read', 'write', 'refused', 'large', 'broken'))
INTERLEAVINGS = st.lists(KINDS, min_size=1, max_size=9).flatmap(
    lambda kinds: st.tuples(
        st.just(kinds),
        st.permutations(range(len(kinds))),
        st.integers(1, 5),
    ),
)


class Interleaving:
    """Run pipelined requests, and check each answer by its body and id."""

    def __init__(self, kinds, order, depth):
        self.kinds = kinds
        self.order = order
        self.depth = depth
        self.proxy = ProxyHarness()
        self.answered = 0

    def name(self, number):
        kind = self.kinds[number]
        first = {'write': 'u', 'refused': 'x'}.get(kind, 's')
        return f'/{first}{number}.'.encode()

    def raw(self, number):
        name = self.name(number)
        return (
            once_request(name)
            if self.kinds[number] == 'write'
            else idempotent_request(name)
        )

    async def execute(self):
        gate = await start(self.proxy, pipeline_depth=self.depth)
        self.prepare(gate)
        requests = map(self.raw, range(len(self.kinds)))
        reader, writer = await open_with(self.proxy, *requests)
        releasing = asyncio.create_task(self.release(gate))
        await self.check_all(gate, reader)
        await releasing
        self.check_begun(gate)
        writer.close()
        self.proxy.server.abandon()

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

    async def release(self, gate):
        left = list(self.order)
        while left:
            gate.release(self.name(left.pop()))
            await run_pending()

    async def check_all(self, gate, reader):
        while self.answered < len(self.kinds):
            try:
                head, body = await self.proxy.read(reader)
            except (ConnectionError, asyncio.IncompleteReadError):
                # Only a broken answer whose slot is open ends the connection.
                assert self.kinds[self.answered] == 'broken'
                return
            self.check(gate, head, body)
            self.answered += 1

    def check(self, gate, head, body):
        name = self.name(self.answered)
        kind = self.kinds[self.answered]
        assert b'X-Request-Id: %s\r\n' % name in head
        status = {'refused': b'429', 'broken': b'502'}
        assert head.split()[1] == status.get(kind, b'200')
        if kind not in status:
            assert body == gate.body_of(name)

    def check_begun(self, gate):
        """Check when requests began, above all those that run once."""
        assert len(set(gate.begun)) == len(gate.begun)
        begun = set(gate.begun)
        assert not begun & self.names_of('refused')
        answered = set(map(self.name, range(self.answered)))
        assert answered - self.names_of('refused') <= begun
        for name in begun & self.names_of('write'):
            self.check_position(gate, name)

    def check_position(self, gate, name_begun):
        """Check that earlier answers were sent, and no later request began."""
        names = list(map(self.name, range(len(self.kinds))))
        number = names.index(name_begun)
        assert number <= self.answered
        place = gate.log.index(('begun', name_begun))
        before = gate.log[:place]
        known = {name for _, name in before}
        assert known == {name for event, name in before if event == 'out'}
        assert not known & set(names[number:])


@settings(max_examples=60, deadline=None)
@given(INTERLEAVINGS)
def test_any_interleaving_gives_each_request_its_own_answer(interleaving):
    running = Interleaving(*interleaving).execute()
    asyncio.run(asyncio.wait_for(running, TRIAL_SECONDS))
