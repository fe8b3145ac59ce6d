"""The store calls by which a started node registers and discovers peers."""

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
    StoredValue,
    StoreError,
)

DOMAIN = 'a'
OWN = 'n0'


class FakeStore:
    """Hold registrations; `read` lists whether each read may be stale."""

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
        """Write a key that does not exist yet."""
        change = changes[0]
        self.written.append(change.key)
        current = self.held.get(change.key)
        if current is None:
            self.held[change.key] = change.payload.decode()
            return Ok(Accepted(2))
        entry = StoredValue(change.key, 1, str(current).encode())
        return Ok(Conflict((entry,)))


def make_key(name):
    return f'/hillfield/c/relays/{DOMAIN}/{name}'


def make_link(name):
    return Address('10.0.0.{0}'.format(name[1:]), 7000)


@fixture
def start():
    """Return a function that starts node `n0` and returns the dialled peers."""

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
        discovery = PeerDiscovery(fleet, store, feed, Random(1))
        return run(discovery.join()), dialled

    return begin


def test_a_restarted_node_makes_one_stale_read(start):
    """Guards against store load: 235 hosts started with three calls each.

    Two of the three calls were for registration and discovery.
    """
    store = FakeStore(('n0', 'n1', 'n2', 'n3', 'n4'))
    joined, dialled = start(store)
    assert joined
    assert store.read == [True]
    assert not store.written
    assert len(dialled) == 2


def test_the_first_node_registers_and_reads_consistently(start):
    store = FakeStore(())
    joined, dialled = start(store)
    assert joined
    assert store.read == [True, False]
    assert store.written == [make_key(OWN)]
    assert not dialled


def test_a_node_with_few_registered_peers_reads_consistently(start):
    store = FakeStore(('n0', 'n1'))
    joined, dialled = start(store)
    assert joined
    assert store.read == [True, False]
    assert dialled == [make_link('n1')]


def test_a_new_address_is_registered(start):
    store = FakeStore(('n0', 'n1', 'n2', 'n3', 'n4'))
    store.held[make_key(OWN)] = Address('10.0.0.99', 7000)
    start(store)
    assert store.written


def test_joining_fails_while_the_store_is_down(start):
    store = FakeStore(('n0', 'n1', 'n2', 'n3', 'n4'))
    store.down = True
    joined, _ = start(store)
    assert not joined
