"""What a node asks the store for when it starts."""

from asyncio import run
from random import Random
from types import SimpleNamespace
from typing import Any

from expression import Error, Ok
from pytest import fixture

from hillfield.fleet.peer_discovery import PeerDiscovery
from hillfield.model import Address, Locality
from hillfield.store.ports import (
    Accepted,
    Conflict,
    Page,
    StoreError,
    StoredValue,
)

DOMAIN = 'a'
OWN = 'n0'


class FakeStore:
    """Hold registrations; `read` lists how each reading was asked for."""

    def __init__(self, names):
        self.held = {make_key(name): make_link(name) for name in names}
        self.read = []
        self.written = []
        self.down = False

    async def read_range(self, prefix, after, limit, *, stale=False):
        """Return all that is held."""
        self.read.append(stale)
        if self.down:
            return Error(StoreError('read', '', 'down'))
        entries = tuple(
            StoredValue(key, 1, str(link).encode())
            for key, link in self.held.items()
        )
        return Ok(Page(1, entries, more=False))

    async def swap(self, changes):
        """Write unless something stands there."""
        change = changes[0]
        self.written.append(change.key)
        standing = self.held.get(change.key)
        if standing is None:
            self.held[change.key] = change.payload.decode()
            return Ok(Accepted(2))
        entry = StoredValue(change.key, 1, str(standing).encode())
        return Ok(Conflict((entry,)))


def make_key(name):
    return f'/hillfield/c/relays/{DOMAIN}/{name}'


def make_link(name):
    return Address('10.0.0.{0}'.format(name[1:]), 7000)


@fixture
def start():
    """Return what starts node `n0` against a store, and whom it dials."""

    def begin(store):
        dialled: list[Address] = []
        fleet: Any = SimpleNamespace(
            settings=SimpleNamespace(
                cluster='c',
                name=OWN,
                link=make_link(OWN),
                locality=Locality('r', DOMAIN, OWN),
            ),
            state=SimpleNamespace(
                dial=lambda now, link: dialled.append(link),
            ),
        )
        feed: Any = SimpleNamespace(report_error=lambda error: None)
        meeting = PeerDiscovery(fleet, store, feed, Random(1))
        return run(meeting.join()), dialled

    return begin


def test_a_node_that_starts_again_asks_once_and_cheaply(start):
    """Of three calls at each start of 235 hosts two were for introductions."""
    store = FakeStore(('n0', 'n1', 'n2', 'n3', 'n4'))
    introduced, dialled = start(store)
    assert introduced
    assert store.read == [True]
    assert not store.written
    assert len(dialled) == 2


def test_the_first_node_registers_and_reads_what_is_true_now(start):
    store = FakeStore(())
    introduced, dialled = start(store)
    assert introduced
    assert store.read == [True, False]
    assert store.written == [make_key(OWN)]
    assert not dialled


def test_a_node_whose_peers_are_few_asks_for_what_is_true_now(start):
    store = FakeStore(('n0', 'n1'))
    introduced, dialled = start(store)
    assert introduced
    assert store.read == [True, False]
    assert dialled == [make_link('n1')]


def test_a_new_address_is_registered(start):
    store = FakeStore(('n0', 'n1', 'n2', 'n3', 'n4'))
    store.held[make_key(OWN)] = Address('10.0.0.99', 7000)
    start(store)
    assert store.written


def test_nothing_is_taken_for_granted_while_the_store_is_down(start):
    store = FakeStore(('n0', 'n1', 'n2', 'n3', 'n4'))
    store.down = True
    introduced, _ = start(store)
    assert not introduced
